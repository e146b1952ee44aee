// Decisions under load, in virtual time.
#include "admission/admission.h"

#include "base/random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace laurelhoist {
namespace {

constexpr duration objective = seconds(2);
constexpr duration time_limit = seconds(5);
constexpr int steps_per_s = 100;
constexpr int teams = 24;
constexpr double usual_per_s = 60; ///< of all teams
constexpr double capacity_per_s = 78;
const time_point start = time_point{} + seconds(1000);

struct day {
    bool has_hot_teams = false; ///< the first two teams send eight times their usual from 4 s on
    bool has_burst = false;     ///< all teams send 2.2 times as much from 6 to 12 s
    bool refuses = true;
    bool demotes = true;
};

struct day_result {
    double others_in_time = 0; ///< requests of the other teams served within the objective, 6 to 12 s
    int admitted = 0;          ///< from 4 s on
    int refused = 0;
    int expired = 0; ///< admitted, but not served within their time limit
};

struct queued_request {
    int team;
    time_point arrived_at;
    std::string kind;
};

/** Plays 30 s on one engine, which serves its queue in the order of urgency. */
day_result play(const day& given) {
    team_usage usage;
    service_pressure pressure;
    random_source random(5);
    std::array<std::deque<queued_request>, service_pressure::urgencies> queue;
    day_result result;
    double served = 0;
    int number = 0;
    for (int step = -10 * steps_per_s; step < 30 * steps_per_s; ++step) {
        const time_point now = start + milliseconds(10) * step;
        const bool is_burst = given.has_burst && step >= 6 * steps_per_s && step < 12 * steps_per_s;
        for (int team = 0; team < teams; ++team) {
            const bool is_hot = given.has_hot_teams && team < 2 && step >= 4 * steps_per_s;
            const double per_step =
                usual_per_s / teams / steps_per_s * (is_hot ? 8 : 1) * (is_burst ? 2.2 : 1);
            if (!random.chance(per_step)) {
                continue;
            }
            const std::string name = "team" + std::to_string(team);
            const std::string request = std::to_string(++number);
            const int priority = number % 3;
            usage.on_request(name, priority, now);
            pressure.update(now);
            const bool may_demote = given.demotes && pressure.is_pressed();
            const int urgency =
                3 + priority + (may_demote ? usage.demotion(name, priority, request, now) : 0);
            const std::string kind = std::to_string(urgency);
            const admission_inputs inputs{request,
                                          pressure.is_pressed() && given.refuses,
                                          pressure.answered_within_ms(kind, urgency, 0, now),
                                          time_limit,
                                          priority,
                                          pressure.drain_time(now)};
            if (std::holds_alternative<rejected>(decide(inputs))) {
                ++result.refused;
                continue;
            }
            result.admitted += step >= 4 * steps_per_s ? 1 : 0;
            pressure.on_accepted(urgency, objective, now);
            queue.at(static_cast<std::size_t>(urgency)).push_back({team, now, kind});
        }
        served += capacity_per_s / steps_per_s;
        for (std::size_t urgency = 0; urgency < queue.size(); ++urgency) {
            std::deque<queued_request>& waiting = queue.at(urgency);
            while (!waiting.empty() && (served >= 1 || now - waiting.front().arrived_at >= time_limit)) {
                const queued_request request = waiting.front();
                waiting.pop_front();
                const duration took = now - request.arrived_at;
                const bool is_served = took < time_limit;
                served -= is_served ? 1 : 0;
                result.expired += is_served ? 0 : 1;
                pressure.on_left(static_cast<int>(urgency), is_served, now);
                pressure.on_first_event(request.kind, took, 0, objective, now);
                const bool counts = request.arrived_at >= start + seconds(6) &&
                                    request.arrived_at < start + seconds(12) && request.team >= 2;
                result.others_in_time += counts && took <= objective ? 1 : 0;
            }
        }
        served = std::min(served, 1.0);
    }
    return result;
}

// Guards against two teams that send eight times their usual load and make all others late.
TEST(admission, the_usual_load_of_other_teams_is_served_beside_hot_teams_and_a_burst) {
    const day_result before = play({});
    const day_result after = play({true, true, true, true});
    EXPECT_GE(after.others_in_time, 0.9 * before.others_in_time);
}

// Guards against requests that take room and reach their time limit unanswered.
TEST(admission, no_more_is_accepted_than_can_be_answered) {
    const day_result result = play({true, true, true, true});
    EXPECT_LE(result.admitted, 1.1 * capacity_per_s * 26);
    EXPECT_GT(result.refused, 0);
}

TEST(admission, nothing_is_refused_while_the_service_is_calm) {
    EXPECT_EQ(play({}).refused, 0);
    admission_inputs inputs{"1", false, 1e9, time_limit, 0, std::nullopt};
    EXPECT_TRUE(std::holds_alternative<admitted>(decide(inputs)));
}

// Guards against refused callers that return together, or too late to be served.
RC_GTEST_PROP(admission, callers_return_spread_within_their_time, ()) {
    const duration drain = milliseconds(*rc::gen::inRange(0, 60'000));
    const duration left = milliseconds(*rc::gen::inRange(150, 60'000));
    std::vector<duration> times;
    for (int i = 0; i < 200; ++i) {
        admission_inputs inputs{std::to_string(i), true, 1e9, left, i % 2, drain};
        times.push_back(time_to_return(inputs));
        RC_ASSERT(times.back() >= milliseconds(50));
        RC_ASSERT(times.back() <= left / 3);
        RC_ASSERT(times.back() == time_to_return(inputs));
        inputs.priority += 1;
        RC_ASSERT(times.back() <= time_to_return(inputs));
    }
    std::sort(times.begin(), times.end());
    times.erase(std::unique(times.begin(), times.end()), times.end());
    RC_ASSERT(times.size() > 50 || drain <= milliseconds(200) || left <= milliseconds(300));
}

// Guards against teams that starve or pay for others where hosts hear little, restart or are cut off.
RC_GTEST_PROP(admission, no_team_has_less_than_a_quarter_of_the_mean, ()) {
    const int count = *rc::gen::inRange(3, 401);
    const double lost = *rc::gen::elementOf(std::vector<double>{0.0, 0.3, 0.9});
    random_source random(static_cast<std::uint64_t>(*rc::gen::inRange(0, 1000)));
    std::vector<team_usage> hosts(static_cast<std::size_t>(count));
    for (int step = 0; step < 60; ++step) {
        const time_point now = start + milliseconds(250) * step;
        const bool is_cut = step >= 30;
        if (step == 40) {
            hosts[0] = team_usage{};
        }
        for (int i = 0; i < 3 * count; ++i) {
            const std::size_t host = random.below(hosts.size());
            const std::string team = "team" + std::to_string(random.below(random.chance(0.5) ? 2 : teams));
            hosts[host].on_request(team, 1, now);
        }
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            const std::size_t peer = random.below(hosts.size());
            const bool is_between = (host % 3 == 0) != (peer % 3 == 0);
            if (peer != host && !random.chance(lost) && !(is_cut && is_between)) {
                hosts[peer].merge(std::to_string(host), hosts[host].samples_to_gossip(now), now);
            }
            RC_ASSERT(hosts[host].samples_to_gossip(now).size() <= team_usage::max_samples);
        }
    }
    const time_point end = start + seconds(15);
    for (team_usage& host : hosts) {
        RC_ASSERT(host.weight("never heard of", end) >= team_usage::min_weight);
        for (int team = 0; team < teams; ++team) {
            const std::string name = "team" + std::to_string(team);
            RC_ASSERT(host.weight(name, end) >= team_usage::min_weight);
            RC_ASSERT(host.demoted_share(name, end) < 0.75);
        }
    }
}

// Guards against a team that is demoted by chance or without evidence.
TEST(admission, a_team_without_evidence_counts_as_usual) {
    team_usage usage;
    EXPECT_EQ(usage.overuse("a", start), 1);
    EXPECT_EQ(usage.weight("a", start), 1);
    for (int i = 0; i < 100; ++i) {
        usage.on_request("a", 0, start);
    }
    EXPECT_EQ(usage.demotion("a", 0, "1", start + seconds(1)), 0);
}

// Guards against the urgent requests of a team that are placed behind its own less urgent ones.
TEST(admission, the_least_urgent_requests_of_a_team_are_demoted_first) {
    team_usage usage;
    for (int i = 0; i < 2000; ++i) {
        const time_point now = start + milliseconds(10) * i;
        for (int j = 0; i % 5 == 0 && j < (i < 1800 ? 1 : 8); ++j) {
            usage.on_request("a", j % 2 == 0 ? 0 : 2, now);
            usage.on_request("b", j % 2, now);
        }
    }
    const time_point end = start + seconds(20);
    ASSERT_GT(usage.demoted_share("a", end), 0.5);
    int most_urgent_kept = 9;
    int least_urgent = 0;
    bool is_all_kept = true;
    for (int i = 0; i < 300; ++i) {
        const int urgent = usage.demotion("a", 0, std::to_string(i), end);
        const int relaxed = 2 + usage.demotion("a", 2, std::to_string(i), end);
        least_urgent = std::max(least_urgent, urgent);
        most_urgent_kept = std::min(most_urgent_kept, relaxed);
        is_all_kept = is_all_kept && urgent == 0;
    }
    EXPECT_FALSE(is_all_kept);
    EXPECT_LE(least_urgent, most_urgent_kept);
}

} // namespace
} // namespace laurelhoist
