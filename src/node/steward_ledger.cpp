/** \file
 * The part of the steward that keeps bills, claims and counts until the platform has them, and the
 * planned stop that hands them over.
 */
#include "node/steward_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration drain_interval = seconds(1);
constexpr duration hand_over_after = seconds(2);
constexpr duration hand_over_resend = milliseconds(300);
constexpr duration longest_hand_over = seconds(20);
constexpr int most_claim_tries = 6;
constexpr std::size_t most_voided = 10000;
constexpr std::size_t most_finished_claims = 5000;
constexpr std::size_t claim_writes_at_a_time = 32;
constexpr std::int64_t ms_per_minute = 60000;

} // namespace

// ---- bills ----

void steward_core::hold_bills(const std::string& from, bool is_entry, const bill_batch& batch) {
    bill_held held;
    for (const bill_record& record : batch.records) {
        if (buffer_.add(record)) {
            held.keys.push_back(key_of(record));
        }
    }
    if (is_entry) {
        port_.send_to_entry(from, held);
    } else {
        port_.send_to_peer(from, held);
    }
}

void steward_core::drain_bills() {
    const bool is_due = now_ - last_drain_ >= drain_interval || host_state_ == "draining";
    if (is_draining_bills_ || !is_due) {
        return;
    }
    const std::optional<ledger_segment> segment = buffer_.current();
    if (!segment) {
        return;
    }
    last_drain_ = now_;
    is_draining_bills_ = true;
    const std::string name = segment->name;
    call({"", platform_request::action::create, name, 0, json(*segment)},
         [this, name](const platform_reply& reply) {
             is_draining_bills_ = false;
             // A conflict is this very segment: its name is this incarnation's own and its content is sealed,
             // so an earlier write whose answer was lost took effect.
             const bool is_written =
                 reply.what == platform_reply::result::ok || reply.what == platform_reply::result::conflict;
             if (!is_written) {
                 numbers_.count("segment_writes_failed");
                 return;
             }
             numbers_.count("segments_written");
             std::map<std::string, bill_drained> by_entry;
             for (const bill_record& record : buffer_.on_written(name)) {
                 by_entry[record.entry].keys.push_back(key_of(record));
             }
             for (const auto& [entry, drained] : by_entry) {
                 port_.send_to_entry(entry, drained);
             }
         });
}

// ---- claims ----

void steward_core::create_claim(const claim_work& work) {
    if (voided_attempts_.count(work.claim.attempt) > 0) {
        return;
    }
    if (work.tries >= most_claim_tries) {
        answer_claim(work, "unavailable", work.claim);
        return;
    }
    const std::string key = claim_name(work.claim.team, work.claim.key);
    call({"", platform_request::action::create, key, 0, json(work.claim)},
         [this, work](const platform_reply& reply) {
             if (reply.what == platform_reply::result::ok) {
                 answer_claim(work, "created", work.claim);
             } else if (reply.what == platform_reply::result::unavailable) {
                 answer_claim(work, "unavailable", work.claim);
             } else {
                 // Taken, or an answer was lost: what stands there now decides.
                 call({"", platform_request::action::get, claim_name(work.claim.team, work.claim.key), 0, {}},
                      [this, work](const platform_reply& found) { on_claim_conflict(work, found); });
             }
         });
}

void steward_core::on_claim_conflict(const claim_work& work, const platform_reply& found) {
    claim_work again = work;
    ++again.tries;
    if (found.what == platform_reply::result::not_found) {
        create_claim(again);
        return;
    }
    if (found.what != platform_reply::result::ok) {
        answer_claim(work, "unavailable", work.claim);
        return;
    }
    const auto standing = found.object.value.get<claim_record>();
    if (standing.attempt == work.claim.attempt && standing.state == "claimed") {
        answer_claim(work, "created", work.claim);
    } else if (standing.state == "voided" && standing.attempt != work.claim.attempt) {
        call(
            {"", platform_request::action::replace, found.object.key, found.object.version, json(work.claim)},
            [this, again](const platform_reply& reply) {
                if (reply.what == platform_reply::result::ok) {
                    answer_claim(again, "created", again.claim);
                } else {
                    create_claim(again);
                }
            });
    } else {
        answer_claim(work, "taken", standing);
    }
}

