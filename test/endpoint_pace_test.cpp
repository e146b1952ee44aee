// Tests of what hosts learn of the pace of endpoints, and of the pauses that prompts cause.
#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

const target_model large{"large", {0.03, 1}};
constexpr double usual_ms = 100;

std::vector<endpoint_record> engines(int count, std::int64_t started_at_ms = 1) {
    std::vector<endpoint_record> records;
    for (int i = 0; i < count; ++i) {
        endpoint_record record{"e" + std::to_string(i), "10.0.0.1:" + std::to_string(9000 + i), "hall1",
                               "pool"};
        record.started_at_ms = started_at_ms;
        records.push_back(record);
    }
    return records;
}

/** Every third engine takes 2.4 times as long as the others. */
double work_time(int engine) {
    return engine % 3 == 2 ? 2.4 : 1.0;
}

struct observed_engines {
    observed_engines() { pace.update(records); }
    /** Lets each engine make \p streams streams of each of two models. */
    void observe_all(endpoint_pace& host, int streams, double (*time_of)(int)) {
        for (int stream = 0; stream < streams; ++stream) {
            for (int i = 0; i < static_cast<int>(records.size()); ++i) {
                now += milliseconds(20);
                for (const double model : {1.0, 5.0}) {
                    const double chance = 0.9 + 0.02 * static_cast<double>(random.below(11));
                    const auto name = "m" + std::to_string(model);
                    host.observe(records[static_cast<std::size_t>(i)], name,
                                 usual_ms * model * time_of(i) * chance, now);
                }
            }
        }
    }
    std::vector<endpoint_record> records = engines(12);
    endpoint_pace pace;
    random_source random{3};
    time_point now = time_point{} + seconds(100);
};

// Guards against a third of the engines being taken for as fast as the others, and against equal engines
// being taken for uneven by chance.
TEST(endpoint_pace, slow_engines_are_known_by_their_streams) {
    observed_engines fleet;
    fleet.observe_all(fleet.pace, 4, work_time);
    EXPECT_NEAR(fleet.pace.factor("e2", fleet.now), 2.4, 0.4);
    EXPECT_EQ(fleet.pace.factor("e3", fleet.now), 1.0);
    observed_engines even;
    even.observe_all(even.pace, 10, [](int) { return 1.0; });
    for (const endpoint_record& engine : even.records) {
        EXPECT_EQ(even.pace.factor(engine.name, even.now), 1.0) << engine.name;
    }
    EXPECT_TRUE(even.pace.next_to_gossip(12, even.now).empty()) << "nothing is told of equal engines";
}

// Guards against a host that has seen two streams of each engine waiting for more, while others know.
TEST(endpoint_pace, hosts_learn_from_one_another) {
    observed_engines fleet;
    endpoint_pace other;
    other.update(fleet.records);
    fleet.observe_all(other, 1, work_time);
    EXPECT_EQ(other.factor("e2", fleet.now), 1.0) << "two streams show nothing";
    fleet.observe_all(fleet.pace, 4, work_time);
    std::size_t changes = 0;
    for (int round = 0; round < 3; ++round) {
        changes += other.merge("far", fleet.pace.next_to_gossip(6, fleet.now), fleet.now).size();
    }
    EXPECT_NEAR(other.factor("e2", fleet.now), 2.4, 0.5);
    EXPECT_EQ(changes, 4U) << "each slow engine is reported once";
}

// Guards against beliefs that outlive their reason: an engine that has restarted, and one without streams.
TEST(endpoint_pace, a_belief_ends_with_the_process_and_without_evidence) {
    observed_engines fleet;
    fleet.observe_all(fleet.pace, 4, work_time);
    EXPECT_EQ(fleet.pace.factor("e2", fleet.now + seconds(60)), 1.0);
    endpoint_pace old = fleet.pace;
    EXPECT_TRUE(old.end_old_factors(fleet.now).empty());
    EXPECT_EQ(old.end_old_factors(fleet.now + seconds(60)).size(), 4U) << "the end of each is reported";
    EXPECT_TRUE(old.end_old_factors(fleet.now + seconds(60)).empty());
    fleet.pace.update(engines(12, 2));
    EXPECT_EQ(fleet.pace.factor("e2", fleet.now), 1.0);
    EXPECT_EQ(fleet.pace.end_old_factors(fleet.now).size(), 4U);
}

// Guards against one chance-slow stream that is told again and again and counts as many.
TEST(endpoint_pace, a_measurement_that_is_heard_again_counts_once) {
    observed_engines fleet;
    const std::uint32_t process = process_hash("e1", 1);
    for (int round = 0; round < 5; ++round) {
        fleet.pace.merge("far", {{process, 300, 1}}, fleet.now);
    }
    EXPECT_EQ(fleet.pace.factor("e1", fleet.now), 1.0);
    for (int sender = 0; sender < 5; ++sender) {
        fleet.pace.merge("h" + std::to_string(sender), {{process, 300, 1}}, fleet.now);
    }
    EXPECT_EQ(fleet.pace.factor("e1", fleet.now), 3.0) << "streams of several hosts do count";
}

