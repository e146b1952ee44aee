// Tests of decisions of the relay that need no connection: the choice between model sizes, and what is held
// of answers.
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

constexpr std::size_t one_mb = std::size_t{1} << 20;

// Guards against failures that are held beside others which callers have not read, until memory runs out.
TEST(answer_room, what_callers_have_not_read_beyond_their_share_takes_room) {
    EXPECT_EQ(bytes_beyond_shares({20 * one_mb, 0, 0, 0, 10 * one_mb}), 0U);
    EXPECT_EQ(bytes_beyond_shares({20 * one_mb, 3 * one_mb, 3 * one_mb, 10 * one_mb, 10 * one_mb}),
              3 * one_mb);
    EXPECT_EQ(bytes_beyond_shares({20 * one_mb, 3 * one_mb, 0, 14 * one_mb, 10 * one_mb}), 7 * one_mb);
}

// Guards against one long answer that takes all the room of the others.
TEST(answer_room, one_answer_gets_at_most_three_quarters_of_what_others_leave) {
    EXPECT_EQ(room_for_answer({20 * one_mb, 0, 0, 0, 0}), 15 * one_mb);
    EXPECT_EQ(room_for_answer({20 * one_mb, 15 * one_mb, 15 * one_mb, 0, 0}), 15 * one_mb);
    EXPECT_EQ(room_for_answer({20 * one_mb, 16 * one_mb, 0, 0, 0}), 3 * one_mb);
}

// Guards against whole answers that count no more once they wait for their callers.
TEST(answer_room, what_callers_have_not_read_beyond_their_buffer_takes_room) {
    EXPECT_EQ(room_for_answer({20 * one_mb, 0, 0, 10 * one_mb, 10 * one_mb}), 15 * one_mb);
    EXPECT_EQ(room_for_answer({20 * one_mb, 0, 0, 26 * one_mb, 10 * one_mb}), 3 * one_mb);
}

// Guards against an underflow, or no room at all for short answers, when more is held than is allowed.
TEST(answer_room, short_answers_are_held_whatever_others_hold) {
    EXPECT_EQ(room_for_answer({20 * one_mb, 90 * one_mb, 0, 90 * one_mb, 10 * one_mb}),
              std::size_t{16} << 10);
}

// Guards against long answers at all endpoints, and against a route that is refused for ever because its
// answers are longer than the room of an idle host.
namespace {

constexpr std::size_t read_units = 8192;
constexpr duration late = milliseconds(60);

/// Lets each of \p answers read in turn until the budget defers it. \return the units that each has read.
std::vector<std::size_t> play_tick(answer_work_budget& budget, std::vector<answer_work>& answers,
                                   duration delay = late) {
    budget.begin_tick(delay);
    std::vector<std::size_t> read(answers.size());
    std::vector<bool> is_deferred(answers.size());
    while (std::find(is_deferred.begin(), is_deferred.end(), false) != is_deferred.end()) {
        for (std::size_t index = 0; index < answers.size(); ++index) {
            if (!is_deferred[index]) {
                read[index] += read_units;
                is_deferred[index] = !budget.spend(answers[index], read_units);
            }
        }
    }
    return read;
}

} // namespace

// Guards against one answer without an end that takes the processor time of all other requests.
TEST(answer_work, endless_answers_share_what_all_may_cause_in_a_tick) {
    for (const std::size_t count : {1, 4, 40}) {
        answer_work_budget budget;
        std::vector<answer_work> answers(count);
        play_tick(budget, answers); // Their first part is free.
        const std::vector<std::size_t> read = play_tick(budget, answers);
        const std::size_t most = answer_work_budget::min_units_per_tick / count + 2 * read_units;
        std::size_t sum = 0;
        for (const std::size_t each : read) {
            EXPECT_LE(each, most);
            EXPECT_GE(each, std::min(most / 2, answer_work_budget::free_units_per_tick));
            sum += each;
        }
        EXPECT_LE(sum, answer_work_budget::min_units_per_tick +
                           count * (answer_work_budget::free_units_per_tick + 2 * read_units));
    }
}

// Guards against long answers that are read slowly although there is processor time.
TEST(answer_work, one_late_tick_bounds_long_answers_until_ticks_are_in_time_for_a_while) {
    answer_work_budget budget;
    EXPECT_EQ(budget.share(), answer_work_budget::max_units_per_tick);
    budget.begin_tick(answer_work_budget::max_delay);
    EXPECT_EQ(budget.share(), answer_work_budget::max_units_per_tick);
    budget.begin_tick(late);
    EXPECT_EQ(budget.share(), answer_work_budget::min_units_per_tick);
    for (int tick = 0; tick < 400; ++tick) {
        const std::size_t before = budget.share();
        budget.begin_tick(duration::zero());
        EXPECT_GE(budget.share(), before);
    }
    EXPECT_EQ(budget.share(), answer_work_budget::max_units_per_tick);
}

// Guards against a sound long answer that gets nothing beside answers without an end.
TEST(answer_work, a_long_answer_that_begins_later_gets_an_even_share_from_the_next_tick_on) {
    answer_work_budget budget;
    std::vector<answer_work> answers(3);
    play_tick(budget, answers);
    play_tick(budget, answers);
    answers.emplace_back();
    play_tick(budget, answers);
    EXPECT_GE(play_tick(budget, answers).back(), answer_work_budget::min_units_per_tick / 4 - 2 * read_units);
}

// Guards against tokens that are delayed beside answers without an end.
TEST(answer_work, streams_at_the_pace_of_an_engine_and_short_answers_are_not_deferred) {
    constexpr std::size_t event_units = 500;
    constexpr int events_per_tick = 20;
    answer_work_budget budget;
    std::vector<answer_work> endless(40);
    answer_work stream;
    for (int tick = 0; tick < 1000; ++tick) {
        play_tick(budget, endless);
        for (int event = 0; event < events_per_tick; ++event) {
            EXPECT_TRUE(budget.spend(stream, event_units));
        }
        answer_work short_answer;
        EXPECT_TRUE(budget.spend(short_answer, answer_work_budget::free_units));
    }
}

// Guards against chunks of one byte that cost far more than the bytes of their body show.
TEST(answer_work, framing_weighs_more_than_bytes_of_a_body) {
    EXPECT_EQ(work_of_reading(read_units, read_units), read_units);
    EXPECT_GE(work_of_reading(6, 1), 20U);
}

TEST(answer_room, long_answers_beyond_the_room_are_asked_for_a_few_at_a_time) {
    const answer_holdings full{20 * one_mb, 20 * one_mb, 0, 0, 0};
    EXPECT_TRUE(has_room_for_expected(4 * one_mb, full, max_passed_on - 1));
    EXPECT_FALSE(has_room_for_expected(4 * one_mb, full, max_passed_on));
    EXPECT_TRUE(has_room_for_expected(4 * one_mb, {20 * one_mb, 0, 0, 0, 0}, max_passed_on));
}

} // namespace
} // namespace laurelhoist
