// Decisions under load, in virtual time.
#include "admission/admission.h"

#include "base/random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>

namespace laurelhoist {
namespace {

constexpr duration objective = seconds(2);
constexpr duration time_limit = seconds(5);
constexpr int steps_per_s = 100;
constexpr int teams = 24;
constexpr double usual_per_s = 60; ///< of all teams
constexpr double capacity_per_s = 78;
const time_point start = time_point{} + seconds(1000);

bool all_teams(const std::string&) {
    return true;
}

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
            usage.on_request(name, priority, now);
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
    // Without both switches the load is such that the others are not protected.
    EXPECT_LT(play({true, true, false, false}).others_in_time, 0.9 * before.others_in_time);
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

/** Serves the usual number of requests of a step in the order of demotion; the others end unserved. */
std::vector<int> serve_step(std::vector<team_usage>& hosts, bool is_hot, bool is_protected,
                            random_source& random, time_point now) {
    constexpr int usual_requests = 300;
    constexpr int hot_requests = usual_requests * 6; // Two teams send 60 times as much.
    constexpr double hot_part = 0.85;
    std::array<std::vector<std::size_t>, 4> by_demotion;
    for (int i = 0; i < (is_hot ? hot_requests : usual_requests); ++i) {
        team_usage& host = hosts[random.below(hosts.size())];
        const std::size_t team = random.below(is_hot && random.chance(hot_part) ? 2 : teams);
        const std::string name = "team" + std::to_string(team);
        host.on_request(name, 1, now);
        const int steps =
            is_protected ? host.demotion(name, 1, std::to_string(random.below(10'000)), now) : 0;
        by_demotion.at(static_cast<std::size_t>(steps)).push_back(team);
    }
    std::vector<int> served(teams);
    int room = usual_requests;
    for (const std::vector<std::size_t>& waiting : by_demotion) {
        for (std::size_t i = 0; i < waiting.size() && room > 0; ++i, --room) {
            ++served[waiting[i]];
        }
    }
    return served;
}

/** \return the requests served of the worst served team in relation to the mean, while two teams send 60
 * times their usual load, hosts are cut off, and one restarts. */
double worst_service(int host_count, double lost, bool is_protected, std::uint64_t seed) {
    random_source random(seed);
    std::vector<team_usage> hosts(static_cast<std::size_t>(host_count));
    std::vector<int> served(teams);
    for (int step = 0; step < 60; ++step) {
        const time_point now = start + milliseconds(250) * step;
        if (step == 40) {
            hosts[0] = team_usage{};
        }
        const std::vector<int> in_step = serve_step(hosts, step >= 32, is_protected, random, now);
        for (std::size_t team = 0; step >= 36 && team < served.size(); ++team) {
            served[team] += in_step[team];
        }
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            const std::size_t peer = random.below(hosts.size());
            const bool is_cut = step >= 30 && (host % 3 == 0) != (peer % 3 == 0);
            if (peer != host && !random.chance(lost) && !is_cut) {
                hosts[peer].merge(std::to_string(host), hosts[host].samples_to_gossip(now), now, all_teams);
            }
        }
    }
    const double mean = std::accumulate(served.begin(), served.end(), 0.0) / teams;
    return *std::min_element(served.begin(), served.end()) / mean;
}

// Guards against teams that starve beside hot ones where hosts hear little, restart or are cut off.
RC_GTEST_PROP(admission, no_team_is_served_less_than_a_quarter_of_the_mean, ()) {
    const int host_count = *rc::gen::inRange(3, 41);
    const double lost = *rc::gen::elementOf(std::vector<double>{0.0, 0.3, 0.9});
    const auto seed = static_cast<std::uint64_t>(*rc::gen::inRange(0, 1000));
    RC_ASSERT(worst_service(host_count, lost, true, seed) >= 0.25);
}

TEST(admission, a_team_is_served_less_than_a_quarter_of_the_mean_without_protection) {
    EXPECT_LT(worst_service(11, 0, false, 1), 0.25);
}

// Guards against weights that vanish and teams that are demoted without a rise, at up to 400 hosts.
RC_GTEST_PROP(admission, steady_load_is_not_demoted_by_much, ()) {
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
                hosts[peer].merge(std::to_string(host), hosts[host].samples_to_gossip(now), now, all_teams);
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

// Guards against a lost sample that counts as no requests, so that the next one looks like a rise.
TEST(admission, a_missing_or_full_sample_is_no_evidence_of_idleness) {
    team_usage usage;
    std::vector<team_sample> full;
    for (std::size_t i = 0; i < team_usage::max_samples; ++i) {
        full.push_back({"busier" + std::to_string(i), 1000});
    }
    for (int i = 0; i < 500; ++i) {
        const time_point now = start + milliseconds(10) * i;
        usage.on_request("a", 0, now);
        usage.merge("empty", {}, now, all_teams);
        usage.merge("full", full, now, all_teams);
        usage.merge("partial", {{"a", 1000}}, now, all_teams);
        usage.merge("partial", {}, now, all_teams);
    }
    EXPECT_NEAR(usage.rates("a", start + seconds(5)).first, 100, 5);
    team_usage alone;
    alone.on_request("a", 0, start);
    EXPECT_EQ(alone.samples_to_gossip(start), (std::vector<team_sample>{{"a", 10}}));
}

// Guards against a host whose wrong numbers make all other teams seem to send nothing.
TEST(admission, wrong_numbers_of_another_host_are_limited) {
    team_usage usage;
    const auto is_known = [](const std::string& team) { return team != "unknown"; };
    usage.merge("wrong", {{"a", -5}, {"b", INT64_MAX}, {"unknown", 1000}}, start, is_known);
    const time_point later = start + milliseconds(200);
    EXPECT_EQ(usage.rates("a", later).first, 0);
    EXPECT_EQ(usage.rates("b", later).first, 10'000.0 / 2);
    EXPECT_EQ(usage.rates("unknown", later).first, 0);
}

// Guards against refusals by chance at a host with little traffic, most of which is urgent.
TEST(admission, a_few_urgent_requests_do_not_make_others_seem_hopeless) {
    service_pressure pressure;
    for (int i = 0; i < 10; ++i) {
        pressure.on_accepted(3, objective, start);
        pressure.on_left(3, true, start);
    }
    for (int i = 0; i < 10; ++i) {
        pressure.on_accepted(5, objective, start);
    }
    EXPECT_LE(pressure.answered_within_ms("r/5", 5, 0, start), 1000); // 10 ahead, 10 answered in a second
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
