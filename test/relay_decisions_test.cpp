// Tests of the choice between model sizes, which needs no connection.
#include "relay/relay.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

/// Predicted times of a small, a middle and a large model for a prompt of 50,000 tokens at usual load.
const std::vector<model_option> long_prompt = {{0, 160}, {1, 420}, {2, 1'600}};
constexpr double objective_ms = 2'000;
constexpr int urgent = 0;
constexpr int least_urgent = 2;

// Guards against answering long prompts with the small model, which is wrong about half of the time, although
// the large one is in time: it needs 1.6 s of an objective of 2 s, too long if only 1.2 s count as usable.
TEST(model_choice, a_long_prompt_gets_the_large_model_when_it_is_in_time) {
    EXPECT_EQ(largest_model_in_time(long_prompt, urgent, objective_ms), 2U);
    EXPECT_EQ(largest_model_in_time(long_prompt, urgent, 900), 1U);
    EXPECT_EQ(largest_model_in_time(long_prompt, urgent, 100), std::nullopt);
}

// Guards against a loss of quality for chats and drafts when half of the engines are lost and not every route
// can step up. Short checks, worth a fifth of a chat for the same engine time, must keep a smaller model.
TEST(model_choice, less_urgent_routes_stop_stepping_up_first) {
    const std::vector<model_option> busy = {{0, 160}, {1, 400}, {2, 800}};
    constexpr double remaining_ms = 1'000;
    EXPECT_EQ(largest_model_in_time(busy, urgent, remaining_ms), 2U);
    EXPECT_EQ(largest_model_in_time(busy, least_urgent, remaining_ms), 1U);
    EXPECT_EQ(largest_model_in_time(busy, least_urgent + 5, remaining_ms), 1U);
}

} // namespace
} // namespace laurelhoist
