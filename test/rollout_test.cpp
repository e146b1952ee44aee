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
    const brake_hypotheses hypotheses = hypotheses_for(0.9, {}, {});
    EXPECT_EQ(evaluate(counts_of(5, 1), hypotheses), brake_verdict::undecided);
    EXPECT_EQ(evaluate(counts_of(20, 14), hypotheses), brake_verdict::braked);
    EXPECT_EQ(evaluate(counts_of(100, 9), hypotheses), brake_verdict::passed);
}

// The rater turns harsh for everybody one morning. A good version under roll-out must not be braked for it.
TEST(brake, a_drifting_rater_shifts_the_baseline) {
    const brake_hypotheses harsh = hypotheses_for(0.9, counts_of(1000, 400), {});
    EXPECT_NE(evaluate(counts_of(60, 24), harsh), brake_verdict::braked);
    EXPECT_EQ(evaluate(counts_of(60, 24), hypotheses_for(0.9, {}, {})), brake_verdict::braked);
}

// A good version is braked by chance in under 1 of 1,000 roll-outs, a clearly bad one after few answers.
TEST(brake, error_chances_hold_over_many_rollouts) {
    const brake_hypotheses hypotheses = hypotheses_for(0.9, {}, {});
    random_source random(42);
    int false_brakes = 0;
    constexpr int rollouts = 4000;
    for (int i = 0; i < rollouts; ++i) {
        version_counts counts;
        for (int answer = 0; answer < 400 && evaluate(counts, hypotheses) == brake_verdict::undecided; ++answer) {
            ++counts.rated;
            counts.below += random.chance(0.1) ? 1 : 0;
        }
        false_brakes += evaluate(counts, hypotheses) == brake_verdict::braked ? 1 : 0;
    }
    EXPECT_LT(false_brakes, rollouts / 1000);
}

TEST(step_plan, a_step_waits_for_bake_time_capacity_and_verdict) {
    bundle rolling;
    rolling.rollout.steps = {{0.1, 1000}, {1.0, 1000}};
    bundle_status status{"", "rolling", "", 0, 0.1, 1};
    const std::vector<version_assessment> undecided{{brake_verdict::undecided, 30}};
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

TEST(bake_timer, a_resumed_rollout_bakes_anew) {
    bake_timer watch;
    fleet_head head;
    head.rolling = "b";
    head.bundles["b"] = {"", "rolling", "", 0, 0.1, 1};
    const time_point begin{seconds(10)};
    watch.observe(head, begin);
    EXPECT_EQ(watch.elapsed(begin + seconds(5)), seconds(5));
    head.bundles["b"].state = "paused";
    watch.observe(head, begin + seconds(5));
    EXPECT_EQ(watch.elapsed(begin + seconds(6)), duration::zero());
    head.bundles["b"].state = "rolling";
    watch.observe(head, begin + seconds(7));
    EXPECT_EQ(watch.elapsed(begin + seconds(8)), seconds(1));
}

} // namespace laurelhoist