void steward_core::answer_claim(const claim_work& work, const std::string& result,
                                const claim_record& claim) {
    numbers_.count("claims_" + result);
    port_.send_to_entry(work.entry, claim_reply{work.operation, result, claim});
}

void steward_core::note_finished_claim(const claim_record& claim) {
    if (claim.state == "voided") {
        if (voided_attempts_.size() > most_voided) {
            voided_attempts_.clear();
        }
        voided_attempts_.insert(claim.attempt);
    }
    if (finished_claims_.size() < most_finished_claims) {
        finished_claims_[claim_name(claim.team, claim.key)] = claim;
    }
    write_finished_claims();
}

void steward_core::write_finished_claims() {
    for (const auto& [key, claim] : std::map<std::string, claim_record>(finished_claims_)) {
        if (claims_in_write_.size() >= claim_writes_at_a_time) {
            return;
        }
        if (claims_in_write_.insert(key).second) {
            write_finished_claim(claim);
        }
    }
}

void steward_core::write_finished_claim(const claim_record& claim) {
    const std::string key = claim_name(claim.team, claim.key);
    const auto done = [this, key, claim](bool is_settled) {
        claims_in_write_.erase(key);
        const auto held = finished_claims_.find(key);
        if (is_settled && held != finished_claims_.end() && held->second == claim) {
            finished_claims_.erase(held);
        }
    };
    call({"", platform_request::action::get, key, 0, {}},
         [this, key, claim, done](const platform_reply& found) {
             const auto settle = [done](const platform_reply& written) {
                 done(written.what == platform_reply::result::ok);
             };
             if (found.what == platform_reply::result::not_found && claim.state == "voided") {
                 // Takes the place of a create that is still under way and must not succeed any more.
                 call({"", platform_request::action::create, key, 0, json(claim)}, settle);
                 return;
             }
             if (found.what != platform_reply::result::ok) {
                 done(found.what == platform_reply::result::not_found);
                 return;
             }
             const auto standing = found.object.value.get<claim_record>();
             if (standing.attempt != claim.attempt || standing.state != "claimed") {
                 done(true);
                 return;
             }
             call({"", platform_request::action::replace, key, found.object.version, json(claim)}, settle);
         });
}

void steward_core::look_up(const std::string& entry, const lookup_request& message) {
    const auto finished = finished_claims_.find(claim_name(message.team, message.key));
    if (finished != finished_claims_.end()) {
        port_.send_to_entry(entry, lookup_reply{message.operation, "found", finished->second});
        return;
    }
    call({"", platform_request::action::get, claim_name(message.team, message.key), 0, {}},
         [this, entry, message](const platform_reply& found) {
             lookup_reply reply{message.operation, "unavailable", {}};
             reply.claim.key = message.key;
             if (found.what == platform_reply::result::ok) {
                 reply = {message.operation, "found", found.object.value.get<claim_record>()};
             } else if (found.what == platform_reply::result::not_found) {
                 reply.result = "none";
             }
             port_.send_to_entry(entry, reply);
         });
}

// ---- counts for the report on service-level burn ----

void steward_core::count_teams(const std::string& entry, const std::map<std::string, team_counts>& teams) {
    const bool is_counted_here = is_mine(entry);
    for (const auto& [team, counts] : teams) {
        team_counts& seen = seen_counts_[entry][team];
        if (is_counted_here) {
            team_counts& bucket = minute_counts_[team];
            bucket.asked += std::max<std::int64_t>(0, counts.asked - seen.asked);
            bucket.whole += std::max<std::int64_t>(0, counts.whole - seen.whole);
            bucket.refused += std::max<std::int64_t>(0, counts.refused - seen.refused);
            bucket.failed += std::max<std::int64_t>(0, counts.failed - seen.failed);
        }
        seen = counts;
    }
}

