#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

const time_point start = time_point{} + seconds(100);

endpoint_record engine(const std::string& name, std::int64_t started_at_ms = 1000) {
    endpoint_record made{name, "10.0.0.1:9000", "hall0", "pool", "live", "v1"};
    made.started_at_ms = started_at_ms;
    return made;
}

/** A statement of an answer that took 100 ms from request to head, which came \p at after the start. */
limit_statement said(std::optional<double> limit, duration at) {
    return {limit, start + at - milliseconds(100), start + at};
}

// Guards against a limit that is lifted by an answer which was made before it was named.
TEST(rate_limits, an_overtaken_answer_lifts_nothing) {
    rate_limits limits;
    EXPECT_TRUE(limits.note(engine("e"), said(2.0, milliseconds(1000))));
    EXPECT_FALSE(limits.note(engine("e"), said(std::nullopt, milliseconds(1050))));
    EXPECT_FALSE(limits.note(engine("e"), said(5.0, milliseconds(1050))));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    EXPECT_TRUE(limits.note(engine("e"), said(std::nullopt, milliseconds(1200))));
    EXPECT_EQ(limits.limit_of("e"), std::nullopt);
}

// Guards against a stricter limit that is taken for old news.
TEST(rate_limits, a_stricter_limit_holds_at_once) {
    rate_limits limits;
    limits.note(engine("e"), said(5.0, milliseconds(1000)));
    EXPECT_TRUE(limits.note(engine("e"), said(2.0, milliseconds(980))));
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    EXPECT_FALSE(limits.note(engine("e"), said(1.0, milliseconds(500)))) << "that was before both";
}

// Guards against a new process that is held to the limit of the one before.
TEST(rate_limits, a_restart_clears_the_limit) {
    rate_limits limits;
    limits.note(engine("e"), said(2.0, milliseconds(1000)));
    limits.update({engine("e")});
    EXPECT_EQ(limits.limit_of("e"), 2.0);
    limits.update({engine("e", 9000)});
    EXPECT_EQ(limits.limit_of("e"), std::nullopt);
}

} // namespace
} // namespace laurelhoist
