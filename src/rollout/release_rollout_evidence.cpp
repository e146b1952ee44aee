// What the roll-out tracker concludes from answers: which are bad, and when a release is.
#include "rollout/rollout_counts.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace laurelhoist {

using namespace internal;

namespace {

/// Fewer bad answers since the cutover are not significant: faults of single endpoints cause as many.
constexpr double min_bad_answers = 5;
/// Share of good answers of the old release until enough are counted; the test assumes at most this share.
constexpr double default_good_share = 0.98;
/// By how much a good release exceeds the old one's bad share at most, and a bad one at least.
constexpr double tolerated_drop = 0.04;
constexpr double braked_drop = 0.25;
constexpr double tolerated_late_share = 0.1; ///< the same for answers that begin late
constexpr double braked_late_share = 0.4;
/// By how much a release has to be worse on a single route to be kept from its completion.
constexpr double withheld_drop = 0.4;
/// Routes and properties with a smaller part of the service's answers need no evidence of their own.
constexpr double min_part_of_answers = 0.1;
/// An answer is slow only if its time to the first byte exceeds the mean of the old release by this factor.
constexpr double slow_factor = 2.5;
/// The same for times as a ratio to the predicted one, which is wrong by a factor of two now and then.
constexpr double slow_factor_of_prompts = 4.0;
/// What is watched for long after the completion, and how much more of it may be bad. Streams slow down while
/// all prompts are read anew after a cutover.
struct watched_answers {
    const char* route;
    watched_rises rises;
};
constexpr watched_answers watched_routes[] = {
    {answer_time_route, {}}, {pace_route, {0.25, 0.5}}, {all_routes, {0.04, 0.15}}};
/// Part of an answer's time by which hosts delay it at random. It keeps times of some ms from looking twice
/// as long as usual.
constexpr double host_delay_ms = 2.0;
/// Fewer answers of the established release do not show how its times vary; only their lateness is compared
/// then.
constexpr std::int64_t min_established_times = 40;
/// What a good release may differ by in its times: for a brake, for its completion, and for a stop, which
/// ends a service.
constexpr timing_tolerance braked_times{1.05, 0.03};
constexpr timing_tolerance completed_times{1.0, 0.01};
constexpr timing_tolerance watched_times{1.1, 0.04};
/// Time to the first byte beyond reading the prompt: network, one engine step and the usual queueing.
constexpr double fixed_overhead_ms = 50.0;
/// By how much a slow answer exceeds the usual time at least: the network and busy hosts delay some by as
/// much.
constexpr double min_slow_excess_ms = 20.0;
constexpr double min_slow_excess_of_prompts_ms = 150.0; ///< the same for the predicted time of a prompt
/// An attempt that takes this many times the mean duration is overdue. The longest prompts and answers take
/// three times the mean.
constexpr double overdue_factor = 4.0;
/// Lower bound of the time after which an attempt is overdue. A silent endpoint is abandoned within this
/// time, and its silence is no evidence against its release.
constexpr duration min_overdue = milliseconds(8000);
constexpr duration default_overdue = milliseconds(10'000); ///< used until the mean duration is known

/// \return the share of bad answers to expect of a good release on a route. Few answers of the established
/// release count in part: a route on which all 26 of them had failed must not count against the new one.
double usual_bad_share(const answer_totals& established) {
    constexpr double prior_answers = 10;
    const auto bad = static_cast<double>(established.bad);
    const double all = bad + static_cast<double>(established.good);
    return (bad + prior_answers * (1 - default_good_share)) / (all + prior_answers);
}

/// \param established answers of the established release, which shift the baseline
/// \param is_of_all_routes the answers are weighed together with those of the other routes
release_hypotheses hypotheses_of(const std::string& route, const answer_totals& established,
                                 bool is_of_all_routes = false) {
    const double usual_quality = std::min(default_good_share, 1 - usual_bad_share(established));
    rollout_plan plan;
    const bool is_of_first_events = route == first_event_route;
    plan.tolerated_drop = is_of_first_events ? tolerated_late_share : tolerated_drop;
    plan.braked_drop = is_of_first_events ? braked_late_share : braked_drop;
    release_hypotheses hypotheses;
    hypotheses.against = hypotheses_for(usual_quality, {}, plan);
    plan.braked_drop = is_of_all_routes ? braked_drop : withheld_drop;
    hypotheses.in_favor = hypotheses_for(usual_quality, {}, plan);
    return hypotheses;
}

std::int64_t count_of(const answer_totals& answers) {
    return answers.good + answers.bad;
}

} // namespace

// An endpoint that is overloaded on purpose is slow on any release.
bool rollout_tracker::counts_slow_answers(const release_route& key) const {
    if (!is_new_release(key)) {
        return true;
    }
    const rollout_record& rollout = rollouts_.at(key.service);
    const int endpoints = fleet_endpoints_of_other_releases(key.service, key.release);
    return !rollout.is_overloading || rollout.trial_share * endpoints <= 1.0;
}

// Compares the ratio of the measured to the expected time: a larger model or a longer prompt takes several
// times as long on any release, which must not count against one of them. The mean is the old releases', and
// answers of both old and new releases are compared with it.
std::optional<rollout_tracker::time_comparison> rollout_tracker::compare(const release_route& key,
                                                                         const response_timing& timing) {
    const double ms = to_ms(timing.first_byte);
    const bool has_expectation = timing.expected_ms > 0;
    const double measure = has_expectation ? ms / (timing.expected_ms + fixed_overhead_ms) : ms;
    const std::optional<double> usual = first_bytes_.find(key.service, key.route);
    if (!is_new_release(key)) {
        first_bytes_.observe(key.service, key.route, measure);
    }
    if (!usual) {
        return std::nullopt;
    }
    time_comparison compared;
    if (has_expectation) {
        compared.is_late = ms > timing.expected_ms + min_slow_excess_of_prompts_ms &&
                           measure > *usual * slow_factor_of_prompts;
        compared.ratio = measure / *usual;
    } else {
        compared.is_late = ms > *usual + min_slow_excess_ms && measure > *usual * slow_factor;
        compared.ratio = (ms + host_delay_ms) / (*usual + host_delay_ms);
    }
    return compared;
}

duration rollout_tracker::overdue_after(const release_route& key) const {
    const std::optional<double> usual_ms = durations_.find(key.service, key.route);
    if (!usual_ms) {
        return default_overdue;
    }
    const auto threshold = std::chrono::duration<double, std::milli>(*usual_ms * overdue_factor);
    return std::max(min_overdue, std::chrono::duration_cast<duration>(threshold));
}

// Counts an attempt of the new release as bad as soon as it is overdue. A stream may begin in time and then
// proceed very slowly; it ends when its caller gives up or its deadline passes, which may be after the
// cutover.
void rollout_tracker::count_overdue(const rollout_record& rollout, time_point now) {
    for (auto& [key, starts] : attempts_in_flight_) {
        if (key.service != rollout.order.service || key.release != rollout.order.release) {
            continue;
        }
        const duration threshold = overdue_after(key);
        while (!starts.empty() && now - *starts.begin() > threshold) {
            starts.erase(starts.begin());
            ++own_[key].bad;
        }
        update_running(key);
    }
}

// Slow answers are counted when they begin rather than when they end: streams of a release that was eight
// times as slow ended 15 s after the request, after the cutover.
bool rollout_tracker::on_first_byte_received(const release_route& key, const response_timing& timing) {
    const std::optional<time_comparison> compared = compare(key, timing);
    ++begun_[key];
    update_running(key);
    if (compared && counts_slow_answers(key)) {
        const bool has_prompt = timing.expected_ms > 0;
        const release_route counted{key.service, key.release,
                                    has_prompt ? first_event_route : answer_time_route};
        on_outcome(counted, !compared->is_late, timing.endpoint);
        if (!has_prompt) {
            count_time(own_[counted].time_classes, compared->ratio);
        }
    }
    return compared && compared->is_late;
}

// Streams of the established release are compared as well, so that the share of slow ones at the usual load
// enters the baseline of the test.
bool rollout_tracker::on_stream_paced(const release_route& key, const stream_pace& pace) {
    const std::optional<bool> is_slow = paces_.compare(key.service, pace);
    if (!is_new_release(key)) {
        paces_.observe(key.service, pace);
    }
    if (is_slow && counts_slow_answers(key)) {
        on_outcome({key.service, key.release, pace_route}, !*is_slow, pace.endpoint);
    }
    return is_slow.value_or(false);
}

void rollout_tracker::on_outcome(const release_route& key, bool is_good, const std::string& endpoint) {
    release_counts& counts = own_[key];
    counts.service = key.service;
    counts.release = key.release;
    counts.route = key.route;
    ++(is_good ? counts.good : counts.bad);
    // Only a release that is complete can be stopped, so messages carry the tallies of no other.
    if (!endpoint.empty() && is_new_release(key) && rollouts_.at(key.service).completed_at) {
        count_answer(counts.tallies, endpoint, is_good, endpoints_of(key.service, key.release));
    }
}

void rollout_tracker::update_evidence(rollout_record& rollout) {
    std::set<std::string> routes;
    for_each_count(rollout.order.service, [&](const release_route& key, const release_counts&) {
        if (key.release == rollout.order.release) {
            routes.insert(key.route);
        }
    });
    // The answers of all routes together show a release that is bad on every one of them sooner. Each is
    // weighed by what is usual on its own route: one whose requests fail on any release hides nothing.
    evidence_change of_all;
    for (const std::string& route : routes) {
        release_test& test = rollout.tests[route];
        const answer_totals added = test.take_new(total_of(rollout, route, true));
        if (is_timed(route)) {
            test.include(weigh_new_times(rollout, route, added, rollout.weighed_times[route], braked_times),
                         added.bad);
            continue;
        }
        const answer_totals established = total_of(rollout, route, false);
        test.include(weigh(added, hypotheses_of(route, established)));
        if (is_outcome({rollout.order.service, rollout.order.release, route})) {
            of_all += weigh(added, hypotheses_of(route, established, true));
        }
    }
    rollout.tests[all_routes].include(of_all);
}

std::vector<evidence_change> rollout_tracker::weigh_new_times(const rollout_record& rollout,
                                                              const std::string& route,
                                                              const answer_totals& added,
                                                              timing_counts& weighed,
                                                              const timing_tolerance& against) const {
    const timing_counts established = times_of(rollout, route, false);
    const timing_counts counted = times_of(rollout, route, true);
    const timing_counts added_times = new_times(counted, weighed);
    weighed = counted;
    if (count_of(established) >= min_established_times) {
        return weigh_times(added_times, established, against, completed_times);
    }
    const evidence_change change = weigh(added, hypotheses_of(route, total_of(rollout, route, false)));
    return std::vector<evidence_change>(slow_release_count, change);
}

json rollout_tracker::describe_evidence(const rollout_record& rollout) const {
    json described = json::object();
    for (const auto& [route, test] : rollout.tests) {
        const answer_totals on_new = total_of(rollout, route, true);
        const answer_totals established = total_of(rollout, route, false);
        described[route] = {{"good", on_new.good},
                            {"bad", on_new.bad},
                            {"old_good", established.good},
                            {"old_bad", established.bad},
                            {"against", test.evidence_against()},
                            {"for", test.evidence_for()},
                            {"usual_time", first_bytes_.find(rollout.order.service, route).value_or(0)}};
        if (is_timed(route)) {
            described[route]["times"] = times_of(rollout, route, true);
            described[route]["old_times"] = times_of(rollout, route, false);
        }
    }
    return described;
}

void rollout_tracker::brake_on_evidence(rollout_record& rollout) const {
    for (const auto& [route, test] : rollout.tests) {
        if (!test.is_failed() || rollout.is_braked) {
            continue;
        }
        rollout.is_braked = true;
        const answer_totals new_totals = total_of(rollout, route, true);
        const answer_totals old_totals = total_of(rollout, route, false);
        log_warning("rollout_braked", {{"service", rollout.order.service},
                                       {"release", rollout.order.release},
                                       {"route", route},
                                       {"good", new_totals.good},
                                       {"bad", new_totals.bad},
                                       {"old_good", old_totals.good},
                                       {"old_bad", old_totals.bad}});
    }
}

watched_spread rollout_tracker::watched_spread_of(const rollout_record& rollout,
                                                  const std::string& route) const {
    watched_spread spread;
    const auto add = [&](const std::string& host, const std::map<release_route, release_counts>& uses) {
        endpoint_tally of_host{static_cast<std::uint32_t>(placement_hash(host)), 0, 0};
        for (const auto& [key, counts] : uses) {
            const bool is_included = route == all_routes ? is_outcome(key) : key.route == route;
            if (!is_included || key.service != rollout.order.service ||
                key.release != rollout.order.release) {
                continue;
            }
            for (const endpoint_tally& each : counts.tallies) {
                of_host.good += each.good;
                of_host.bad += each.bad;
            }
            spread.by_endpoint.add(counts.tallies);
        }
        spread.by_host.add({of_host});
    };
    add("", own_);
    for (const auto& [host, counted] : by_host_) {
        add(host, counted.by_route);
    }
    return spread;
}

// The share of bad answers of the established release if it were asked on the routes on which the new one is.
double rollout_tracker::usual_share_of(const rollout_record& rollout, const std::string& route) const {
    if (route != all_routes) {
        return usual_bad_share(total_of(rollout, route, false));
    }
    double expected = 0;
    double answers = 0;
    for (const auto& [each, test] : rollout.tests) {
        if (each != all_routes && is_outcome({rollout.order.service, rollout.order.release, each})) {
            const auto count = static_cast<double>(count_of(total_of(rollout, each, true)));
            expected += count * usual_bad_share(total_of(rollout, each, false));
            answers += count;
        }
    }
    return answers == 0 ? 0.0 : expected / answers;
}

double rollout_tracker::load_of_each(const rollout_record& rollout, int endpoints) {
    constexpr double ms_per_s = 1000;
    return rollout.recent_first_per_ms * ms_per_s / std::max(1, endpoints);
}

// The few requests of a service that is asked rarely vary by more than a burst. With their plain rate, every
// second rate window ended the suspicion against a release that was slow.
double rollout_tracker::least_load_of_each(const rollout_record& rollout, int endpoints) {
    constexpr double deviations = 2;
    const double requests = rollout.recent_first_per_ms * to_ms(rate_window);
    const double least = std::max(0.0, requests - deviations * std::sqrt(requests));
    return requests == 0 ? 0.0 : load_of_each(rollout, endpoints) * least / requests;
}

// A release that was slow from the start was reported complete by chance, and served late for the rest of the
// day: failures alone were counted after the report. Prompts are left out: all are read anew then. One that
// failed a fifth of its answers, in waves, looked good again between them.
void rollout_tracker::watch_for_long(rollout_record& rollout, time_point now) {
    measure_rate(rollout, now);
    const std::string& service = rollout.order.service;
    rollout.watch.on_load(least_load_of_each(rollout, endpoints_of(service, rollout.order.release)));
    for (const watched_answers& each : watched_routes) {
        const std::string route = each.route;
        const answer_totals counted = total_of(rollout, route, true);
        if (is_timed(route)) {
            const answer_totals added = rollout.watch.take_new(route, counted);
            rollout.watch.include(
                route, weigh_new_times(rollout, route, added, rollout.watched_times[route], watched_times),
                added.bad);
        } else {
            rollout.watch.include(route, counted, usual_share_of(rollout, route), each.rises);
        }
        const auto own = own_.find({service, rollout.order.release, route});
        if (rollout.watch.is_clear(route) && own != own_.end()) {
            own->second.tallies.clear();
        }
        const watched_spread spread = watched_spread_of(rollout, route);
        if (rollout.watch.must_stop(route, spread, now)) {
            stop(rollout, route, spread.by_endpoint);
        }
    }
}

void rollout_tracker::stop(rollout_record& rollout, const std::string& route,
                           const failure_spread& spread) const {
    if (!has_all_counts_ || rollout.is_stopped) {
        return;
    }
    rollout.is_stopped = true;
    log_error("release_stopped",
              {{"service", rollout.order.service},
               {"release", rollout.order.release},
               {"route", route},
               {"failed_part", spread.failed_part()},
               {"evidence", describe_evidence(rollout)},
               {"remedy", "order another release, or remove the order to let this one serve again"}});
}

void rollout_tracker::watch_completed(rollout_record& rollout, time_point now) {
    update_evidence(rollout);
    watch_for_long(rollout, now);
    for (const auto& [route, test] : rollout.tests) {
        const release_route key{rollout.order.service, rollout.order.release, route};
        if (!is_outcome(key)) {
            continue;
        }
        const release_failures failures{test.evidence_against(), test.recent_bad(),
                                        watched_spread_of(rollout, route).by_endpoint};
        if (failures.evidence == 0 && rollout.watch.is_clear(all_routes) && own_.count(key) > 0) {
            own_[key].tallies.clear();
        }
        if (must_stop(failures)) {
            stop(rollout, route, failures.spread);
        }
    }
}

bool rollout_tracker::is_suspicious(const rollout_record& rollout) const {
    return settings_.suspects && std::any_of(rollout.tests.begin(), rollout.tests.end(),
                                             [](const auto& item) { return item.second.is_suspicious(); });
}

// A release that is tried on few answers, or on good and bad ones in turn, is neither bad nor good for the
// tests. Without evidence for it, one was reported complete after 75 answers, a quarter of them late.
bool rollout_tracker::is_shown_good(const rollout_record& rollout) const {
    if (!settings_.requires_evidence) {
        return true;
    }
    const auto answers_of = [&](const std::string& route) {
        return count_of(total_of(rollout, route, true)) + count_of(total_of(rollout, route, false));
    };
    const auto least = min_part_of_answers * static_cast<double>(answers_of(all_routes));
    return std::all_of(rollout.tests.begin(), rollout.tests.end(), [&](const auto& item) {
        const auto& [route, test] = item;
        const bool is_rare = route != all_routes && static_cast<double>(answers_of(route)) < least;
        return is_rare || test.is_passed();
    });
}

// Guards the report of completion against a release that fails only under full load, which it gets a second
// before the time limit. In one such case a tenth of the answers had failed by then, spread over the routes
// and mixed with earlier good answers: too few for the sequential test of any route. The cost is that the
// report of a good release may be late.
bool rollout_tracker::has_worsened(const rollout_record& rollout) const {
    const answer_totals new_totals = total_of(rollout, all_routes, true);
    const auto bad = static_cast<double>(new_totals.bad - rollout.totals_at_cutover.bad);
    const auto all = bad + static_cast<double>(new_totals.good - rollout.totals_at_cutover.good);
    if (bad < min_bad_answers) {
        return false;
    }
    const answer_totals old_totals = total_of(rollout, all_routes, false);
    const auto old_all = static_cast<double>(old_totals.good + old_totals.bad);
    const double baseline =
        old_all < min_good_answers ? 1 - default_good_share : static_cast<double>(old_totals.bad) / old_all;
    return bad / all > baseline + tolerated_drop / 2;
}

} // namespace laurelhoist
