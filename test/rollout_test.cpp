#include "rollout/rollout.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {

namespace {

version_counts counts_of(std::int64_t rated, std::int64_t below) {
    version_counts counts;
    counts.rated = rated;
    counts.below = below;
    return counts;
}

} // namespace

// Reports of entries come late, doubled and out of order over several stewards. All stewards must come to
// the same sums, or one would brake what another rolls on.
RC_GTEST_PROP(evidence_pool, order_and_doubling_change_nothing, (const std::vector<std::uint8_t>& values)) {
    evidence_pool one;
    evidence_pool other;
    for (const std::uint8_t value : values) {
        one.merge("e" + std::to_string(value % 3), {{"m@1", counts_of(value, value / 2)}});
    }
    for (auto value = values.rbegin(); value != values.rend(); ++value) {
        other.merge("e" + std::to_string(*value % 3), {{"m@1", counts_of(*value, *value / 2)}});
        other.merge("e" + std::to_string(*value % 3), {{"m@1", counts_of(*value, *value / 2)}});
    }
    RC_ASSERT(one.total("m@1") == other.total("m@1"));
}

TEST(brake, tells_bad_from_good) {
    const brake_limits limits = limits_for(0.9, {}, {});
    EXPECT_EQ(judge(counts_of(5, 1), limits), brake_verdict::undecided);
    EXPECT_EQ(judge(counts_of(20, 14), limits), brake_verdict::braked);
    EXPECT_EQ(judge(counts_of(100, 9), limits), brake_verdict::passed);
}

// The rater turns harsh for everybody one morning. A good version under roll-out must not be braked for it.
TEST(brake, a_drifting_rater_shifts_the_baseline) {
    const brake_limits harsh = limits_for(0.9, counts_of(1000, 400), {});
    EXPECT_NE(judge(counts_of(60, 24), harsh), brake_verdict::braked);
    EXPECT_EQ(judge(counts_of(60, 24), limits_for(0.9, {}, {})), brake_verdict::braked);
}

// A good version is braked by chance in under 1 of 1,000 roll-outs, a clearly bad one after few answers.
TEST(brake, error_chances_hold_over_many_rollouts) {
    const brake_limits limits = limits_for(0.9, {}, {});
    random_source random(42);
    int false_brakes = 0;
    constexpr int rollouts = 4000;
    for (int i = 0; i < rollouts; ++i) {
        version_counts counts;
        for (int answer = 0; answer < 400 && judge(counts, limits) == brake_verdict::undecided; ++answer) {
            ++counts.rated;
            counts.below += random.chance(0.1) ? 1 : 0;
        }
        false_brakes += judge(counts, limits) == brake_verdict::braked ? 1 : 0;
    }
    EXPECT_LT(false_brakes, rollouts / 1000);
}

TEST(step_plan, a_step_waits_for_bake_time_capacity_and_verdict) {
    bundle rolling;
    rolling.rollout.steps = {{0.1, 1000}, {1.0, 1000}};
    bundle_status status{"", "rolling", "", 0, 0.1, 1};
    const std::vector<version_standing> undecided{{brake_verdict::undecided, 30}};
    EXPECT_EQ(next_step(rolling, status, milliseconds(999), true, undecided), step_action::wait);
    EXPECT_EQ(next_step(rolling, status, milliseconds(1000), false, undecided), step_action::wait);
    EXPECT_EQ(next_step(rolling, status, milliseconds(1000), true, {{brake_verdict::braked, 30}}),
              step_action::wait);
    EXPECT_EQ(next_step(rolling, status, seconds(99), true, {{brake_verdict::undecided, 29}}),
              step_action::wait);
    EXPECT_EQ(next_step(rolling, status, milliseconds(1000), true, undecided), step_action::step);
    status.step = 1;
    EXPECT_EQ(next_step(rolling, status, milliseconds(1000), true, undecided), step_action::finish);
    status.state = "paused";
    EXPECT_EQ(next_step(rolling, status, milliseconds(9000), true, undecided), step_action::wait);
}

TEST(step_plan, the_first_share_waits_for_loaded_capacity_only) {
    bundle rolling;
    rolling.rollout.steps = {{0.1, 1000}, {1.0, 1000}};
    const bundle_status status{"", "rolling", "", -1, 0.0, 1};
    EXPECT_EQ(next_step(rolling, status, duration{}, false, {}), step_action::wait);
    EXPECT_EQ(next_step(rolling, status, duration{}, true, {}), step_action::step);
}

TEST(step_watch, a_resumed_rollout_bakes_anew) {
    step_watch watch;
    fleet_head head;
    head.rolling = "b";
    head.bundles["b"] = {"", "rolling", "", 0, 0.1, 1};
    const time_point begin{seconds(10)};
    watch.observe(head, begin);
    EXPECT_EQ(watch.watched(begin + seconds(5)), seconds(5));
    head.bundles["b"].state = "paused";
    watch.observe(head, begin + seconds(5));
    EXPECT_EQ(watch.watched(begin + seconds(6)), duration::zero());
    head.bundles["b"].state = "rolling";
    watch.observe(head, begin + seconds(7));
    EXPECT_EQ(watch.watched(begin + seconds(8)), seconds(1));
}

} // namespace laurelhoist