namespace laurelhoist {
namespace {

rollout_order order_of(const std::string& release) {
    rollout_order order;
    order.service = "pool";
    order.release = release;
    order.time_limit = seconds(24);
    order.revision = 5;
    return order;
}

struct rollout_fixture {
    explicit rollout_fixture(duration max_order_age = {}) {
        tracker.set_endpoint_counts("pool", {{"v1", 10}, {"v2", 10}});
        tracker.set_orders({order_of("v2")}, start, max_order_age);
    }
    void record_answer(const std::string& release, bool is_good, const response_timing& timing) {
        const release_route key{"pool", release, "drafts"};
        if (!tracker.on_first_byte_received(key, timing)) {
            tracker.on_outcome(key, is_good);
        }
    }
    /** Outcomes on \p release, good and bad by turns of \p period; the last of each is bad. */
    void record(const std::string& release, int count, int period) {
        for (int i = 1; i <= count; ++i) {
            tracker.on_started({"pool", release, "drafts"}, "", start);
            tracker.on_finished({"pool", release, "drafts"}, "", start);
            record_answer(release, period == 0 || i % period != 0, {milliseconds(100), 90});
        }
    }
    release_choice choice_of(const std::string& session, duration after = seconds(1)) const {
        return tracker.choose("pool", {session, "r", false}, start + after);
    }
    double share_of_sessions(duration after = seconds(1)) const {
        int to_new_release = 0;
        for (int i = 0; i < 1000; ++i) {
            to_new_release += choice_of("session" + std::to_string(i), after).required == "v2" ? 1 : 0;
        }
        return to_new_release / 1000.0;
    }
    std::optional<rollout_state> advance(duration after) {
        const auto reports = tracker.advance(start + after);
        return reports.empty() ? std::nullopt : std::optional(reports.front().state);
    }
    rollout_tracker tracker;
    time_point start = time_point{} + seconds(100);
};

// An adviser's thread jumps to the new release in the first half of a roll-out, and its answers change under
// the farmer's eyes. The thread had been served by the old release seconds before, by this host or by
// another.
TEST(release_rollout, sessions_under_way_stay_in_the_first_half) {
    rollout_fixture rollout;
    for (int i = 0; i < 1000; ++i) {
        const std::string session = "session" + std::to_string(i);
        if (i % 2 == 0) {
            rollout.tracker.on_started({"pool", "v1", "drafts"}, session, rollout.start);
            rollout.tracker.on_finished({"pool", "v1", "drafts"}, session, rollout.start + seconds(1));
        } else {
            rollout.tracker.merge_sessions({{"pool", placement_hash(session), 0}},
                                           rollout.start + seconds(1));
        }
    }
    EXPECT_EQ(rollout.advance(seconds(1)), rollout_state::running);
    EXPECT_EQ(rollout.share_of_sessions(seconds(1)), 0.0);
    rollout.advance(seconds(5));
    EXPECT_EQ(rollout.share_of_sessions(seconds(5)), 0.0);
    EXPECT_EQ(rollout.choice_of("session1", seconds(5)).excluded, "v2");
}

// Every request of a service carries a session, and nobody meets the new release before everybody does.
TEST(release_rollout, sessions_that_begin_try_the_new_release) {
    rollout_fixture rollout;
    rollout.advance(seconds(1));
    EXPECT_EQ(rollout.share_of_sessions(seconds(1)), 0.0) << "the hosts have not told one another yet";
    rollout.advance(seconds(3));
    const double share = rollout.share_of_sessions(seconds(3));
    EXPECT_GT(share, 0.03);
    EXPECT_LT(share, 0.09) << "the rest of the bound is for the move";
    std::string trial_session = "session0";
    for (int i = 1; rollout.choice_of(trial_session, seconds(3)).required != "v2"; ++i) {
        trial_session = "session" + std::to_string(i);
    }
    EXPECT_LT(rollout.choice_of(trial_session, seconds(3)).endpoint_share, 1.0)
        << "few endpoints, so that each is loaded as it will be";
    EXPECT_EQ(rollout.tracker.choose("pool", {trial_session, "r", true}, rollout.start + seconds(3)).excluded, "v2")
        << "a request that has failed once depends on a release that is known";
}

TEST(release_rollout, a_good_release_is_complete_at_the_end_of_its_time) {
    rollout_fixture rollout;
    rollout.record("v1", 1000, 0);
    rollout.advance(seconds(1));
    rollout.record("v2", 40, 0);
    rollout.advance(seconds(13));
    EXPECT_LT(rollout.share_of_sessions(seconds(13)), 0.1);
    rollout.advance(milliseconds(22'000));
    EXPECT_EQ(rollout.share_of_sessions(seconds(22)), 1.0);
    EXPECT_NE(rollout.advance(milliseconds(23'400)), rollout_state::completed)
        << "the old release is what a brake would fall back to";
    EXPECT_EQ(rollout.advance(milliseconds(23'550)), rollout_state::completed);
}

// An operator orders a roll-out while the store, about to drop its history, tells its watches nothing. It is
// heard of a second later; counted from then on, it is reported after its time limit and counts as missed.
TEST(release_rollout, an_order_that_stood_unheard_is_reported_in_time) {
    const duration max_order_age = milliseconds(1100);
    rollout_fixture rollout(max_order_age);
    rollout.record("v1", 1000, 0);
    rollout.advance(seconds(1));
    rollout.record("v2", 40, 0);
    rollout.advance(milliseconds(21'000));
    EXPECT_EQ(rollout.advance(milliseconds(23'550) - max_order_age), rollout_state::completed);
}

// A release fails only under everybody's load. It gave 50 bad answers in the second after the move and was
// reported complete on counts from before: from the move to the report, each answer is news.
TEST(release_rollout, what_hosts_see_is_urgent_from_the_move_to_the_report) {
    rollout_fixture rollout;
    rollout.record("v1", 1000, 0);
    rollout.advance(seconds(1));
    rollout.record("v2", 40, 0);
    rollout.advance(seconds(13));
    EXPECT_FALSE(rollout.tracker.awaits_completion());
    rollout.advance(milliseconds(22'000));
    EXPECT_TRUE(rollout.tracker.awaits_completion());
    rollout.record("v2", 50, 1);
    rollout.advance(milliseconds(22'300));
    EXPECT_FALSE(rollout.tracker.awaits_completion()) << "it is braked";
}

// A release fails only under everybody's load: a tenth of its answers in the second before its time ends,
// spread over routes. Each route alone proves nothing, it is reported complete, the old endpoints stop, and
// half of all requests fail from then on.
TEST(release_rollout, a_release_that_worsens_with_the_move_is_not_reported_complete) {
    rollout_fixture rollout;
    const auto record_on = [&](const std::string& route, int good, int bad) {
        const release_route key{"pool", "v2", route};
        for (int i = 0; i < good + bad; ++i) {
            rollout.tracker.on_started(key, "", rollout.start);
            rollout.tracker.on_finished(key, "", rollout.start);
            rollout.tracker.on_outcome(key, i < good);
        }
    };
    rollout.record("v1", 1000, 0);
    rollout.advance(seconds(1));
    rollout.record("v2", 40, 0);
    rollout.advance(seconds(13));
    rollout.advance(milliseconds(22'000));
    EXPECT_EQ(rollout.share_of_sessions(seconds(22)), 1.0);
    // In batches as they are heard; each with more good answers than outweigh the bad one.
    for (int batch = 0; batch < 4; ++batch) {
        for (const char* route : {"drafts", "chats", "checks"}) {
            record_on(route, 8, 1);
        }
        rollout.advance(milliseconds(22'100 + 100 * batch));
    }
    EXPECT_NE(rollout.advance(milliseconds(23'550)), rollout_state::completed);
    for (const char* route : {"drafts", "chats", "checks"}) {
        record_on(route, 200, 0);
    }
    EXPECT_EQ(rollout.advance(milliseconds(25'000)), rollout_state::completed) << "late, as it was sound";
}

// A host without a roll-out for a week remembers every session that it has ever served, until it is out of
// memory.
TEST(release_rollout, sessions_are_forgotten_without_a_rollout) {
    rollout_tracker tracker;
    time_point now{seconds(100)};
    for (int i = 0; i < 5000; ++i) {
        const std::string session = "s" + std::to_string(i);
        tracker.on_started({"pool", "v1", "drafts"}, session, now);
        now += milliseconds(10);
        tracker.on_finished({"pool", "v1", "drafts"}, session, now);
        (void)tracker.take_session_updates(now);
    }
    EXPECT_GT(tracker.remembered_sessions(), 0U);
    EXPECT_LT(tracker.remembered_sessions(), 300U) << "a fifth of those of six seconds";
}

// A burst begins shortly before everything would move. By the mean of the roll-out so far the move fits the
// bound; at the rate of the burst it does not.
TEST(release_rollout, a_burst_delays_the_move) {
    rollout_fixture calm;
    rollout_fixture burst;
    for (int ms = 0; ms <= 21'750; ms += 250) {
        for (rollout_fixture* each : {&calm, &burst}) {
            const bool is_burst = each == &burst && ms >= 19'500;
            each->record("v1", is_burst ? 30 : 10, 0);
            if (ms == 1000) {
                each->record("v2", 20, 0);
            }
            each->advance(milliseconds(ms));
        }
    }
    EXPECT_EQ(calm.share_of_sessions(milliseconds(21'750)), 1.0);
    EXPECT_LT(burst.share_of_sessions(milliseconds(21'750)), 0.1);
}

// A release fails half of its requests once everybody is there. It was reported complete three quarters of a
// second after the move, with a dozen failures seen by eight hosts; the old endpoints stopped, and nothing
// could be braked.
TEST(release_rollout, a_release_under_suspicion_is_not_reported_complete) {
    rollout_fixture rollout;
    rollout.record("v1", 1000, 0);
    rollout.advance(seconds(1));
    rollout.record("v2", 40, 0);
    rollout.advance(milliseconds(22'000));
    ASSERT_EQ(rollout.share_of_sessions(seconds(22)), 1.0);
    rollout.record("v2", 3, 1);
    EXPECT_NE(rollout.advance(milliseconds(23'550)), rollout_state::completed);
    rollout.record("v2", 8, 1);
    EXPECT_EQ(rollout.advance(milliseconds(23'500)), rollout_state::rolled_back);
}

// Half of all requests meet a release that fails only under load. It looked good in all its trial, so
// everything moved to it at half of the time, and its faults showed when nothing else was left; or they never
// showed and it had the requests all the same. Load pattern: 50 requests a second that double in the last
// third of the time.
TEST(release_rollout, the_exposure_bound_holds_without_any_evidence) {
    for (const bool has_burst : {false, true}) {
        rollout_fixture rollout;
        constexpr int limit_ms = 24'000;
        int sent = 0;
        int exposed = 0;
        std::optional<int> completed_ms;
        for (int ms = 0; ms < limit_ms; ms += 10) {
            const duration after = milliseconds(ms);
            const bool is_busy = has_burst && ms > limit_ms * 2 / 3;
            for (int i = 0; ms % 20 == 0 && i < (is_busy ? 2 : 1); ++i) {
                const std::string session = "s" + std::to_string(++sent);
                const bool is_new = rollout.choice_of(session, after).excluded != "v2";
                exposed += is_new ? 1 : 0;
                const release_route key{"pool", is_new ? "v2" : "v1", "drafts"};
                rollout.tracker.on_started(key, session, rollout.start + after);
                rollout.tracker.on_finished(key, session, rollout.start + after);
                rollout.record_answer(key.release, true, {milliseconds(100), 90});
            }
            if (ms % 250 == 0 && rollout.advance(after) == rollout_state::completed && !completed_ms) {
                completed_ms = ms;
            }
        }
        constexpr double slack = 30;
        EXPECT_LE(exposed, rollout_settings{}.exposure_share * sent + slack) << sent << " sent";
        EXPECT_TRUE(completed_ms) << "a good release is in place by its time limit";
    }
}

TEST(release_rollout, a_bad_release_is_braked_within_few_answers) {
    rollout_fixture rollout;
    rollout.record("v1", 200, 50);
    rollout.record("v2", 20, 2);
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::rolled_back);
    EXPECT_EQ(rollout.choice_of("").excluded, "v2");
}

// Every endpoint of a new release crashes at its first request: no answer speaks against it, and none for it.
TEST(release_rollout, a_release_that_has_answered_nothing_gets_no_more_than_a_part) {
    rollout_fixture rollout;
    rollout.record("v1", 200, 0);
    rollout.advance(seconds(13));
    rollout.advance(seconds(20));
    EXPECT_LT(rollout.share_of_sessions(), 0.4);
}

// A release answers well for ten seconds and then fails every third request. What it did well must not be
// counted for it.
TEST(release_rollout, a_release_that_turns_bad_late_is_braked_as_soon) {
    rollout_fixture rollout;
    rollout.record("v1", 500, 50);
    rollout.record("v2", 400, 0);
    rollout.advance(seconds(13));
    rollout.record("v2", 30, 3);
    EXPECT_EQ(rollout.advance(seconds(14)), rollout_state::rolled_back);
}

TEST(release_rollout, evidence_of_other_hosts_brakes_here) {
    rollout_fixture rollout;
    rollout.record("v1", 100, 50);
    rollout.advance(seconds(1));
    rollout.tracker.merge("h2/1", {{"pool", "v2", "drafts", 4, 6}}, {}, rollout.start + seconds(2));
    rollout.tracker.merge("h3/1", {{"pool", "v2", "drafts", 3, 5}}, {}, rollout.start + seconds(2));
    EXPECT_EQ(rollout.advance(seconds(2)), rollout_state::rolled_back);
}

TEST(release_rollout, a_release_as_flawed_as_the_old_one_is_not_braked) {
    rollout_fixture rollout;
    rollout.record("v1", 700, 7);
    rollout.record("v2", 300, 7);
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::running);
}

// The small model answers in 40 ms and the large one in 500. A host that had just started took the small
// model's time for usual and braked a good release, because a quarter of its answers came from the large one.
TEST(release_rollout, a_larger_model_is_no_sign_of_a_slow_release) {
    rollout_fixture rollout;
    for (int i = 0; i < 60; ++i) {
        rollout.record_answer("v1", true, {milliseconds(40), 35});
        const bool is_large = i % 4 == 0;
        rollout.record_answer("v2", true, {milliseconds(is_large ? 500 : 40), is_large ? 450.0 : 35.0});
    }
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::running);
}

TEST(release_rollout, a_release_that_takes_eight_times_as_long_is_braked) {
    rollout_fixture rollout;
    for (int i = 0; i < 60; ++i) {
        rollout.record_answer("v1", true, {milliseconds(100), 90});
        rollout.record_answer("v2", true, {milliseconds(i % 2 == 0 ? 800 : 100), 90});
    }
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::rolled_back);
}

// Streams of a release that is eight times as slow take 15 s to end. Judged at their end, nothing spoke
// against it until everybody was there.
TEST(release_rollout, a_slow_release_is_braked_before_its_answers_end) {
    rollout_fixture rollout;
    rollout.record("v1", 60, 0);
    for (int i = 0; i < 12; ++i) {
        rollout.tracker.on_first_byte_received({"pool", "v2", "drafts"}, {milliseconds(800), 90});
    }
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::rolled_back);
}

// Every advisory chat is refused for the rest of a calm day, with a hundred idle engines. One host had braked
// the release by a few slow answers in the same second in which another reported it completed. The old
// endpoints had stopped with that report, and hosts that heard of the brake wanted nothing else.
TEST(release_rollout, what_the_store_says_is_over_goes_before_a_brake) {
    rollout_fixture rollout;
    rollout.tracker.merge("h2/1", {}, {{"pool", "v2", 16'000, true}}, rollout.start + seconds(1));
    ASSERT_EQ(rollout.choice_of("s").excluded, "v2");
    rollout_order over = order_of("v2");
    over.state = rollout_state::completed;
    rollout.tracker.set_orders({over}, rollout.start + seconds(1));
    EXPECT_EQ(rollout.choice_of("s").excluded, "");
    EXPECT_EQ(rollout.choice_of("s").required, "v2");
}

// A host that starts in the middle of a roll-out would count its time from there and hold the others up.
TEST(release_rollout, a_new_host_takes_over_the_age_of_the_others) {
    rollout_fixture rollout;
    rollout.tracker.merge("h2/1", {{"pool", "v2", "drafts", 40, 0}}, {{"pool", "v2", 16'000, false}},
                          rollout.start + seconds(1));
    rollout.advance(seconds(1));
    EXPECT_LT(rollout.share_of_sessions(seconds(1)), 0.1) << "it has not heard what the others have sent";
    rollout.tracker.merge("h2/1", {}, {{"pool", "v2", 17'000, false, 0, true}}, rollout.start + seconds(2));
    EXPECT_EQ(rollout.share_of_sessions(seconds(2)), 1.0);
}

// 295 hosts, each of which hears of three others every 0.4 s. One that has heard of a third of them takes the
// counts that come in late for a burst, and never moves; another takes an exposure for small that is not.
// Only a host that hears everybody decides, and the others follow it.
TEST(release_rollout, a_host_that_does_not_hear_all_others_leaves_the_move_to_those_that_do) {
    rollout_fixture rollout;
    rollout.record("v1", 2000, 0);
    rollout.record("v2", 40, 0);
    rollout.tracker.set_has_all_counts(false);
    rollout.advance(seconds(1));
    rollout.advance(milliseconds(23'300));
    EXPECT_LT(rollout.share_of_sessions(milliseconds(23'300)), 0.2);
    rollout.tracker.merge("h2/1", {}, {{"pool", "v2", 23'300, false, 0.05, true}},
                          rollout.start + milliseconds(23'300));
    EXPECT_EQ(rollout.share_of_sessions(milliseconds(23'400)), 1.0);
}

// Half of the streams of a release take 20 s in place of one, and the other half are sound. It is braked when
// the first of them are far beyond what the old release takes, not when they end.
TEST(release_rollout, a_release_whose_streams_crawl_is_braked_while_they_do) {
    rollout_fixture rollout;
    for (int i = 0; i < 40; ++i) {
        rollout.tracker.on_started({"pool", "v1", "drafts"}, "", rollout.start);
        rollout.tracker.on_finished({"pool", "v1", "drafts"}, "", rollout.start + seconds(1), rollout.start,
                                    true);
        rollout.record_answer("v1", true, {milliseconds(100), 90});
        rollout.tracker.on_started({"pool", "v2", "drafts"}, "", rollout.start + seconds(2));
        if (i % 2 == 0) {
            rollout.tracker.on_finished({"pool", "v2", "drafts"}, "", rollout.start + seconds(3));
            rollout.record_answer("v2", true, {milliseconds(100), 90});
        }
    }
    EXPECT_EQ(rollout.advance(seconds(6)), rollout_state::running);
    EXPECT_EQ(rollout.advance(milliseconds(10'100)), rollout_state::rolled_back);
}

TEST(release_rollout, without_endpoints_of_the_new_release_the_old_one_serves) {
    rollout_fixture rollout;
    rollout.tracker.set_endpoint_counts("pool", {{"v1", 10}});
    rollout.advance(seconds(20));
    EXPECT_EQ(rollout.choice_of("s").required, "");
}

// A release begins its answers in time and then crawls: half of its streams take 17 s in place of one.
// Nothing speaks against it while it is on trial, it is reported complete, and its streams crawl for
// everybody.
TEST(known_red, a_release_whose_streams_crawl_is_not_reported_complete) {
    rollout_fixture rollout;
    rollout.record("v1", 1000, 0);
    rollout.advance(seconds(1));
    const release_route new_release{"pool", "v2", "drafts"};
    for (int i = 0; i < 40; ++i) {
        rollout.tracker.on_started(new_release, "", rollout.start + seconds(3));
        rollout.tracker.on_first_byte_received(new_release, {milliseconds(100), 90});
        if (i % 2 == 0) {
            rollout.tracker.on_finished(new_release, "", rollout.start + seconds(4));
            rollout.tracker.on_outcome(new_release, true);
        }
    }
    rollout.advance(seconds(22));
    EXPECT_NE(rollout.advance(milliseconds(23'550)), rollout_state::completed)
        << "half of its streams have been under way for 20 s";
}

} // namespace
} // namespace laurelhoist
