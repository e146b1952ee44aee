// How entry hosts carry out roll-outs together: which hosts decide, what they base it on, and which host
// reports.
#include "host/entry_host.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// If a host has not reported after this time, it is assumed to be dead or unreachable and the next host
/// reports. The report is due 0.5 s before the time limit; with 0.6 s the second host of a small fleet was
/// too late.
constexpr duration reporter_takeover_delay = milliseconds(250);
/// Hosts that are asked to write a report. Most of them are served even if the store refuses a third of the
/// hosts.
constexpr std::size_t handover_hosts = 3;
/// Time until the store's watch confirms a written report, including the 0.8 s for which readers of a large
/// fleet batch changes. Without this pause each report was written three times.
constexpr duration report_confirmation_time = milliseconds(1200);
/// Counts are sent to the hosts that decide on roll-outs in every second gossip round. At this rate 295 hosts
/// send each of them 370 messages a second.
constexpr std::uint64_t rounds_between_counts = 2;
/// Unchanged counts are sent again in every fourth gossip round, because another host may decide by now or
/// the message may have been lost.
constexpr std::uint64_t rounds_between_repeats = 4;
/// Time in which the counts of all hosts arrive at a host that has begun to decide: two gossip rounds, and as
/// many again for a lost message.
constexpr duration count_collection_time = milliseconds(1700);

constexpr double shares_to_announce = 50; ///< a trial's share is announced when it has risen by a fiftieth

/// Time within which all objects have been listed again after the store has dropped its history.
constexpr duration relisting_time = milliseconds(1000);

} // namespace

void entry_host::on_rollouts(const objects_by_name& objects) {
    rollout_orders_.update(
        objects, [this](const stored_object& object) { return codec_.rollout(object); },
        [](const stored_object& object, const error& failure) {
            log_error("rollout_refused",
                      {{"name", object.name}, {"revision", object.revision}, {"remedy", failure.message}});
        });
    const time_point now = monotonic_now();
    const bool may_have_missed_orders = history_gone_at_ && now - *history_gone_at_ < relisting_time;
    rollouts_.set_orders(rollout_orders_.values(), now,
                         may_have_missed_orders ? event_loss_window : duration::zero());
    send_copy_notice(notice_scope::change);
}

// Load pattern: 295 hosts, each of which sends its counts to three others every 0.4 s. At the end of a
// roll-out of 24 s every host had received the counts of half of the others, and it mistook the first counts
// of each for a burst of requests, so that a good release was not moved in time. All hosts therefore send
// their counts to the few hosts that decide.
void entry_host::send_counts_when_due(time_point now) {
    const bool is_due = ++rounds_ % rounds_between_counts == 0;
    if (!is_due || !is_large_fleet(now) || !rollouts_.needs_counts(now)) {
        return;
    }
    const std::vector<release_counts> counts = rollouts_.own_counts();
    if (counts == last_sent_counts_ && rounds_ % rounds_between_repeats != 0) {
        return;
    }
    send_counts(counts, now);
}

// Guards against reporting a bad release as complete. A release that fails only under the full load gave 50
// bad answers in the second after all requests were moved to it, but the report was based on counts that were
// 0.8 s old. Called every quarter of a second, this sends changed counts in time.
void entry_host::send_counts_while_settling(time_point now) {
    if (!is_large_fleet(now) || !rollouts_.awaits_completion()) {
        return;
    }
    const std::vector<release_counts> counts = rollouts_.own_counts();
    if (counts != last_sent_counts_) {
        send_counts(counts, now);
    }
}

void entry_host::send_counts(const std::vector<release_counts>& counts, time_point now) {
    last_sent_counts_ = counts;
    const std::string reporter = settings_.name + "/" + std::to_string(gossip_.self().incarnation);
    send_to_others(select_readers(gossip_.live(now)), encode_peer_message(count_update{reporter, counts}));
}

void entry_host::handle(const std::string&, const count_update& message) {
    rollouts_.merge(message.reporter, message.counts, {}, monotonic_now());
}

// Hosts that read the store receive the counts of all hosts; on a small fleet these are all hosts.
void entry_host::update_deciding_role(time_point now) {
    if (!reads_everything()) {
        hears_all_since_.reset();
    } else if (!hears_all_since_) {
        hears_all_since_ = now;
    }
    rollouts_.set_has_all_counts(hears_all_since_ && now - *hears_all_since_ > count_collection_time);
}

