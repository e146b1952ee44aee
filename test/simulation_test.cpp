/** \file
 * Random simulation runs with fixed seeds, and replays of the recorded traces with their expected outcomes.
 */
#include "simulation/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {

namespace {

class random_disturbance_run : public ::testing::TestWithParam<std::uint64_t> {
protected:
    void SetUp() override {
        quiet_log();
        invariant_registry::instance().throw_on_failure(true);
    }
    void TearDown() override { invariant_registry::instance().throw_on_failure(false); }
};

std::string fingerprint(std::uint64_t seed) {
    world_options options;
    options.seed = seed;
    world simulated(options);
    simulated.start();
    for (int i = 0; i < 10; ++i) {
        simulated.run_for(milliseconds(700));
        simulated.inject_disturbance();
    }
    const world_report& report = simulated.report();
    return std::to_string(simulated.clock.events_run()) + "/" + std::to_string(report.whole) + "/" +
           std::to_string(report.refused);
}

} // namespace

// Guards against lost operations, calls that run twice and other broken invariants when random faults and
// operators' commands overlap under load.
TEST_P(random_disturbance_run, invariants_hold_under_random_disturbances) {
    const std::uint64_t seed = GetParam();
    SCOPED_TRACE("seed " + std::to_string(seed));
    world_options options = options_for(seed % 2 == 0 ? "brazda" : "consorzio");
    options.seed = seed;
    options.stewards = 3 + seed % 3;
    options.entries = 3 + seed % 2;
    world simulated(options);
    simulated.start();
    for (int i = 0; i < 40; ++i) {
        simulated.run_for(milliseconds(900));
        simulated.inject_disturbance();
    }
    simulated.quiesce();
    simulated.check_final();
    EXPECT_GT(simulated.report().whole, 500U);
    EXPECT_EQ(simulated.report().doubled_calls, 0U);
    EXPECT_EQ(simulated.report().lost, 0U);
}

INSTANTIATE_TEST_SUITE_P(fixed_seeds, random_disturbance_run,
                         ::testing::Values(3, 11, 42, 1010, 2003, 4003, 5001, 5017));

// Guards against short sequences of disturbances that break an invariant. RapidCheck chooses the seed and the
// times between the disturbances, and shrinks a failing sequence.
RC_GTEST_PROP(disturbances, invariants_hold_after_any_short_sequence, ()) {
    quiet_log();
    invariant_registry::instance().throw_on_failure(true);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(50, 1500));
    world_options options;
    options.seed = seed;
    options.requests_per_second = 15;
    world simulated(options);
    simulated.start();
    for (std::size_t i = 0; i < std::min<std::size_t>(gaps.size(), 12); ++i) {
        simulated.run_for(milliseconds(gaps[i]));
        simulated.inject_disturbance();
    }
    simulated.quiesce();
    simulated.check_final();
    RC_ASSERT(simulated.report().lost == 0U);
}

// Guards against runs that cannot be reproduced, because something outside the seed influences them.
TEST(simulation, the_same_seed_gives_the_same_run) {
    EXPECT_EQ(fingerprint(9), fingerprint(9));
    EXPECT_NE(fingerprint(9), fingerprint(10));
}

// Guards against nodes that read the clock of the machine: a run then depends on the minute in which it takes
// place.
TEST(simulation, counts_are_written_by_the_minutes_of_the_run) {
    quiet_log();
    world_options options;
    options.requests_per_second = 5;
    world simulated(options);
    simulated.start();
    simulated.run_for(seconds(130));
    std::set<std::int64_t> minutes;
    for (const platform_object& object : simulated.platform->list("counts/")) {
        minutes.insert(object.value.get<counts_bucket>().minute);
    }
    EXPECT_GE(minutes.size(), 2U);
    const auto now = simulated.clock.now().time_since_epoch() / std::chrono::minutes(1);
    for (const std::int64_t minute : minutes) {
        EXPECT_LT(minute, now);
        EXPECT_GE(minute, now - 3);
    }
}

// Guards against checks that cannot fail: with the freshness check disabled, an isolated entry goes on
// dispatching after a withdrawal that it has not received, and an invariant must report it.
TEST(simulation, a_disabled_freshness_check_violates_an_invariant) {
    quiet_log();
    invariant_registry::instance().throw_on_failure(true);
    world_options options;
    options.requests_per_second = 0;
    options.disabled = {"freshness"};
    world simulated(options);
    simulated.start();
    simulated.isolate("entry-0", seconds(30));
    simulated.withdraw("cheap@1");
    simulated.run_for(freshness_limit + seconds(2));
    operation op;
    op.difficulty = 0.1;
    EXPECT_THROW(
        {
            simulated.ask(0, op);
            simulated.run_for(seconds(2));
        },
        invariant_failure);
    invariant_registry::instance().throw_on_failure(false);
}

class trace_replay : public ::testing::TestWithParam<const char*> {};

// Guards against changes of behaviour that miss the outcome stated in the header of a recorded trace.
TEST_P(trace_replay, reaches_its_expected_outcome) {
    quiet_log();
    invariant_registry::instance().throw_on_failure(true);
    const outcome<trace> recorded = read_trace(std::string(LAUREL_SOURCE_DIR "/traces/") + GetParam());
    ASSERT_NE(value_of(recorded), nullptr) << error_of(recorded)->message;
    const replay_result result = replay(*value_of(recorded), {});
    EXPECT_TRUE(result.unmet_outcomes.empty()) << json(result.unmet_outcomes).dump(2);
    invariant_registry::instance().throw_on_failure(false);
}

INSTANTIATE_TEST_SUITE_P(recorded, trace_replay,
                         ::testing::Values("advisers-morning.jsonl", "counter-rush.jsonl",
                                           "store-outage.jsonl", "host-replaced.jsonl"));

} // namespace laurelhoist
