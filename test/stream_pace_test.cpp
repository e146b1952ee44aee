#include "rollout/rollout.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

stream_pace pace_of(double ms_per_event, int intervals, const std::string& model = "small") {
    return {model, milliseconds(static_cast<int>(ms_per_event * intervals)), intervals};
}

pace_baseline known_baseline() {
    pace_baseline baseline;
    for (const double ms : {40.0, 50.0, 60.0, 70.0, 80.0, 90.0, 100.0, 110.0}) {
        baseline.observe("pool", pace_of(ms, 16));
        baseline.observe("pool", pace_of(10 * ms, 16, "large"));
    }
    return baseline;
}

// A large model takes several times as long for each event on any release, which is no evidence against one.
TEST(pace_baseline, streams_are_compared_with_those_of_the_same_model) {
    const pace_baseline baseline = known_baseline();
    EXPECT_TRUE(baseline.is_slow("pool", pace_of(250, 16, "small")));
    EXPECT_FALSE(baseline.is_slow("pool", pace_of(250, 16, "large")));
    EXPECT_FALSE(baseline.is_slow("pool", pace_of(140, 16, "small"))) << "less than twice the mean";
}

// Without a mean every stream of a new model would look slow, or none; a few answers do not make one.
TEST(pace_baseline, nothing_is_slow_before_the_mean_is_known) {
    pace_baseline baseline;
    for (int i = 0; i < 7; ++i) {
        baseline.observe("pool", pace_of(50, 16));
    }
    EXPECT_FALSE(baseline.is_slow("pool", pace_of(1000, 16)));
    baseline.observe("pool", pace_of(50, 16));
    EXPECT_TRUE(baseline.is_slow("pool", pace_of(1000, 16)));
    EXPECT_FALSE(baseline.is_slow("other", pace_of(1000, 16)));
}

// In a stream of three events, a prompt of 100 ms that its endpoint reads meanwhile is no slowness.
TEST(pace_baseline, a_short_stream_is_slow_only_by_a_clear_excess) {
    const pace_baseline baseline = known_baseline();
    EXPECT_FALSE(baseline.is_slow("pool", pace_of(140, 2)));
    EXPECT_FALSE(baseline.is_slow("pool", pace_of(1000, 1))) << "one interval is not measured";
    EXPECT_TRUE(baseline.is_slow("pool", pace_of(300, 2)));
}

// A release begins its answers in time and then takes four times as long for each event. Compared by the
// first event alone it was reported complete, and nearly all of its streams were late.
TEST(release_rollout, a_release_whose_streams_proceed_slowly_is_braked) {
    rollout_tracker tracker;
    const time_point start = time_point{} + seconds(100);
    rollout_order order;
    order.service = "pool";
    order.release = "v2";
    order.time_limit = seconds(24);
    tracker.set_endpoint_counts("pool", {{"v1", 10}, {"v2", 10}});
    tracker.set_orders({order}, start);
    const auto answer = [&](const std::string& release, double ms_per_event) {
        const release_route key{"pool", release, "drafts"};
        tracker.on_started(key, "", start);
        tracker.on_first_byte_received(key, {milliseconds(100), 90});
        tracker.on_stream_paced(key, pace_of(ms_per_event, 16));
        tracker.on_outcome(key, true);
        tracker.on_finished(key, "", start);
    };
    for (int i = 0; i < 200; ++i) {
        answer("v1", 60 + i % 30);
    }
    for (int i = 0; i < 10; ++i) {
        answer("v2", 300);
    }
    const std::vector<rollout_report> reports = tracker.advance(start + seconds(5));
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().state, rollout_state::rolled_back);
}

// A connection over a link that loses packets takes a second. If the first answer of a service was one, an
// answer that took eight times as long as usual was in time.
TEST(usual_times, the_first_answers_may_be_outliers) {
    for (const int outlier : {0, 5, 19}) {
        usual_times times(20, 4.0);
        for (int i = 0; i < 20; ++i) {
            times.observe("pool", "a", i == outlier ? 1000 : 15);
        }
        EXPECT_LT(*times.find("pool", "a"), 30);
    }
}

// Events that arrive together make a pace of 0 ms. A mean that followed it would make every stream slow.
TEST(usual_times, an_answer_in_no_time_does_not_end_the_mean) {
    usual_times times(8, 2.0);
    for (int i = 0; i < 20; ++i) {
        times.observe("pool", "a", i % 5 == 1 ? 0 : 40);
    }
    EXPECT_GT(*times.find("pool", "a"), 30);
    usual_times idle(8, 2.0);
    for (int i = 0; i < 100; ++i) {
        idle.observe("pool", "a", i < 8 ? 0 : 40);
    }
    EXPECT_GT(*idle.find("pool", "a"), 30);
}

// Hosts that have a single answer each cannot tell which is an outlier.
TEST(usual_times, a_host_whose_answers_are_outliers_does_not_move_the_mean_of_all) {
    const usual_times times(20, 4.0);
    std::vector<usual_time> of_hosts(30, {"pool", "a", 15, 1});
    for (const std::size_t outlier : {0, 10, 20}) {
        of_hosts[outlier].mean = 1000;
    }
    const usual_time combined = times.combine(of_hosts);
    EXPECT_EQ(combined.answers, 30);
    EXPECT_LT(combined.mean, 30);
}

// Guards against a host whose messages all others refuse because the answers of its peers add up to more than
// one host may name.
TEST(usual_times, the_answers_of_all_hosts_together_stay_within_what_others_accept) {
    const usual_times times(20, 4.0);
    const std::vector<usual_time> of_hosts(3, {"pool", "a", 15, max_answers_counted});
    const usual_time combined = times.combine(of_hosts);
    EXPECT_EQ(combined.answers, max_answers_counted);
    EXPECT_DOUBLE_EQ(combined.mean, 15);
}

} // namespace
} // namespace laurelhoist
