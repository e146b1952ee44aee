// Decisions of the relay that need no connection.
#include "relay/relay.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

/// Small, middle and large model on a fleet at its usual load, for a prompt of 50,000 tokens.
const std::vector<model_option> long_prompt = {{0, 160}, {1, 420}, {2, 1'600}};
constexpr double objective_ms = 2'000;
constexpr int urgent = 0;
constexpr int least_urgent = 2;

// On an idle fleet the largest prompts were answered by the small model, wrongly as often as not: the large
// one needs 1.6 s of an objective of 2 s, and only 1.2 s of it were counted as usable.
TEST(model_choice, a_long_prompt_gets_the_large_model_when_it_is_in_time) {
    EXPECT_EQ(largest_model_in_time(long_prompt, urgent, objective_ms), 2U);
    EXPECT_EQ(largest_model_in_time(long_prompt, urgent, 900), 1U);
    EXPECT_EQ(largest_model_in_time(long_prompt, urgent, 100), std::nullopt);
}

// Half of the engines are lost. What every route steps up to does not fit any more; short checks, worth a
// fifth of a chat for the same engine time, keep the small model's answers so that chats and drafts stay
// good.
TEST(model_choice, the_least_urgent_routes_give_way_first) {
    const std::vector<model_option> busy = {{0, 160}, {1, 400}, {2, 800}};
    constexpr double remaining_ms = 1'000;
    EXPECT_EQ(largest_model_in_time(busy, urgent, remaining_ms), 2U);
    EXPECT_EQ(largest_model_in_time(busy, least_urgent, remaining_ms), 1U);
    EXPECT_EQ(largest_model_in_time(busy, least_urgent + 5, remaining_ms), 1U);
}

} // namespace
} // namespace laurelhoist