// Guards against a median of times that were measured under an earlier load.
TEST(endpoint_pace, the_median_is_that_of_recent_streams) {
    observed_engines fleet;
    fleet.observe_all(fleet.pace, 4, [](int) { return 1.0; });
    fleet.now += seconds(60);
    for (int stream = 0; stream < 8; ++stream) {
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.now += milliseconds(100);
            fleet.pace.observe(fleet.records[i], "m" + std::to_string(1.0), 3 * usual_ms, fleet.now);
        }
    }
    EXPECT_EQ(fleet.pace.factor("e0", fleet.now), 1.0);
}

// Guards against wrong notices of a peer: whatever they say, the factor is bounded.
RC_GTEST_PROP(endpoint_pace, factors_are_bounded, (const std::vector<std::pair<int, int>>& said)) {
    observed_engines fleet;
    for (const auto& [percent, streams] : said) {
        fleet.pace.merge(std::to_string(streams),
                         {{process_hash("e1", 1), percent, streams}, {77, percent, streams}}, fleet.now);
        const double factor = fleet.pace.factor("e1", fleet.now);
        RC_ASSERT(factor >= 0.5 && factor <= 4.0);
    }
}

struct uneven_directory {
    uneven_directory() {
        fleet.observe_all(directory.pace(), 0, work_time);
        directory.update(fleet.records, fleet.now);
        directory.set_slots("pool", 48, 1);
        criteria.pool = "pool";
    }
    placement place(const prompt_shape& prompt) {
        const auto chosen = directory.choose(criteria, prompt, large, fleet.now);
        directory.on_sent(*chosen, prompt, criteria, fleet.now);
        return *chosen;
    }
    observed_engines fleet;
    endpoint_criteria criteria;
    endpoint_directory directory{load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "endpoint"), 7, "hall1"};
};

// Guards against slow engines getting as many streams as fast ones, which take there 2.4 times as long. The
// prompts are short, so that the running streams decide; reading a long one favours fast engines more.
TEST(endpoint_pace, slow_engines_get_proportionally_fewer_streams) {
    uneven_directory host;
    host.fleet.observe_all(host.directory.pace(), 4, work_time);
    std::map<std::string, int> streams;
    constexpr std::uint64_t count = 240;
    for (std::uint64_t own = 1; own <= count; ++own) {
        const placement chosen = host.place({100, {own}, {100}});
        host.directory.on_first_byte(chosen);
        ++streams[chosen.endpoint.name];
    }
    const double share = streams["e2"] / static_cast<double>(streams["e3"]);
    EXPECT_LT(share, 1.2 / 2.4);
    EXPECT_GT(share, 0.8 / 2.4);
}

// Guards against long prompts in a row at one engine, whose streams pause for longer than their aim.
TEST(pause_cost, a_long_prompt_avoids_streams_that_another_one_stops) {
    uneven_directory host;
    load_by_endpoint load;
    for (const endpoint_record& engine : host.fleet.records) {
        load[engine.name] = {engine.name == "e5" ? 420.0 : 520.0, engine.name == "e5" ? 15 : 0};
    }
    host.directory.set_peer_load("other", load, host.fleet.now);
    prompt_shape prompt{14'000, {1}, {14'000}};
    EXPECT_EQ(host.directory.choose(host.criteria, prompt, large, host.fleet.now)->endpoint.name, "e5");
    prompt.gap_objective_ms = 800;
    EXPECT_NE(host.directory.choose(host.criteria, prompt, large, host.fleet.now)->endpoint.name, "e5");
}

// Guards against a cost on calm fleets: none where nothing runs, for a short prompt, or without an aim.
TEST(pause_cost, is_nothing_without_a_pause) {
    EXPECT_EQ(pause_cost_ms({2'000, 0, 800}), 0.0);
    EXPECT_EQ(pause_cost_ms({300, 20, 800}), 0.0);
    EXPECT_EQ(pause_cost_ms({2'000, 20, 0}), 0.0);
    EXPECT_EQ(pause_cost_ms({20'000, 40, 800}), 800.0) << "a request waits no longer than a stream may pause";
}

// Guards against engines counting as saturated by the load of a calm day, and against a backlog, or streams
// in nearly all slots, that does not count.
TEST(endpoint_directory, an_engine_is_saturated_by_prompts_or_by_streams) {
    uneven_directory host;
    EXPECT_EQ(host.directory.saturated_share("pool", host.fleet.now), 0.0);
    load_by_endpoint load;
    for (const endpoint_record& engine : host.fleet.records) {
        load[engine.name] = {100, 15};
    }
    host.directory.set_peer_load("other", load, host.fleet.now);
    EXPECT_EQ(host.directory.saturated_share("pool", host.fleet.now), 0.0);
    load["e1"] = {1'500, 15};
    load["e2"] = {0, 46};
    load["e3"] = {1'500, 46};
    host.directory.set_peer_load("other", load, host.fleet.now);
    EXPECT_EQ(host.directory.saturated_share("pool", host.fleet.now), 0.25);
    EXPECT_EQ(host.directory.saturated_share("none", host.fleet.now), 0.0);
}

} // namespace
} // namespace laurelhoist
