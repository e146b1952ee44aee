#include "placement/placement.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

const time_point start = time_point{} + seconds(100);

endpoint_record engine(std::int64_t started_at_ms = 1000) {
    endpoint_record made{"e", "10.0.0.1:9000", "hall0", "pool", "live", "v1"};
    made.started_at_ms = started_at_ms;
    return made;
}

// Guards against an endpoint being used again because its entry in the store is older than its announcement
// or is listed again after an outage of the store.
TEST(leaving_endpoints, only_a_new_process_is_used_again) {
    leaving_endpoints leaving;
    EXPECT_TRUE(leaving.note(engine(), start));
    EXPECT_FALSE(leaving.note(engine(), start + seconds(1)));
    for (int second = 1; second < 200; ++second) {
        const bool is_listed = second % 20 < 15;
        leaving.update(is_listed ? std::vector{engine()} : std::vector<endpoint_record>{},
                       start + seconds(second));
        EXPECT_TRUE(leaving.is_leaving(engine()));
    }
    EXPECT_FALSE(leaving.is_leaving(engine(9000)));
}

// Guards against memory that grows with each endpoint that has ever left.
TEST(leaving_endpoints, processes_that_are_gone_are_forgotten) {
    leaving_endpoints leaving;
    leaving.note(engine(), start);
    leaving.update({}, start + seconds(61));
    EXPECT_FALSE(leaving.is_leaving(engine()));
}

// Guards against a request that is sent although the announcement arrived while its connection was being
// made.
TEST(leaving_endpoints, an_announcement_after_the_choice_is_detected) {
    leaving_endpoints leaving;
    leaving.note(engine(), start);
    EXPECT_TRUE(leaving.has_begun_since(engine(), start - milliseconds(1)));
    EXPECT_FALSE(leaving.has_begun_since(engine(), start + milliseconds(1)));
}

} // namespace
} // namespace laurelhoist
