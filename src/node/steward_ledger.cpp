/** \file
 * Bills, claims and counts that the steward holds until the platform has them, and the planned stop that
 * hands bills over to peers.
 */
#include "node/steward_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration drain_interval = seconds(1);
constexpr duration hand_over_delay = seconds(2);
constexpr duration hand_over_resend_interval = milliseconds(300);
constexpr duration max_hand_over_time = seconds(20);
constexpr int max_claim_tries = 6;
constexpr std::size_t max_voided_attempts = 10000;
constexpr std::size_t max_finished_claims = 5000;
constexpr std::size_t max_concurrent_claim_writes = 32;
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
             // A conflict is this same segment: its name is unique to this incarnation and its content is
             // sealed, so an earlier write whose answer was lost took effect.
             const bool is_written =
                 reply.what == platform_reply::result::ok || reply.what == platform_reply::result::conflict;
             if (!is_written) {
                 metrics_.count("segment_writes_failed");
                 return;
             }
             metrics_.count("segments_written");
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

void steward_core::create_claim(const claim_task& task) {
    if (voided_attempts_.count(task.claim.attempt) > 0) {
        return;
    }
    if (task.tries >= max_claim_tries) {
        answer_claim(task, "unavailable", task.claim);
        return;
    }
    const std::string key = claim_name(task.claim.team, task.claim.key);
    call({"", platform_request::action::create, key, 0, json(task.claim)},
         [this, task](const platform_reply& reply) {
             if (reply.what == platform_reply::result::ok) {
                 answer_claim(task, "created", task.claim);
             } else if (reply.what == platform_reply::result::unavailable) {
                 answer_claim(task, "unavailable", task.claim);
             } else {
                 // The claim is taken, or an answer was lost: the claim that is stored now decides.
                 call({"", platform_request::action::get, claim_name(task.claim.team, task.claim.key), 0, {}},
                      [this, task](const platform_reply& found) { on_claim_conflict(task, found); });
             }
         });
}

void steward_core::on_claim_conflict(const claim_task& task, const platform_reply& found) {
    claim_task again = task;
    ++again.tries;
    if (found.what == platform_reply::result::not_found) {
        create_claim(again);
        return;
    }
    if (found.what != platform_reply::result::ok) {
        answer_claim(task, "unavailable", task.claim);
        return;
    }
    const auto existing = found.object.value.get<claim_record>();
    if (existing.attempt == task.claim.attempt && existing.state == "claimed") {
        answer_claim(task, "created", task.claim);
    } else if (existing.state == "voided" && existing.attempt != task.claim.attempt) {
        call(
            {"", platform_request::action::replace, found.object.key, found.object.version, json(task.claim)},
            [this, again](const platform_reply& reply) {
                if (reply.what == platform_reply::result::ok) {
                    answer_claim(again, "created", again.claim);
                } else {
                    create_claim(again);
                }
            });
    } else {
        answer_claim(task, "taken", existing);
    }
}

void steward_core::answer_claim(const claim_task& task, const std::string& result,
                                const claim_record& claim) {
    metrics_.count("claims_" + result);
    port_.send_to_entry(task.entry, claim_reply{task.operation, result, claim});
}

void steward_core::record_finished_claim(const claim_record& claim) {
    if (claim.state == "voided") {
        if (voided_attempts_.size() > max_voided_attempts) {
            voided_attempts_.clear();
        }
        voided_attempts_.insert(claim.attempt);
    }
    if (finished_claims_.size() < max_finished_claims) {
        finished_claims_[claim_name(claim.team, claim.key)] = claim;
    }
    write_finished_claims();
}

void steward_core::write_finished_claims() {
    for (const auto& [key, claim] : std::map<std::string, claim_record>(finished_claims_)) {
        if (claims_being_written_.size() >= max_concurrent_claim_writes) {
            return;
        }
        if (claims_being_written_.insert(key).second) {
            write_finished_claim(claim);
        }
    }
}

void steward_core::write_finished_claim(const claim_record& claim) {
    const std::string key = claim_name(claim.team, claim.key);
    const auto done = [this, key, claim](bool is_settled) {
        claims_being_written_.erase(key);
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
                 // Occupies the key, so that a create which is still in flight cannot succeed any more.
                 call({"", platform_request::action::create, key, 0, json(claim)}, settle);
                 return;
             }
             if (found.what != platform_reply::result::ok) {
                 done(found.what == platform_reply::result::not_found);
                 return;
             }
             const auto existing = found.object.value.get<claim_record>();
             if (existing.attempt != claim.attempt || existing.state != "claimed") {
                 done(true);
                 return;
             }
             call({"", platform_request::action::replace, key, found.object.version, json(claim)}, settle);
         });
}

void steward_core::look_up_claim(const std::string& entry, const lookup_request& message) {
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

// ---- team counts for the burn report ----

void steward_core::add_team_counts(const std::string& entry,
                                   const std::map<std::string, team_counts>& teams) {
    const bool is_counted_here = is_responsible_for(entry);
    for (const auto& [team, counts] : teams) {
        team_counts& seen = last_counts_[entry][team];
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
    const std::int64_t minute = port_.wall_clock_ms() / ms_per_minute;
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

// A steward that stops while the platform is unavailable would lose the undrained bills that it holds. It
// sends them to its peers first, and stops when each record has another holder.
void steward_core::hand_over_bills() {
    const std::optional<ledger_segment> segment = buffer_.current();
    for (const bill_record& record : segment ? segment->records : std::vector<bill_record>{}) {
        hand_over_outbox_.add(record, now_);
    }
    for (const auto& [incarnation, link] : peers_) {
        std::vector<bill_record> unsent =
            hand_over_outbox_.take_records_to_send(incarnation, now_, hand_over_resend_interval);
        if (!unsent.empty()) {
            port_.send_to_peer(incarnation, bill_batch{std::move(unsent)});
        }
    }
    if (segment && !peers_.empty() && hand_over_outbox_.min_copies() >= 1) {
        buffer_.on_written(segment->name);
    }
}

void steward_core::advance_stop() {
    if (host_state_ == "leaving" && (commands_.empty() || now_ - stop_began_ > hand_over_delay)) {
        host_state_ = *value_of(host_chart_.next(host_state_, "unadvertised"));
    }
    if (host_state_ != "draining") {
        return;
    }
    const bool is_platform_unavailable = now_ - stop_began_ > hand_over_delay && !buffer_.is_empty();
    if (is_platform_unavailable) {
        hand_over_bills();
    }
    const bool is_given_up = now_ - stop_began_ > max_hand_over_time && peers_.empty();
    if ((buffer_.is_empty() && finished_claims_.empty()) || is_given_up ||
        (buffer_.is_empty() && now_ - stop_began_ > max_hand_over_time)) {
        host_state_ = *value_of(host_chart_.next(host_state_, "empty"));
        log_info("stopped",
                 {{"bills_waiting", buffer_.waiting()}, {"claims_waiting", finished_claims_.size()}});
    }
}

} // namespace laurelhoist
