#include "membership/membership.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

std::vector<endpoint_record> pool_of(int size) {
    std::vector<endpoint_record> endpoints;
    for (int i = 0; i < size; ++i) {
        endpoints.push_back({"e" + std::to_string(i), "10.0.0.1:" + std::to_string(i), "d", "engines"});
    }
    return endpoints;
}

time_point at_ms(int ms) {
    return time_point(seconds(100) + milliseconds(ms));
}

struct reach_fixture : ::testing::Test {
    endpoint_reach start(int size) const {
        endpoint_reach reach;
        reach.update(pool_of(size));
        return reach;
    }
};

// Guards against taking a lost link for endpoints that fail one by one.
TEST_F(reach_fixture, a_pool_is_lost_once_nearly_all_endpoints_tried_have_failed) {
    endpoint_reach reach = start(18);
    reach.on_connected("e17", at_ms(0));
    reach.on_unreachable("e0", at_ms(500));
    reach.on_unreachable("e1", at_ms(550));
    EXPECT_TRUE(reach.evaluate(at_ms(550)).empty());
    reach.on_unreachable("e2", at_ms(600));
    const std::vector<reach_change> changes = reach.evaluate(at_ms(600));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front(), (reach_change{"engines", true, 3, 1, 18}));
    EXPECT_TRUE(reach.has_lost("engines"));
}

// Guards against forwarding for the loss of one failure domain, which ejection handles.
TEST_F(reach_fixture, a_third_of_the_endpoints_down_is_no_lost_link) {
    endpoint_reach reach = start(18);
    for (int ms = 0; ms < 5000; ms += 100) {
        for (int i = 0; i < 18; ++i) {
            const std::string name = "e" + std::to_string(i);
            i < 6 ? reach.on_unreachable(name, at_ms(ms)) : reach.on_connected(name, at_ms(ms));
        }
        EXPECT_TRUE(reach.evaluate(at_ms(ms)).empty());
    }
}

// Guards against a host with few requests that takes seconds to notice: one failure starts probes.
TEST_F(reach_fixture, one_failure_without_successes_probes_other_endpoints) {
    endpoint_reach reach = start(18);
    EXPECT_TRUE(reach.next_probes(at_ms(0)).empty());
    reach.on_unreachable("e0", at_ms(500));
    const std::vector<endpoint_record> probes = reach.next_probes(at_ms(500));
    EXPECT_GE(probes.size(), 3U);
    for (const endpoint_record& each : probes) {
        EXPECT_NE(each.name, "e0");
        reach.on_unreachable(each.name, at_ms(1000));
    }
    EXPECT_EQ(reach.evaluate(at_ms(1000)).size(), 1U);
}

// Guards against a host that forwards for ever, or uses its links before most of them are back.
TEST_F(reach_fixture, a_lost_pool_is_probed_and_returns_once_half_of_it_is_reachable) {
    endpoint_reach reach = start(8);
    for (const endpoint_record& each : pool_of(8)) {
        reach.on_unreachable(each.name, at_ms(0));
    }
    ASSERT_EQ(reach.evaluate(at_ms(0)).size(), 1U);
    int reachable = 0;
    int ms = 2000;
    for (; reach.has_lost("engines") && ms < 8000; ms += 250) {
        const std::vector<endpoint_record> probes = reach.next_probes(at_ms(ms));
        EXPECT_FALSE(probes.empty() && reachable == 0);
        for (const endpoint_record& each : probes) {
            reach.on_connected(each.name, at_ms(ms + 5));
            ++reachable;
        }
        const bool has_returned = !reach.evaluate(at_ms(ms + 10)).empty();
        EXPECT_EQ(has_returned, reachable >= 4);
    }
    EXPECT_LT(ms, 4000);
}

// Guards against a decision that changes back and forth: connections made before the loss show no return.
TEST_F(reach_fixture, connections_made_before_the_loss_do_not_end_it) {
    endpoint_reach reach = start(18);
    for (int i = 0; i < 9; ++i) {
        reach.on_connected("e" + std::to_string(i), at_ms(0));
    }
    for (int i = 9; i < 14; ++i) {
        reach.on_unreachable("e" + std::to_string(i), at_ms(1100));
    }
    ASSERT_EQ(reach.evaluate(at_ms(1100)).size(), 1U);
    EXPECT_TRUE(reach.evaluate(at_ms(1150)).empty());
    EXPECT_TRUE(reach.has_lost("engines"));
}

// Guards against probing a large pool from each of hundreds of hosts when a few of its endpoints are down.
TEST_F(reach_fixture, few_failures_among_many_successes_are_not_probed) {
    endpoint_reach reach = start(60);
    for (int i = 0; i < 60; ++i) {
        const std::string name = "e" + std::to_string(i);
        i < 5 ? reach.on_unreachable(name, at_ms(900)) : reach.on_connected(name, at_ms(900));
    }
    EXPECT_TRUE(reach.next_probes(at_ms(950)).empty());
}

// Guards against a lost pool that stays lost though its endpoints have left the list.
TEST_F(reach_fixture, a_pool_without_endpoints_is_not_lost) {
    endpoint_reach reach = start(3);
    for (const endpoint_record& each : pool_of(3)) {
        reach.on_unreachable(each.name, at_ms(0));
    }
    ASSERT_EQ(reach.evaluate(at_ms(0)).size(), 1U);
    reach.update({});
    EXPECT_FALSE(reach.has_lost("engines"));
}

} // namespace
} // namespace laurelhoist
