#include "rollout/rollout_counts.h"

#include "base/bounded.h"

#include <algorithm>
#include <set>

namespace laurelhoist {

using namespace internal;

namespace {

/// Outliers of the usual times count as this multiple; beyond it an answer is late, or overdue.
constexpr double outlier_factor = 4.0;
constexpr std::int64_t min_answers_for_mean = 20;
/// For how long a release is watched after its completion; later its failures say less about it.
constexpr duration watch_time = seconds(60);

/// Names the times for each event of a model among those of routes.
const std::string pace_prefix = "(pace)";

bool is_pace(const std::string& name) {
    return name.compare(0, pace_prefix.size(), pace_prefix) == 0;
}

void append_paces(std::vector<usual_time>& times, const std::vector<usual_time>& paces) {
    for (usual_time each : paces) {
        each.name = pace_prefix + each.name;
        times.push_back(each);
    }
}

/// Maps \p subject to [0, 1) by its hash.
double hash_fraction(const std::string& subject) {
    constexpr std::uint64_t parts = 10'000;
    return static_cast<double>(placement_hash("release/" + subject) % parts) / static_cast<double>(parts);
}

int count_other_releases(const std::map<std::string, std::map<std::string, int>>& by_service,
                         const std::string& service, const std::string& release) {
    const auto found = by_service.find(service);
    int count = 0;
    if (found != by_service.end()) {
        for (const auto& [name, endpoints] : found->second) {
            count += name == release ? 0 : endpoints;
        }
    }
    return count;
}

/// \return the choice that excludes \p release and is refused where there is no other.
release_choice refuse_unless(bool has_other, const std::string& release) {
    release_choice choice;
    choice.excluded = release;
    choice.is_refused = !has_other;
    return choice;
}

} // namespace

const char* to_string(rollout_state state) {
    switch (state) {
    case rollout_state::ordered:
        return "ordered";
    case rollout_state::running:
        return "running";
    case rollout_state::completed:
        return "completed";
    case rollout_state::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

rollout_tracker::rollout_tracker(const rollout_settings& settings)
    : settings_{settings},
      sessions_{settings.session_life},
      durations_{min_answers_for_mean, outlier_factor},
      first_bytes_{min_answers_for_mean, outlier_factor} {}

// A new order's age includes max_order_age, so that completion is reported within the time limit. A store
// that is about to drop its history sends its watches nothing; an order written at that time, counted from
// when the host saw it, was completed 0.5 s late.
void rollout_tracker::set_orders(const std::vector<rollout_order>& orders, time_point now,
                                 duration max_order_age) {
    std::set<std::string> services;
    for (const rollout_order& order : orders) {
        services.insert(order.service);
        const auto found = rollouts_.find(order.service);
        if (found != rollouts_.end() && found->second.order.release == order.release) {
            found->second.order = order;
            continue;
        }
        rollout_record started;
        started.order = order;
        started.since = now - max_order_age;
        started.seen_at = now;
        started.counted_at = now;
        started.trial_share =
            peak_trial_share(fleet_endpoints_of_other_releases(order.service, order.release));
        rollouts_[order.service] = started;
        for (auto& [key, counts] : own_) {
            if (key.service == order.service) {
                counts.sent_in_rollout = counts.first_sent_in_rollout = 0;
                counts.target = order.release;
            }
        }
        log_info("rollout_seen", {{"service", order.service},
                                  {"release", order.release},
                                  {"state", to_string(order.state)},
                                  {"limit_ms", to_ms(order.time_limit)},
                                  {"unheard_ms", to_ms(max_order_age)}});
    }
    for (auto item = rollouts_.begin(); item != rollouts_.end();) {
        item = services.count(item->first) > 0 ? std::next(item) : rollouts_.erase(item);
    }
}

bool rollout_tracker::awaits_completion() const {
    return std::any_of(rollouts_.begin(), rollouts_.end(), [](const auto& item) {
        return is_open(item.second) && item.second.has_moved() && !item.second.is_braked;
    });
}

void rollout_tracker::set_endpoint_counts(const std::string& service,
                                          const std::map<std::string, int>& by_release) {
    endpoints_[service] = by_release;
}

int rollout_tracker::endpoints_of(const std::string& service, const std::string& release) const {
    const auto found = endpoints_.find(service);
    if (found == endpoints_.end()) {
        return 0;
    }
    const auto count = found->second.find(release);
    return count == found->second.end() ? 0 : count->second;
}

int rollout_tracker::endpoints_of_other_releases(const std::string& service,
                                                 const std::string& release) const {
    return count_other_releases(endpoints_, service, release);
}

int rollout_tracker::fleet_endpoints_of_other_releases(const std::string& service,
                                                       const std::string& release) const {
    const auto& counts = fleet_endpoints_.count(service) > 0 ? fleet_endpoints_ : endpoints_;
    return count_other_releases(counts, service, release);
}

trial_plan rollout_tracker::plan_of(const rollout_record& rollout) const {
    return plan_trial(rollout.trial_share, settings_.exposure_share, rollout.order.time_limit,
                      rollout.evidence_share);
}

bool rollout_tracker::is_in_trial_group(const std::string& service, const std::string& session) const {
    const auto found = rollouts_.find(service);
    const double share = found == rollouts_.end() ? max_trial_share : plan_of(found->second).peak_share;
    return !session.empty() && hash_fraction(session) < share;
}

bool rollout_tracker::is_for_new_release(const rollout_record& rollout, const routed_request& request,
                                         time_point now) const {
    const std::string& subject = request.session.empty() ? request.id : request.session;
    if (rollout.has_moved()) {
        return true;
    }
    const trial_plan plan = plan_of(rollout);
    const double share = rollout.is_at_peak() ? plan.peak_share : plan.base_share;
    if (!rollout.is_on_trial || request.is_retry || hash_fraction(subject) >= share) {
        return false;
    }
    // The peak is in the second half, in which sessions may move to the new release.
    const std::uint64_t session = placement_hash(request.session);
    return rollout.is_at_peak() || request.session.empty() ||
           !sessions_.is_recent(rollout.order.service, session, now);
}

// While the entries of the established endpoints are missing, a release on trial stays within its share of
// what this host sends, so that the bound holds over all hosts without messages: one got 186 of 396 requests,
// where 89 were allowed, because its only endpoint was the only one listed.
bool rollout_tracker::may_serve_alone(const rollout_record& rollout, time_point now) const {
    if (rollout.has_moved() || !rollout.has_seen_established) {
        return true; // The cutover allowed for it, or there is nothing to fall back to.
    }
    if (now - rollout.since >= rollout.order.time_limit) {
        return !is_suspicious(rollout);
    }
    std::int64_t all = 1;
    std::int64_t to_new_release = 1;
    for (const auto& [key, counts] : own_) {
        const bool is_counted =
            key.service == rollout.order.service && counts.target == rollout.order.release;
        all += is_counted ? counts.sent_in_rollout : 0;
        to_new_release += is_counted && key.release == rollout.order.release ? counts.sent_in_rollout : 0;
    }
    return static_cast<double>(to_new_release) <= settings_.exposure_share * static_cast<double>(all);
}

release_choice rollout_tracker::choose(const std::string& service, const routed_request& request,
                                       time_point now) const {
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end()) {
        return {};
    }
    const rollout_record& rollout = found->second;
    const std::string& release = rollout.order.release;
    const bool has_new = endpoints_of(service, release) > 0;
    // The state in the store takes precedence over a brake that crosses another host's report of completion:
    // the old endpoints stop at that report, and hosts that followed the brake would have no endpoint left.
    if (rollout.is_stopped) {
        return {"", release};
    }
    if (rollout.order.state == rollout_state::completed) {
        return {has_new ? release : std::string{}, ""};
    }
    const bool has_old = endpoints_of_other_releases(service, release) > 0;
    if (rollout.is_braked || rollout.order.state == rollout_state::rolled_back) {
        return refuse_unless(has_old, release);
    }
    if (!has_old) {
        return may_serve_alone(rollout, now) ? release_choice{release, ""} : refuse_unless(has_old, release);
    }
    if (!has_new || !is_for_new_release(rollout, request, now)) {
        return {"", release};
    }
    if (rollout.has_moved()) {
        return {release, ""};
    }
    const trial_plan plan = plan_of(rollout);
    const std::string& subject = request.session.empty() ? request.id : request.session;
    return {release, "", rollout.is_at_peak() ? plan.peak_share : plan.base_share,
            rollout.is_overloading && hash_fraction(subject) < plan.overload_share};
}

void rollout_tracker::on_started(const release_route& key, const std::string& session, time_point now,
                                 attempt_order order) {
    release_counts& counts = own_[key];
    counts.service = key.service;
    counts.release = key.release;
    counts.route = key.route;
    ++counts.sent_in_rollout;
    counts.first_sent_in_rollout += order == attempt_order::first ? 1 : 0;
    attempts_in_flight_[key].insert(now);
    const auto found = rollouts_.find(key.service);
    counts.target = found == rollouts_.end() ? std::string{} : found->second.order.release;
    const bool is_old = found == rollouts_.end() || found->second.order.release != key.release;
    if (is_old && is_in_trial_group(key.service, session)) {
        sessions_.on_started(key.service, placement_hash(session), now);
    }
}

void rollout_tracker::on_finished(const release_route& key, const std::string& session, time_point now,
                                  std::optional<time_point> started_at, attempt_progress progress) {
    std::multiset<time_point>& starts = attempts_in_flight_[key];
    const auto ended = started_at ? starts.find(*started_at) : starts.begin();
    if (ended != starts.end()) {
        starts.erase(ended);
    }
    if (progress != attempt_progress::unanswered) {
        begun_[key] = std::max<std::int64_t>(0, begun_[key] - 1);
    }
    update_running(key);
    if (progress == attempt_progress::whole && started_at && !is_new_release(key)) {
        durations_.observe(key.service, key.route, to_ms(now - *started_at));
    }
    if (!session.empty()) {
        sessions_.on_finished(key.service, placement_hash(session), now);
    }
}

void rollout_tracker::update_running(const release_route& key) {
    const auto in_flight = static_cast<std::int64_t>(attempts_in_flight_[key].size());
    const auto counts = own_.find(key);
    if (counts != own_.end()) {
        counts->second.running = std::min(begun_[key], in_flight);
    }
}

bool rollout_tracker::is_new_release(const release_route& key) const {
    const auto found = rollouts_.find(key.service);
    return found != rollouts_.end() && found->second.order.release == key.release;
}

bool rollout_tracker::is_open(const rollout_record& rollout) {
    return rollout.order.state == rollout_state::ordered || rollout.order.state == rollout_state::running;
}

bool rollout_tracker::is_open() const {
    return std::any_of(rollouts_.begin(), rollouts_.end(),
                       [](const auto& item) { return is_open(item.second); });
}

bool rollout_tracker::is_watched(const rollout_record& rollout, time_point now) {
    return rollout.completed_at && !rollout.is_stopped && now - *rollout.completed_at < watch_time;
}

bool rollout_tracker::needs_counts(time_point now) const {
    return std::any_of(rollouts_.begin(), rollouts_.end(), [now](const auto& item) {
        return is_open(item.second) || is_watched(item.second, now);
    });
}

bool rollout_tracker::is_stopped(const std::string& service) const {
    const auto found = rollouts_.find(service);
    return found != rollouts_.end() && found->second.is_stopped &&
           endpoints_of_other_releases(service, found->second.order.release) == 0;
}

std::vector<session_use> rollout_tracker::take_session_updates(time_point now) {
    sessions_.forget_old(now);
    const bool is_wanted = std::any_of(rollouts_.begin(), rollouts_.end(), [&](const auto& item) {
        const rollout_record& rollout = item.second;
        return is_open(rollout) && !rollout.is_braked && now - rollout.since < rollout.order.time_limit / 2;
    });
    return is_wanted ? sessions_.take_updates(now) : std::vector<session_use>{};
}

std::vector<release_counts> rollout_tracker::own_counts() const {
    std::vector<release_counts> counts;
    for (const auto& [key, seen] : own_) {
        if (rollouts_.count(key.service) > 0) {
            counts.push_back(seen);
        }
    }
    for (const auto& [service, rollout] : rollouts_) {
        release_counts timed;
        timed.service = service;
        timed.times = own_times(service);
        if (is_open(rollout) && !timed.times.empty()) {
            counts.push_back(timed);
        }
    }
    return counts;
}

std::vector<usual_time> rollout_tracker::own_times(const std::string& service) const {
    std::vector<usual_time> times = first_bytes_.own(service);
    append_paces(times, paces_.times().own(service));
    return times;
}

// All hosts use the same usual times: one that has just started, or that is seldom asked for the service, has
// none of its own, and without them it finds no answer late.
void rollout_tracker::combine_times() {
    std::map<std::pair<std::string, std::string>, std::vector<usual_time>> measured;
    const auto add = [&](const std::vector<usual_time>& times) {
        for (const usual_time& each : times) {
            measured[{each.service, each.name}].push_back(each);
        }
    };
    for (const auto& [service, rollout] : rollouts_) {
        add(own_times(service));
    }
    for (const auto& [host, counted] : by_host_) {
        for (const auto& [key, counts] : counted.by_route) {
            add(counts.times);
        }
    }
    for (const auto& [key, of_hosts] : measured) {
        hear((is_pace(key.second) ? paces_.times() : first_bytes_).combine(of_hosts));
    }
}

void rollout_tracker::hear(const usual_time& time) {
    if (is_pace(time.name)) {
        paces_.times().hear({time.service, time.name.substr(pace_prefix.size()), time.mean, time.answers});
    } else {
        first_bytes_.hear(time);
    }
}

std::vector<rollout_gossip> rollout_tracker::own_gossip(time_point now) const {
    std::vector<rollout_gossip> gossip;
    for (const auto& [service, rollout] : rollouts_) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - rollout.since).count();
        std::vector<usual_time> times;
        if (is_open(rollout)) {
            times = first_bytes_.heard(service);
            append_paces(times, paces_.times().heard(service));
        }
        gossip.push_back({service, rollout.order.release, age, rollout.is_braked, rollout.trial_share,
                          rollout.has_moved(), rollout.is_at_peak(), rollout.is_stopped, times,
                          rollout.evidence_share});
    }
    return gossip;
}