// Sends a brake or a move to all hosts at once. By gossip alone it takes two seconds among 295 hosts, in
// which a bad release continues to receive requests and a good one is moved late.
void entry_host::send_new_decisions(time_point now) {
    std::vector<rollout_gossip> decisions = rollouts_.own_gossip(now);
    for (rollout_gossip& decision : decisions) {
        decision.age_ms = 0;
        // These change with every answer and spread by gossip.
        decision.times.clear();
        decision.evidence_share = std::round(decision.evidence_share * shares_to_announce);
    }
    const bool is_new = decisions != last_sent_decisions_;
    last_sent_decisions_ = std::move(decisions);
    if (is_new && reads_everything() && is_large_fleet(now)) {
        gossip_message message;
        message.statuses = {gossip_.self()};
        message.rollouts = rollouts_.own_gossip(now);
        send_to_all(message);
    }
}

// Returns the number of hosts that report before this one.
std::size_t entry_host::reporter_position(time_point now) const {
    const std::vector<host_status>& hosts = gossip_.live(now);
    if (is_large_fleet(now)) {
        return find_reader_position(settings_.name, hosts).overall;
    }
    std::size_t place = 0;
    for (const host_status& host : hosts) {
        if (host.name == settings_.name) {
            break;
        }
        place += host.state == "serving" ? 1 : 0;
    }
    return place;
}

// Any host that receives all counts may report. The write is conditional on the revision on which the
// decision was based, so a host that was paused meanwhile changes nothing. Only one host at a time reports,
// to save calls.
void entry_host::advance_rollouts() {
    const time_point now = monotonic_now();
    std::map<std::string, time_point> still_due;
    for (const rollout_report& due : rollouts_.advance(now)) {
        const std::string key = due.order.service + "/" + to_string(due.state);
        const auto known = due_since_.find(key);
        still_due[key] = known == due_since_.end() ? now : known->second;
        if (now - still_due[key] >= reporter_takeover_delay * reporter_position(now)) {
            report(due);
        }
    }
    due_since_ = std::move(still_due);
    send_new_decisions(now);
}

void entry_host::report(const rollout_report& due) {
    // Hosts that use copies see a report confirmed only after the takeover delay, so that each of 295 hosts
    // would write it.
    if (!reads_everything()) {
        return;
    }
    if (!rollout_watch_.is_listed() || !reports_in_flight_.insert(due.order.service).second) {
        return;
    }
    log_info("rollout_report", {{"service", due.order.service},
                                {"release", due.order.release},
                                {"state", to_string(due.state)},
                                {"reason", due.reason},
                                {"evidence", due.evidence}});
    write_report(due.order, due.state, [this, due](const store_result<stored_object>& result) {
        const store_failure* failure = std::get_if<store_failure>(&result);
        if (failure != nullptr && *failure != store_failure::conflict) {
            hand_over_report(due);
        }
        const duration delay = failure == nullptr ? report_confirmation_time : duration::zero();
        loop_.after(delay, [this, service = due.order.service] { reports_in_flight_.erase(service); });
    });
}

void entry_host::write_report(const rollout_order& order, rollout_state state,
                              std::function<void(const store_result<stored_object>&)> done) {
    store_.replace_status(codec_.rollout_kind(), order.service, order.revision,
                          codec_.rollout_status(order, state), std::move(done));
}

// Guards against a store that refuses exactly the hosts that decide. A good release was then reported after
// its time limit, when other hosts had become readers. The write is conditional, so several hosts may try it.
void entry_host::hand_over_report(const rollout_report& due) {
    const time_point now = monotonic_now();
    const bool is_needed =
        is_large_fleet(now) && due.state != rollout_state::running; // On a small fleet all hosts decide.
    if (!is_needed || !handed_over_.insert(due.order.revision).second) {
        return;
    }
    std::vector<host_status> others = select_relays(gossip_.live(now));
    others.erase(std::remove_if(others.begin(), others.end(),
                                [this](const host_status& host) { return host.name == settings_.name; }),
                 others.end());
    others.resize(std::min(others.size(), handover_hosts));
    const report_handover handover{due.order.service, due.order.release, due.state, due.order.revision};
    send_to_others(others, encode_peer_message(handover));
}

void entry_host::handle(const std::string& from, const report_handover& handover) {
    log_info("rollout_report", {{"service", handover.service},
                                {"release", handover.release},
                                {"state", to_string(handover.state)},
                                {"reason", "handed over by " + from}});
    rollout_order order;
    order.service = handover.service;
    order.release = handover.release;
    order.revision = handover.revision;
    write_report(order, handover.state, [](const store_result<stored_object>&) {});
}

} // namespace laurelhoist
