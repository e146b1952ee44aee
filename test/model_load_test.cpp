// Tests of how routes give up larger models under load, without connections.
#include "relay/relay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

constexpr int priorities = model_load::highest_level;

/** Engines that the small model fills by \p demand, and each priority with larger models by as much again. */
double saturated_share(const model_load& models, double demand) {
    double load = demand * 0.5;
    for (int priority = 0; priority < priorities; ++priority) {
        load += models.may_step_up(priority) ? demand * 0.5 : 0.0;
    }
    return std::clamp(load - 1.0, 0.0, 1.0);
}

struct replay {
    /** Lets \p demand last; notes each change of level. */
    void play(double demand, duration time) {
        for (const time_point end = now + time; now < end; now += milliseconds(250)) {
            if (models.observe(saturated_share(models, demand), now)) {
                levels.push_back(models.level());
            }
        }
    }
    model_load models;
    std::vector<int> levels;
    time_point now = time_point{} + seconds(100);
};

// Guards against routes of all priorities giving up larger models at once, and against alternation: in a
// burst the levels are taken in turn, and after it each is left once.
TEST(model_load, larger_models_give_way_by_priority_and_return_once) {
    replay burst;
    burst.play(0.5, seconds(10));
    EXPECT_TRUE(burst.levels.empty()) << "usual load changes nothing";
    burst.play(2.6, seconds(8));
    EXPECT_EQ(burst.levels, (std::vector<int>{1, 2, 3}));
    burst.play(0.5, seconds(20));
    EXPECT_EQ(burst.levels, (std::vector<int>{1, 2, 3, 2, 1, 0}));
}

// Guards against the urgent routes giving up larger models before the others.
TEST(model_load, the_most_urgent_route_yields_last) {
    replay day;
    while (day.models.level() < 1) {
        day.play(2.6, milliseconds(250));
    }
    EXPECT_FALSE(day.models.may_step_up(7));
    EXPECT_FALSE(day.models.may_step_up(2));
    EXPECT_TRUE(day.models.may_step_up(1));
    while (day.models.level() < 2) {
        day.play(2.6, milliseconds(250));
    }
    EXPECT_FALSE(day.models.may_step_up(1));
    EXPECT_TRUE(day.models.may_step_up(0));
    EXPECT_EQ(day.models.step_up_share(0), 1.0);
}

// Guards against the most urgent requests that are too hard for a small model never getting a larger one.
TEST(model_load, the_most_urgent_route_keeps_half_of_its_budget) {
    model_load models;
    for (auto now = time_point{} + seconds(100); models.level() < model_load::highest_level;) {
        now += milliseconds(250);
        models.observe(1.0, now);
    }
    EXPECT_EQ(models.step_up_share(0), 0.5);
    EXPECT_EQ(models.step_up_share(1), 0.0);
    EXPECT_EQ(models.step_up_share(7), 0.0);
}

// Guards against alternation at a load that is too high with larger models and low without: each return to
// the same level is held for longer.
TEST(model_load, a_lasting_load_changes_the_level_ever_more_rarely) {
    replay lasting;
    lasting.play(0.85, seconds(60));
    const std::size_t first_minute = lasting.levels.size();
    EXPECT_LE(first_minute, 16U);
    lasting.play(0.85, seconds(60));
    EXPECT_LE(lasting.levels.size() - first_minute, 8U);
}

// Guards against a level that skips a step, or leaves its range, whatever is observed.
RC_GTEST_PROP(model_load, levels_change_by_one,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>>& seen)) {
    model_load models;
    time_point now = time_point{} + seconds(100);
    for (const auto& [share, waited_ms] : seen) {
        now += milliseconds(waited_ms);
        const int before = models.level();
        models.observe(share / 255.0, now);
        RC_ASSERT(std::abs(models.level() - before) <= 1);
        RC_ASSERT(models.level() >= 0 && models.level() <= priorities);
    }
}

} // namespace
} // namespace laurelhoist
