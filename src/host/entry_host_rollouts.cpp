// How entry hosts carry out roll-outs together: who decides, what those hear, and who reports.
#include "host/entry_host.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// A host that has not reported by then is taken for dead or cut off, and the next one does: the report is
/// due 0.5 s before the time limit. At 0.6 s the second host of a small fleet was too late.
constexpr duration reporters_patience = milliseconds(250);
/// Hosts that are asked to write a report; most of them reach a store that turns away a third.
constexpr std::size_t hosts_of_handover = 3;
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

/// Within this after the store has dropped its history everything has been listed anew.
constexpr duration relisting_time = milliseconds(1000);

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
    const time_point now = monotonic_now();
    const bool was_deaf = history_gone_at_ && now - *history_gone_at_ < relisting_time;
    rollouts_.set_orders(orders, now, was_deaf ? event_loss_window : duration::zero());
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
    const std::vector<release_counts> counts = rollouts_.own_counts();
    if (counts == told_counts_ && rounds_ % rounds_between_repeats != 0) {
        return;
    }
    send_counts(counts, now);
}

// Against a bad release that is reported complete: a release that fails only under everybody's load gave 50
// bad answers in the second after the move, and the report was made on counts that were 0.8 s old. At each
// look, a quarter of a second apart, they are there in time.
void entry_host::tell_counts_of_settling(time_point now) {
    if (!is_large_fleet(now) || !rollouts_.is_settling()) {
        return;
    }
    const std::vector<release_counts> counts = rollouts_.own_counts();
    if (counts != told_counts_) {
        send_counts(counts, now);
    }
}

void entry_host::send_counts(const std::vector<release_counts>& counts, time_point now) {
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

// 0 is the one that reports first.
std::size_t entry_host::place_among_reporters(time_point now) const {
    const std::vector<host_status>& hosts = gossip_.live(now);
    if (is_large_fleet(now)) {
        return place_among_readers(settings_.name, hosts).overall;
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

// Any host that hears everything may report: the write holds only at the revision that the decision was made
// on, so that one that was paused meanwhile changes nothing. One host at a time saves calls.
void entry_host::advance_rollouts() {
    const time_point now = monotonic_now();
    std::map<std::string, time_point> still_due;
    for (const rollout_report& due : rollouts_.advance(now)) {
        const std::string key = due.order.service + "/" + to_string(due.state);
        const auto known = due_since_.find(key);
        still_due[key] = known == due_since_.end() ? now : known->second;
        if (now - still_due[key] >= reporters_patience * place_among_reporters(now)) {
            report(due);
        }
    }
    due_since_ = std::move(still_due);
    tell_decisions(now);
}

void entry_host::report(const rollout_report& due) {
    // Those that go by copies see the report confirmed later than the others' patience lasts, and 295 of
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
    write_report(due.order, due.state, [this, due](const store_result<stored_object>& result) {
        const store_failure* failure = std::get_if<store_failure>(&result);
        if (failure != nullptr && *failure != store_failure::conflict) {
            hand_over(due);
        }
        const duration rest = failure == nullptr ? report_echo : duration::zero();
        loop_.after(rest, [this, service = due.order.service] { writing_.erase(service); });
    });
}

void entry_host::write_report(const rollout_order& order, rollout_state state,
                              std::function<void(const store_result<stored_object>&)> done) {
    store_.replace_status(codec_.rollout_kind(), order.service, order.revision,
                          codec_.rollout_status(order, state), std::move(done));
}

// Against a store that turns away just the hosts that decide: a sound release was reported after its time
// limit, when others had become readers. The write is conditional, so that several may try it.
void entry_host::hand_over(const rollout_report& due) {
    const time_point now = monotonic_now();
    const bool is_needed =
        is_large_fleet(now) && due.state != rollout_state::running; // Of a small one all decide.
    if (!is_needed || !handed_over_.insert(due.order.revision).second) {
        return;
    }
    std::vector<host_status> others = relays_among(gossip_.live(now));
    others.erase(std::remove_if(others.begin(), others.end(),
                                [this](const host_status& host) { return host.name == settings_.name; }),
                 others.end());
    others.resize(std::min(others.size(), hosts_of_handover));
    const report_handover errand{due.order.service, due.order.release, due.state, due.order.revision};
    send_to_others(others, encode_peer_message(errand));
}

void entry_host::take(const std::string& from, const report_handover& errand) {
    log_info("rollout_report", {{"service", errand.service},
                                {"release", errand.release},
                                {"state", to_string(errand.state)},
                                {"reason", "handed over by " + from}});
    rollout_order order;
    order.service = errand.service;
    order.release = errand.release;
    order.revision = errand.revision;
    write_report(order, errand.state, [](const store_result<stored_object>&) {});
}

} // namespace laurelhoist