void steward_core::write_counts() {
    const std::int64_t minute = wall_clock_ms() / ms_per_minute;
    const bool is_last = host_state_ == "draining";
    if (minute_ == 0) {
        minute_ = minute;
    }
    if ((minute == minute_ && !is_last) || minute_counts_.empty() || is_writing_counts_) {
        return;
    }
    const counts_bucket bucket{minute_, minute_counts_};
    is_writing_counts_ = true;
    const std::string key =
        "counts/" + std::to_string(minute_) + "/" + settings_.incarnation + (is_last ? "/last" : "");
    minute_counts_.clear();
    minute_ = minute;
    call({"", platform_request::action::create, key, 0, json(bucket)},
         [this, bucket](const platform_reply& reply) {
             is_writing_counts_ = false;
             if (reply.what == platform_reply::result::ok || reply.what == platform_reply::result::conflict) {
                 return;
             }
             for (const auto& [team, counts] : bucket.teams) {
                 team_counts& kept = minute_counts_[team];
                 kept.asked += counts.asked;
                 kept.whole += counts.whole;
                 kept.refused += counts.refused;
                 kept.failed += counts.failed;
             }
         });
}

// ---- the planned stop ----

void steward_core::begin_stop(time_point now) {
    now_ = now;
    const outcome<std::string> next = host_chart_.next(host_state_, "stop");
    if (value_of(next) == nullptr) {
        return;
    }
    host_state_ = *value_of(next);
    stop_began_ = now;
    log_info("stopping", {{"bills_waiting", buffer_.waiting()}});
    const std::vector<steward_record>& list = view_->head().stewards;
    const auto self = std::find_if(list.begin(), list.end(), [this](const steward_record& s) {
        return s.incarnation == settings_.incarnation;
    });
    if (self != list.end()) {
        fleet_command command;
        command.kind = command_kind::remove_steward;
        command.steward = *self;
        start_own_command(command);
    }
}

// A steward that stops while the platform is dark would take its share of the undrained bills with it.
// It gives them to its peers first, and goes when each record has another holder.
void steward_core::hand_over_bills() {
    const std::optional<ledger_segment> segment = buffer_.current();
    for (const bill_record& record : segment ? segment->records : std::vector<bill_record>{}) {
        hand_over_.add(record, now_);
    }
    for (const auto& [incarnation, link] : peers_) {
        std::vector<bill_record> unsent = hand_over_.take_records_to_send(incarnation, now_, hand_over_resend);
        if (!unsent.empty()) {
            port_.send_to_peer(incarnation, bill_batch{std::move(unsent)});
        }
    }
    if (segment && !peers_.empty() && hand_over_.min_copies() >= 1) {
        buffer_.on_written(segment->name);
    }
}

void steward_core::advance_stop() {
    if (host_state_ == "leaving" && (commands_.empty() || now_ - stop_began_ > hand_over_after)) {
        host_state_ = *value_of(host_chart_.next(host_state_, "unadvertised"));
    }
    if (host_state_ != "draining") {
        return;
    }
    const bool is_dark = now_ - stop_began_ > hand_over_after && !buffer_.is_empty();
    if (is_dark) {
        hand_over_bills();
    }
    const bool is_given_up = now_ - stop_began_ > longest_hand_over && peers_.empty();
    if ((buffer_.is_empty() && finished_claims_.empty()) || is_given_up ||
        (buffer_.is_empty() && now_ - stop_began_ > longest_hand_over)) {
        host_state_ = *value_of(host_chart_.next(host_state_, "empty"));
        log_info("stopped",
                 {{"bills_waiting", buffer_.waiting()}, {"claims_waiting", finished_claims_.size()}});
    }
}

} // namespace laurelhoist
