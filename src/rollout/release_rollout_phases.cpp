// When a roll-out reaches its next phase: the peak of the trial, the cutover and the report of its
// completion.
#include "rollout/rollout_counts.h"

#include <algorithm>

namespace laurelhoist {

using namespace internal;

namespace {

/// Time before the trial in which the hosts exchange the sessions that they have served.
constexpr duration session_exchange_time = milliseconds(1200);
/// Allowance for a burst of the usual size after the cutover, as a factor of the expected request rate.
constexpr double rate_margin = 1.25;
/// A host that has just started lacks the counts of the others, and leaves the cutover to them for this time.
constexpr duration count_exchange_time = milliseconds(2000);
/// The load of a host that has not been heard of for this long is not counted.
constexpr duration max_load_age = milliseconds(3000);
/// Time for every host to cut over before completion is reported: hosts act within 0.25 s, on counts that are
/// 0.4 s old.
constexpr duration min_time_after_cutover = milliseconds(700);
/// How long before the time limit completion is reported. Until then a brake can still fall back to the old
/// release, for a fault that shows only under full load: one release began to fail 0.45 s after the cutover,
/// was reported complete 0.3 s later, 0.8 s before the limit, and failed half of all requests from then on.
/// The margin leaves time for a second host to write the report. Streams that still run on the old release
/// continue on the new one.
constexpr duration report_margin = milliseconds(500);
constexpr duration decision_interval = milliseconds(250); ///< between calls of \c advance
/// Answers of a trial with which nearly all bad releases are braked: a test takes 20 to 30.
constexpr double wanted_trial_answers = 40;

} // namespace

// The exposure bound covers everything that all hosts send during the whole roll-out, whatever the evidence:
// a release that fails only under load, or only after some time, may look good until it has all the traffic.
// So the cutover comes so late that the release stays within its share even if it keeps all traffic until the
// time limit.
bool rollout_tracker::fits_exposure_bound(const rollout_record& rollout, time_point now,
                                          duration peak_time) const {
    const sent_totals& sent = rollout.sent;
    const double age_ms = std::max(1.0, to_ms(now - rollout.since));
    const double usual_per_ms = static_cast<double>(sent.all) / age_ms;
    // A burst that has just begun hardly raises the mean rate: with the mean alone, a release got 341 of
    // 1,539 requests where 261 were allowed.
    const double recent_per_ms = std::max(rollout.recent_per_ms, usual_rate_of_requests(rollout, sent));
    const double left_ms = std::max(0.0, to_ms(rollout.order.time_limit) - age_ms);
    const double peak_ms = std::min(left_ms, to_ms(peak_time));
    const double highest_per_ms = std::max(usual_per_ms, recent_per_ms);
    const double exposed = static_cast<double>(sent.to_new_release) +
                           plan_of(rollout).peak_share * recent_per_ms * peak_ms +
                           rate_margin * highest_per_ms * (left_ms - peak_ms);
    return exposed <= exposure_bound(usual_per_ms, age_ms + left_ms);
}

// Half of the slack is left for what the rates do not show.
double rollout_tracker::exposure_bound(double requests_per_ms, double time_ms) const {
    return settings_.exposure_share * requests_per_ms * time_ms + settings_.exposure_slack / 2;
}

// A service that is asked 40 times a second at four endpoints had 12 trial answers until the peak: whether a
// release that was slow in every other answer was noticed was left to chance.
void rollout_tracker::update_evidence_share(rollout_record& rollout, time_point now) const {
    // Too low a rate, from the counts of some hosts only, would make the share too large.
    const bool knows_all_counts = has_all_counts_ && now - rollout.seen_at > 2 * count_exchange_time;
    if (!rollout.is_on_trial || !knows_all_counts || rollout.peak_since) {
        return;
    }
    const trial_plan plan = plan_of(rollout);
    const sent_totals& sent = rollout.sent;
    const double age_ms = std::max(1.0, to_ms(now - rollout.since));
    const double limit_ms = to_ms(rollout.order.time_limit);
    const double per_ms = std::max(static_cast<double>(sent.all) / age_ms, rollout.recent_per_ms);
    const double trial_ms =
        limit_ms - to_ms(session_exchange_time) - to_ms(plan.peak_time) - to_ms(time_after_cutover());
    if (per_ms <= 0 || trial_ms <= 0) {
        return;
    }
    const double at_peak = plan.overload_share * per_ms * to_ms(plan.peak_time);
    const double after = rate_margin * per_ms * to_ms(time_after_cutover());
    const double wanted = wanted_trial_answers - at_peak;
    const double allowed = exposure_bound(per_ms, limit_ms) - after - at_peak;
    const double share = std::min(wanted, allowed) / (per_ms * trial_ms);
    rollout.evidence_share = std::max(rollout.evidence_share, std::min(share, max_trial_share));
}

// While most endpoints are silent, requests get one attempt only: no larger model has room, and there is
// nowhere to repeat them. When the endpoints came back, attempts rose from 200 to 290 a second at the same
// 200 requests a second, and a release got 573 of them where 561 were allowed.
double rollout_tracker::usual_rate_of_requests(const rollout_record& rollout, const sent_totals& sent) {
    return sent.first == 0 ? 0.0
                           : rollout.recent_first_per_ms * static_cast<double>(sent.all) /
                                 static_cast<double>(sent.first);
}

rollout_tracker::sent_totals rollout_tracker::sent_in(const rollout_record& rollout) const {
    sent_totals sent;
    for_each_count(rollout.order.service, [&](const release_route& key, const release_counts& counts) {
        const std::int64_t attempts = counts.target == rollout.order.release ? counts.sent_in_rollout : 0;
        sent.all += attempts;
        sent.to_new_release += key.release == rollout.order.release ? attempts : 0;
        sent.first += counts.target == rollout.order.release ? counts.first_sent_in_rollout : 0;
    });
    return sent;
}

// The counts of a host that has ended stay, but nothing runs there any more.
rollout_load rollout_tracker::load_of(const rollout_record& rollout, time_point now) const {
    const std::string& service = rollout.order.service;
    const std::string& release = rollout.order.release;
    rollout_load load;
    const auto add = [&](const std::map<release_route, release_counts>& uses) {
        for (const auto& [key, counts] : uses) {
            if (key.service == service) {
                (key.release == release ? load.on_new : load.on_established) +=
                    static_cast<double>(counts.running);
            }
        }
    };
    add(own_);
    for (const auto& [host, counted] : by_host_) {
        if (now - counted.heard_at < max_load_age) {
            add(counted.by_route);
        }
    }
    // Hosts that use a part of the endpoints have a trial endpoint in each part.
    const int used = std::max(1, endpoints_of_other_releases(service, release));
    const int parts = std::max(1, fleet_endpoints_of_other_releases(service, release) / used);
    load.new_endpoints = endpoints_of(service, release) * parts;
    load.trial_endpoints = parts;
    return load;
}

void rollout_tracker::log_hold(const rollout_record& rollout, const char* reason, bool is_held,
                               const json& inputs, time_point now) {
    log_info(is_held ? "rollout_report_held" : "rollout_report_released",
             {{"service", rollout.order.service},
              {"release", rollout.order.release},
              {"age_ms", to_ms(now - rollout.since)},
              {"reason", reason},
              {"inputs", inputs}});
}

bool rollout_tracker::is_unproven(rollout_record& rollout, time_point now) const {
    const rollout_load load = load_of(rollout, now);
    const bool is_held = settings_.proves_load && !rollout.proof.is_sufficient(load, now);
    if (is_held != rollout.is_held) {
        rollout.is_held = is_held;
        log_hold(rollout, "load", is_held,
                 {{"carried", rollout.proof.carried()},
                  {"expected", load_proof::expected(load)},
                  {"on_established", load.on_established},
                  {"on_new", load.on_new}},
                 now);
    }
    return is_held;
}

bool rollout_tracker::lacks_evidence(rollout_record& rollout, time_point now) const {
    const bool is_waiting = !is_shown_good(rollout);
    if (is_waiting != rollout.lacks_evidence) {
        rollout.lacks_evidence = is_waiting;
        log_hold(rollout, "evidence", is_waiting, describe_evidence(rollout), now);
    }
    return is_waiting;
}

std::int64_t rollout_tracker::requests_sent(const std::string& service) const {
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? 0 : sent_in(found->second).all;
}

void rollout_tracker::measure_rate(rollout_record& rollout, time_point now) const {
    const duration since = now - rollout.counted_at;
    if (since < rate_window) {
        return;
    }
    const sent_totals& sent = rollout.sent;
    const auto rate = [since](std::int64_t before, std::int64_t after) {
        return static_cast<double>(std::max<std::int64_t>(0, after - before)) / to_ms(since);
    };
    rollout.recent_per_ms = rate(rollout.sent_before.all, sent.all);
    rollout.recent_first_per_ms = rate(rollout.sent_before.first, sent.first);
    rollout.sent_before = sent;
    rollout.counted_at = now;
}

void rollout_tracker::begin_peak(rollout_record& rollout, time_point now) const {
    rollout.peak_since = now;
    const trial_plan plan = plan_of(rollout);
    log_info("rollout_trial_peak", {{"service", rollout.order.service},
                                    {"release", rollout.order.release},
                                    {"share", plan.peak_share},
                                    {"share_before", plan.base_share},
                                    {"age_ms", to_ms(now - rollout.since)}});
}

void rollout_tracker::cut_over(rollout_record& rollout, time_point now) const {
    if (rollout.has_moved()) {
        return;
    }
    rollout.cut_over_at = now;
    rollout.totals_at_cutover = total_of(rollout, all_routes, true);
    log_info("rollout_moves", {{"service", rollout.order.service},
                               {"release", rollout.order.release},
                               {"age_ms", to_ms(now - rollout.since)},
                               {"evidence", describe_evidence(rollout)}});
}

void rollout_tracker::update_overload(rollout_record& rollout, time_point now) const {
    rollout.is_overloading =
        rollout.is_at_peak() && now - *rollout.peak_since <= plan_of(rollout).max_peak_time;
}

void rollout_tracker::advance_phase(rollout_record& rollout, time_point now) const {
    const int new_endpoints = endpoints_of(rollout.order.service, rollout.order.release);
    const duration age = now - rollout.since;
    if (new_endpoints == 0) {
        rollout.cut_over_at.reset();
        rollout.is_on_trial = false;
        rollout.peak_since.reset();
        return;
    }
    // The time since this host saw the order counts as well: only then did it begin to send its sessions.
    rollout.is_on_trial =
        rollout.is_on_trial || (age > session_exchange_time && now - rollout.seen_at > session_exchange_time);
    update_evidence_share(rollout, now);
    const bool is_second_half = age >= rollout.order.time_limit / 2;
    const bool knows_all_counts = has_all_counts_ && now - rollout.seen_at > count_exchange_time;
    if (rollout.has_moved() || !rollout.is_on_trial || !is_second_half || !knows_all_counts) {
        return;
    }
    if (!rollout.peak_since && may_begin_peak(rollout, now)) {
        begin_peak(rollout, now);
    }
    if (may_cut_over(rollout, now)) {
        cut_over(rollout, now);
    }
}

duration rollout_tracker::time_after_cutover() const {
    return min_time_after_cutover + report_margin + settings_.order_delay + decision_interval;
}

// The peak begins as early as the exposure bound leaves enough time after the cutover, and at the latest so
// that it lasts for its usual time.
bool rollout_tracker::may_begin_peak(const rollout_record& rollout, time_point now) const {
    const trial_plan plan = plan_of(rollout);
    const duration left = rollout.order.time_limit - (now - rollout.since);
    const duration longest = left - time_after_cutover();
    return fits_exposure_bound(rollout, now, plan.peak_time) ||
           (longest > plan.peak_time && longest <= plan.max_peak_time &&
            fits_exposure_bound(rollout, now, longest));
}

bool rollout_tracker::may_cut_over(const rollout_record& rollout, time_point now) const {
    // A release whose endpoints only crash gives no bad answers, so good ones are required.
    const bool has_enough_good_answers =
        good_answers_of(rollout.order.service, rollout.order.release) >= min_good_answers;
    if (!has_enough_good_answers || is_suspicious(rollout) ||
        !fits_exposure_bound(rollout, now, duration::zero())) {
        return false;
    }
    // The end of a burst may allow the cutover before the trial has had its peak.
    const duration peak_time = plan_of(rollout).peak_time;
    const duration left = rollout.order.time_limit - (now - rollout.since);
    const bool has_had_peak = rollout.peak_since && now - *rollout.peak_since >= peak_time / 2;
    return has_had_peak || left < peak_time + time_after_cutover();
}

std::optional<rollout_state> rollout_tracker::due_state(rollout_record& rollout, time_point now) const {
    if (!is_open(rollout)) {
        return std::nullopt;
    }
    if (rollout.is_braked) {
        return rollout_state::rolled_back;
    }
    const bool has_settled = rollout.cut_over_at && now - *rollout.cut_over_at > min_time_after_cutover;
    const bool is_near_time_limit =
        now - rollout.since > rollout.order.time_limit - report_margin - settings_.order_delay;
    const bool is_in_doubt = settings_.suspects && has_worsened(rollout);
    if (has_settled && is_near_time_limit && !is_suspicious(rollout) && !is_in_doubt &&
        !lacks_evidence(rollout, now) && !is_unproven(rollout, now)) {
        return rollout_state::completed;
    }
    if (rollout.order.state == rollout_state::ordered) {
        return rollout_state::running;
    }
    return std::nullopt;
}

std::vector<rollout_report> rollout_tracker::advance(time_point now) {
    std::vector<rollout_report> due;
    for (auto& [service, rollout] : rollouts_) {
        if (rollout.order.state == rollout_state::completed && !rollout.completed_at) {
            rollout.completed_at = now;
        }
        const bool is_judged = settings_.stops_bad && is_watched(rollout, now);
        if (!is_judged && !is_open(rollout)) {
            continue;
        }
        rollout.sent = sent_in(rollout);
        if (is_judged) {
            watch_completed(rollout, now);
        }
        if (!is_open(rollout)) {
            continue;
        }
        if (has_all_counts_) {
            combine_times();
        }
        rollout.has_seen_established = rollout.has_seen_established ||
                                       rollout.sent.all > rollout.sent.to_new_release ||
                                       endpoints_of_other_releases(service, rollout.order.release) > 0;
        count_overdue(rollout, now);
        update_evidence(rollout);
        brake_on_evidence(rollout);
        measure_rate(rollout, now);
        if (!rollout.has_moved()) {
            const int endpoints = endpoints_of_other_releases(service, rollout.order.release);
            rollout.watch.on_established_load(load_of_each(rollout, endpoints));
        }
        if (!rollout.is_braked) {
            advance_phase(rollout, now);
        }
        update_overload(rollout, now);
        if (rollout.is_overloading) {
            rollout.proof.on_trial_peak(load_of(rollout, now));
        } else if (rollout.has_moved()) {
            rollout.proof.on_cut_over(load_of(rollout, now), now);
        }
        if (const std::optional<rollout_state> next = due_state(rollout, now)) {
            due.push_back({rollout.order, *next, rollout.is_braked ? "braked by evidence" : "on schedule",
                           describe_evidence(rollout)});
        }
    }
    return due;
}

} // namespace laurelhoist
