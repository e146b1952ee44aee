#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

const time_point start = time_point{} + seconds(100);

endpoint_record engine(std::int64_t started_at_ms = 1000) {
    endpoint_record made{"e", "10.0.0.1:9000", "hall0", "pool", "live", "v1"};
    made.started_at_ms = started_at_ms;
    return made;
}

// Guards against a second rejection that shortens the backoff period requested by the first.
RC_GTEST_PROP(back_offs, the_latest_end_of_all_periods_counts, (const std::vector<std::uint16_t>& periods)) {
    back_offs backing_off;
    time_point now = start;
    time_point until = start;
    for (const std::uint16_t period_ms : periods) {
        backing_off.note(engine(), milliseconds(period_ms), now);
        until = std::max(until, now + milliseconds(period_ms));
        RC_ASSERT(backing_off.may_send_within("e", until - now, now));
        RC_ASSERT(until == now || !backing_off.may_send_within("e", until - now - duration(1), now));
        now += milliseconds(100);
    }
}

// Guards against a backoff period that excludes a new process because the one before requested it.
TEST(back_offs, a_restart_ends_the_back_off) {
    back_offs backing_off;
    backing_off.note(engine(), seconds(3), start);
    backing_off.update({engine()}, start + seconds(1));
    EXPECT_FALSE(backing_off.may_send_within("e", duration::zero(), start + seconds(1)));
    EXPECT_EQ(backing_off.time_until_available("pool", start + seconds(1)), seconds(2));
    backing_off.update({engine(9000)}, start + seconds(1));
    EXPECT_TRUE(backing_off.may_send_within("e", duration::zero(), start + seconds(1)));
    EXPECT_EQ(backing_off.time_until_available("pool", start + seconds(1)), std::nullopt);
}

// Guards against the loss of a backoff period when the endpoint's entry expires in an outage of the store and
// is listed again before the period ends.
TEST(back_offs, a_relisted_endpoint_is_still_backing_off) {
    back_offs backing_off;
    backing_off.note(engine(), seconds(3), start);
    backing_off.update({}, start + seconds(1));
    backing_off.update({engine()}, start + seconds(2));
    EXPECT_FALSE(backing_off.may_send_within("e", duration::zero(), start + seconds(2)));
}

// Guards against a request that is sent although the rejection arrived while its connection was being made.
TEST(back_offs, a_back_off_learned_after_the_choice_is_detected) {
    back_offs backing_off;
    backing_off.note(engine(), seconds(3), start);
    EXPECT_TRUE(backing_off.has_begun_since("e", start - milliseconds(1)));
    EXPECT_FALSE(backing_off.has_begun_since("e", start + milliseconds(1)));
}

} // namespace
} // namespace laurelhoist