// Every count rises while its order is in force, so a lower one comes from a message that was overtaken. The
// attempts under an earlier order do not replace those under the current one.
void rollout_tracker::merge_counts(release_counts& held, const release_counts& seen) const {
    const auto rollout = rollouts_.find(seen.service);
    const bool is_held_current = rollout != rollouts_.end() && held.target == rollout->second.order.release;
    release_counts merged = seen;
    merged.good = std::max(held.good, seen.good);
    merged.bad = std::max(held.bad, seen.bad);
    merged.time_classes = larger_times(held.time_classes, seen.time_classes);
    if (held.target == seen.target) {
        merged.sent_in_rollout = std::max(held.sent_in_rollout, seen.sent_in_rollout);
        merged.first_sent_in_rollout = std::max(held.first_sent_in_rollout, seen.first_sent_in_rollout);
    } else if (is_held_current) {
        merged.sent_in_rollout = held.sent_in_rollout;
        merged.first_sent_in_rollout = held.first_sent_in_rollout;
        merged.target = held.target;
    }
    held = merged;
}

void rollout_tracker::merge(const std::string& host, const std::vector<release_counts>& counts,
                            const std::vector<rollout_gossip>& gossip, time_point now) {
    if (!counts.empty()) {
        by_host_[host].heard_at = now;
    }
    for (const release_counts& seen : counts) {
        merge_counts(by_host_[host].by_route[{seen.service, seen.release, seen.route}], seen);
    }
    for (const rollout_gossip& item : gossip) {
        const auto found = rollouts_.find(item.service);
        if (found == rollouts_.end() || found->second.order.release != item.release) {
            continue;
        }
        // The largest age wins: a host that has just started adopts the age and the trial share of the
        // others, so that all hosts choose the same sessions.
        const time_point since = now - foreign_time(std::max<std::int64_t>(0, item.age_ms));
        if (since < found->second.since) {
            found->second.since = since;
            found->second.trial_share = item.trial_share > 0 ? item.trial_share : found->second.trial_share;
        }
        found->second.evidence_share = std::max(found->second.evidence_share, item.evidence_share);
        std::for_each(item.times.begin(), item.times.end(), [this](const usual_time& time) { hear(time); });
        found->second.is_braked = found->second.is_braked || item.is_braked;
        found->second.is_stopped = found->second.is_stopped || item.is_stopped;
        if (item.is_at_peak && !found->second.peak_since) {
            begin_peak(found->second, now);
        }
        // A host follows the cutover of another: hosts that have restarted count fewer attempts and would cut
        // over late, one by one, up to the time limit.
        if (item.has_moved) {
            cut_over(found->second, now);
        }
    }
}

answer_totals rollout_tracker::total_of(const rollout_record& rollout, const std::string& route,
                                        bool of_new_release) const {
    answer_totals sum;
    for_each_count(rollout.order.service, [&](const release_route& key, const release_counts& counts) {
        const bool is_new = key.release == rollout.order.release;
        const bool is_included = route == all_routes ? is_outcome(key) : key.route == route;
        if (is_included && is_new == of_new_release) {
            sum.good += counts.good;
            sum.bad += counts.bad;
        }
    });
    return sum;
}

timing_counts rollout_tracker::times_of(const rollout_record& rollout, const std::string& route,
                                        bool of_new_release) const {
    timing_counts sum;
    for_each_count(rollout.order.service, [&](const release_route& key, const release_counts& counts) {
        const bool is_new = key.release == rollout.order.release;
        if (key.route == route && is_new == of_new_release) {
            add_times(sum, counts.time_classes);
        }
    });
    return sum;
}

std::int64_t rollout_tracker::good_answers_of(const std::string& service, const std::string& release) const {
    std::int64_t sum = 0;
    for_each_count(service, [&](const release_route& key, const release_counts& counts) {
        sum += key.release == release && is_outcome(key) ? counts.good : 0;
    });
    return sum;
}

} // namespace laurelhoist
