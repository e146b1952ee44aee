// How entry hosts carry out roll-outs together: who decides, what those hear, and who reports.
#include "host/entry_host.h"

namespace laurelhoist {

namespace {

/// A leader that has not reported by then is taken for dead or cut off.
constexpr duration leader_patience = milliseconds(600);
/// Until the store's own news of a report is here, which readers of a large fleet gather for 0.8 s. Without
/// it each report was written three times.
constexpr duration report_echo = milliseconds(1200);
/// Counts that decide on a roll-out go to those that decide in every second round: 295 hosts send each of
/// them 370 messages a second.
constexpr std::uint64_t rounds_between_counts = 2;
/// Counts that have not changed go again in every fourth round: another host may decide now, or the message
/// was lost.
constexpr std::uint64_t rounds_between_repeats = 4;
/// For the counts of every second round, and a message lost.
constexpr duration count_hearing_time = milliseconds(1700);

} // namespace

void entry_host::on_rollouts(const objects_by_name& objects) {
    std::vector<rollout_order> orders;
    for (const auto& [name, object] : objects) {
        const outcome<rollout_order> decoded = codec_.rollout(object);
        if (const error* failure = error_of(decoded)) {
            log_error("rollout_refused", {{"name", name}, {"remedy", failure->message}});
            continue;
        }
        orders.push_back(*value_of(decoded));
    }
    rollouts_.set_orders(orders, monotonic_now());
    tell_copies(notice_scope::change);
}

// Load pattern: 295 hosts, each of which tells three others of its counts every 0.4 s. Everyone had heard of
// half of the others at the end of a roll-out of 24 s, and took the counts of each that it heard of for the
// first time for a burst, so that a good release was not moved in time. So all send theirs to the few that
// decide.
void entry_host::tell_counts(time_point now) {
    const bool is_due = ++rounds_ % rounds_between_counts == 0;
    if (!is_due || !is_large_fleet(now) || !rollouts_.is_open()) {
        return;
    }
    std::vector<release_counts> counts = rollouts_.own_counts();
    if (counts == told_counts_ && rounds_ % rounds_between_repeats != 0) {
        return;
    }
    told_counts_ = counts;
    const std::string reporter = settings_.name + "/" + std::to_string(gossip_.self().incarnation);
    send_to_others(readers_among(gossip_.live(now)), encode_peer_message(count_news{reporter, counts}));
}

void entry_host::take(const std::string&, const count_news& news) {
    rollouts_.merge(news.reporter, news.counts, {}, monotonic_now());
}

// Those that read the store hear of everything; on a small fleet these are all.
void entry_host::note_who_decides(time_point now) {
    if (!reads_everything()) {
        hears_all_since_.reset();
    } else if (!hears_all_since_) {
        hears_all_since_ = now;
    }
    rollouts_.set_hears_all(hears_all_since_ && now - *hears_all_since_ > count_hearing_time);
}

// A brake or a move at once to everybody: from hand to hand it takes two seconds among 295 hosts, in which a
// bad release goes on getting requests, and a good one is moved late.
void entry_host::tell_decisions(time_point now) {
    std::vector<rollout_news> decisions = rollouts_.own_news(now);
    for (rollout_news& decision : decisions) {
        decision.age_ms = 0;
    }
    const bool is_new = decisions != told_decisions_;
    told_decisions_ = std::move(decisions);
    if (is_new && reads_everything() && is_large_fleet(now)) {
        peer_news news;
        news.statuses = {gossip_.self()};
        news.rollouts = rollouts_.own_news(now);
        send_to_others(gossip_.live(now), encode_peer_message(news));
    }
}

bool entry_host::leads(time_point now) const {
    const std::vector<host_status>& hosts = gossip_.live(now);
    if (is_large_fleet(now)) {
        return place_among_readers(settings_.name, hosts).overall == 0;
    }
    for (const host_status& host : hosts) {
        if (host.state == "serving") {
            return host.name == settings_.name;
        }
    }
    return true;
}

// Any host may report: the write holds only at the revision that the decision was made on, so that one that
// was paused meanwhile changes nothing. One host at a time saves calls.
void entry_host::advance_rollouts() {
    const time_point now = monotonic_now();
    std::map<std::string, time_point> still_due;
    for (const rollout_report& due : rollouts_.advance(now)) {
        const std::string key = due.order.service + "/" + to_string(due.state);
        const auto known = due_since_.find(key);
        still_due[key] = known == due_since_.end() ? now : known->second;
        if (leads(now) || now - still_due[key] > leader_patience) {
            report(due);
        }
    }
    due_since_ = std::move(still_due);
    tell_decisions(now);
}

void entry_host::report(const rollout_report& due) {
    // Those that go by copies see the report confirmed later than the leader's patience lasts, and 295 of
    // them would write it each.
    if (!reads_everything()) {
        return;
    }
    if (!rollout_watch_.is_listed() || !writing_.insert(due.order.service).second) {
        return;
    }
    log_info("rollout_report", {{"service", due.order.service},
                                {"release", due.order.release},
                                {"state", to_string(due.state)},
                                {"reason", due.reason}});
    const std::string service = due.order.service;
    store_.replace_status(codec_.rollout_kind(), service, due.order.revision,
                          codec_.rollout_status(due.order, due.state),
                          [this, service](const store_result<stored_object>& result) {
                              const bool is_done = std::holds_alternative<stored_object>(result);
                              const duration rest = is_done ? report_echo : duration::zero();
                              loop_.after(rest, [this, service] { writing_.erase(service); });
                          });
}

} // namespace laurelhoist
