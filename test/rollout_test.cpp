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

// Reports of entries reach the stewards late, duplicated and in different orders. All stewards must compute
// the same sums, or one would brake a roll-out that another continues.
RC_GTEST_PROP(evidence_pool, order_and_duplicates_do_not_change_the_sums,
              (const std::vector<std::uint8_t>& values)) {
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

// Guards against a test that decides on too few answers, or does not decide on enough of them.
TEST(brake, brakes_a_bad_version_and_passes_a_good_one) {
    const brake_hypotheses hypotheses = hypotheses_for(0.9, {}, {});
    EXPECT_EQ(evaluate(counts_of(5, 1), hypotheses), brake_verdict::undecided);
    EXPECT_EQ(evaluate(counts_of(20, 14), hypotheses), brake_verdict::braked);
    EXPECT_EQ(evaluate(counts_of(100, 9), hypotheses), brake_verdict::passed);
}

// The rater becomes stricter for all versions. A good version under roll-out must not be braked for it.
TEST(brake, a_drifting_rater_shifts_the_baseline) {
    const brake_hypotheses strict_rater = hypotheses_for(0.9, counts_of(1000, 400), {});
    EXPECT_NE(evaluate(counts_of(60, 24), strict_rater), brake_verdict::braked);
    EXPECT_EQ(evaluate(counts_of(60, 24), hypotheses_for(0.9, {}, {})), brake_verdict::braked);
}

// Random answers must not brake a good version in more than 1 of 1,000 roll-outs.
TEST(brake, a_good_version_is_braked_in_under_one_of_1000_rollouts) {
    const brake_hypotheses hypotheses = hypotheses_for(0.9, {}, {});
    random_source random(42);
    int false_brakes = 0;
    constexpr int rollouts = 4000;
    for (int i = 0; i < rollouts; ++i) {
        version_counts counts;
        for (int answer = 0; answer < 400 && evaluate(counts, hypotheses) == brake_verdict::undecided;
             ++answer) {
            ++counts.rated;
            counts.below += random.chance(0.1) ? 1 : 0;
        }
        false_brakes += evaluate(counts, hypotheses) == brake_verdict::braked ? 1 : 0;
    }
    EXPECT_LT(false_brakes, rollouts / 1000);
}

// Guards against a next step that is taken too early, in a paused roll-out, or with a braked version.
TEST(step_plan, a_step_waits_for_bake_time_capacity_and_evidence) {
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

// The first step must not wait for answers, which a version without traffic cannot have, nor start before the
// engines have loaded the models.
TEST(step_plan, the_first_step_waits_only_for_loaded_capacity) {
    bundle rolling;
    rolling.rollout.steps = {{0.1, 1000}, {1.0, 1000}};
    const bundle_status status{"", "rolling", "", -1, 0.0, 1};
    EXPECT_EQ(next_step(rolling, status, duration{}, false, {}), step_action::wait);
    EXPECT_EQ(next_step(rolling, status, duration{}, true, {}), step_action::step);
}

// The time before and during a pause must not count towards the bake time of the resumed roll-out.
TEST(bake_timer, a_resumed_rollout_restarts_the_bake_time) {
    bake_timer timer;
    fleet_head head;
    head.rolling = "b";
    head.bundles["b"] = {"", "rolling", "", 0, 0.1, 1};
    const time_point begin{seconds(10)};
    timer.observe(head, begin);
    EXPECT_EQ(timer.elapsed(begin + seconds(5)), seconds(5));
    head.bundles["b"].state = "paused";
    timer.observe(head, begin + seconds(5));
    EXPECT_EQ(timer.elapsed(begin + seconds(6)), duration::zero());
    head.bundles["b"].state = "rolling";
    timer.observe(head, begin + seconds(7));
    EXPECT_EQ(timer.elapsed(begin + seconds(8)), seconds(1));
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

/// Of so many endpoints a single one, which has the trial's peak, gets less than a tenth of the requests.
constexpr int many_endpoints = 30;

struct rollout_fixture {
    explicit rollout_fixture(duration max_order_age = {}, int endpoints = 10) {
        tracker.set_endpoint_counts("pool", {{"v1", endpoints}, {"v2", endpoints}});
        tracker.set_orders({order_of("v2")}, start, max_order_age);
    }
    void record_answer(const std::string& release, bool is_good, const response_timing& timing) {
        const release_route key{"pool", release, "drafts"};
        if (!tracker.on_first_byte_received(key, timing)) {
            tracker.on_outcome(key, is_good);
        }
    }
    /** Records \p count answers of \p release, of which each \p period-th is bad; with period 0 none is. */
    void record(const std::string& release, int count, int period) {
        for (int i = 1; i <= count; ++i) {
            tracker.on_started({"pool", release, "drafts"}, "", start);
            tracker.on_finished({"pool", release, "drafts"}, "", start);
            record_answer(release, period == 0 || i % period != 0, {milliseconds(100), 90});
        }
    }
    /** Records enough good answers of both releases, so that the release may be moved to. */
    void record_good_trial() {
        record("v1", 1000, 0);
        advance(seconds(1));
        record("v2", 40, 0);
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

// A session that the old release served seconds before, on this host or on another, must not change release
// in the first half of a roll-out.
TEST(release_rollout, recent_sessions_stay_on_the_old_release_in_the_first_half) {
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

// If every request of a service carries a session, the trial gets no requests unless new sessions take part.
TEST(release_rollout, a_share_of_new_sessions_uses_the_release_on_trial) {
    rollout_fixture rollout;
    rollout.advance(seconds(1));
    EXPECT_EQ(rollout.share_of_sessions(seconds(1)), 0.0)
        << "the hosts have not exchanged their sessions yet";
    rollout.advance(seconds(3));
    const double share = rollout.share_of_sessions(seconds(3));
    EXPECT_GT(share, 0.03);
    EXPECT_LT(share, 0.09) << "the rest of the bound is for the time after the cutover";
    std::string trial_session = "session0";
    for (int i = 1; rollout.choice_of(trial_session, seconds(3)).required != "v2"; ++i) {
        trial_session = "session" + std::to_string(i);
    }
    EXPECT_LT(rollout.choice_of(trial_session, seconds(3)).endpoint_share, 1.0)
        << "few endpoints, so that each carries the load that it will have after the cutover";
    EXPECT_EQ(rollout.tracker.choose("pool", {trial_session, "r", true}, rollout.start + seconds(3)).excluded,
              "v2")
        << "a retry does not use the release on trial";
}

// A good release must be reported complete, but not while a brake may still need the old release.
TEST(release_rollout, a_good_release_is_complete_at_the_end_of_its_time) {
    rollout_fixture rollout;
    rollout.record_good_trial();
    rollout.advance(seconds(13));
    EXPECT_LT(rollout.share_of_sessions(seconds(13)), 0.1);
    rollout.advance(milliseconds(22'000));
    EXPECT_EQ(rollout.share_of_sessions(seconds(22)), 1.0);
    EXPECT_NE(rollout.advance(milliseconds(23'400)), rollout_state::completed)
        << "a brake must still be able to fall back to the old release";
    EXPECT_EQ(rollout.advance(milliseconds(23'550)), rollout_state::completed);
}

// A store that is about to drop its history sends its watches nothing, so hosts see an order a second late.
// If its age counted from then, completion would be reported after the time limit.
TEST(release_rollout, an_order_that_is_seen_late_is_reported_in_time) {
    const duration max_order_age = milliseconds(1100);
    rollout_fixture rollout(max_order_age);
    rollout.record_good_trial();
    rollout.advance(milliseconds(21'000));
    EXPECT_EQ(rollout.advance(milliseconds(23'550) - max_order_age), rollout_state::completed);
}

// A release that fails only under full load gives 50 bad answers in the second after the cutover and would be
// reported complete on older counts. From the cutover to the report, hosts must send changed counts at once.
TEST(release_rollout, awaits_completion_from_the_cutover_to_a_brake) {
    rollout_fixture rollout;
    rollout.record_good_trial();
    rollout.advance(seconds(13));
    EXPECT_FALSE(rollout.tracker.awaits_completion());
    rollout.advance(milliseconds(22'000));
    EXPECT_TRUE(rollout.tracker.awaits_completion());
    rollout.record("v2", 50, 1);
    rollout.advance(milliseconds(22'300));
    EXPECT_FALSE(rollout.tracker.awaits_completion()) << "it is braked";
}

// A release fails only under full load: a tenth of its answers in the second before the time limit, spread
// over routes. No single route has enough evidence, so it would be reported complete, the old endpoints would
// stop, and half of all requests would fail from then on.
TEST(release_rollout, a_release_that_worsens_after_the_cutover_is_not_reported_complete) {
    rollout_fixture rollout;
    const auto record_on = [&](const std::string& route, int good, int bad) {
        const release_route key{"pool", "v2", route};
        for (int i = 0; i < good + bad; ++i) {
            rollout.tracker.on_started(key, "", rollout.start);
            rollout.tracker.on_finished(key, "", rollout.start);
            rollout.tracker.on_outcome(key, i < good);
        }
    };
    rollout.record_good_trial();
    rollout.advance(seconds(13));
    rollout.advance(milliseconds(22'000));
    EXPECT_EQ(rollout.share_of_sessions(seconds(22)), 1.0);
    // Counts arrive in batches, each with enough good answers to offset the bad one.
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
    EXPECT_EQ(rollout.advance(milliseconds(25'000)), rollout_state::completed)
        << "a good release is reported complete, although late";
}

// A host without a roll-out must not keep every session that it has served, or it runs out of memory.
TEST(release_rollout, sessions_expire_without_a_rollout) {
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
    EXPECT_LT(tracker.remembered_sessions(), 300U) << "a fifth of the sessions of six seconds";
}

// A burst begins shortly before the cutover. At the mean rate of the roll-out, a cutover now would stay
// within the exposure bound; at the rate of the burst it would not.
TEST(release_rollout, a_burst_delays_the_cutover) {
    rollout_fixture steady({}, many_endpoints);
    rollout_fixture burst({}, many_endpoints);
    for (int ms = 0; ms <= 21'750; ms += 250) {
        for (rollout_fixture* each : {&steady, &burst}) {
            const bool is_burst = each == &burst && ms >= 19'500;
            each->record("v1", is_burst ? 30 : 10, 0);
            if (ms == 1000) {
                each->record("v2", 20, 0);
            }
            each->advance(milliseconds(ms));
        }
    }
    EXPECT_EQ(steady.share_of_sessions(milliseconds(21'750)), 1.0);
    EXPECT_LT(burst.share_of_sessions(milliseconds(21'750)), 0.1) << "still on trial";
}

// Most endpoints are silent before the cutover, so that requests get one attempt in place of the usual three
// in two. Guards against a cutover at this rate of attempts: they return with the endpoints, and the release
// would get more requests than the exposure bound allows.
TEST(release_rollout, repeats_that_return_after_an_outage_delay_the_cutover) {
    rollout_fixture steady({}, many_endpoints);
    rollout_fixture outage({}, many_endpoints);
    const release_route old_release{"pool", "v1", "drafts"};
    for (int ms = 0; ms <= 21'750; ms += 250) {
        for (rollout_fixture* each : {&steady, &outage}) {
            const bool is_silent = each == &outage && ms >= 16'000;
            const int requests = each == &outage ? 20 : 30;
            each->record("v1", requests, 0);
            for (int i = 0; i < 10 && each == &outage && !is_silent; ++i) {
                each->tracker.on_started(old_release, "", each->start, attempt_order::later);
                each->tracker.on_finished(old_release, "", each->start);
            }
            if (ms >= 16'000 && each == &outage) {
                each->record("v1", 8, 0); // The burst of callers whose requests would need repeats.
            }
            if (ms == 1000) {
                each->record("v2", 60, 0);
            }
            each->advance(milliseconds(ms));
        }
    }
    EXPECT_EQ(steady.share_of_sessions(milliseconds(21'750)), 1.0);
    EXPECT_LT(outage.share_of_sessions(milliseconds(21'750)), 0.1) << "still on trial";
}

// A release that fails half of its requests under full load must not be reported complete while there is
// evidence against it: the old endpoints then stop, so it cannot be braked any more. One was reported
// complete 0.75 s after the cutover, with a dozen failures on eight hosts.
TEST(release_rollout, a_suspicious_release_is_not_reported_complete) {
    rollout_fixture rollout;
    rollout.record_good_trial();
    rollout.advance(milliseconds(22'000));
    ASSERT_EQ(rollout.share_of_sessions(seconds(22)), 1.0);
    rollout.record("v2", 3, 1);
    EXPECT_NE(rollout.advance(milliseconds(23'550)), rollout_state::completed);
    rollout.record("v2", 8, 1);
    EXPECT_EQ(rollout.advance(milliseconds(23'500)), rollout_state::rolled_back);
}

// A release that fails only under load looks good during its trial, and would get half of all requests if the
// cutover came at half of the time. The bound must hold without any bad answer. Load pattern: 50 requests a
// second, also with the rate doubled in the last third of the time.
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

// A release that fails every second request must not go on getting requests.
TEST(release_rollout, a_bad_release_is_braked_within_few_answers) {
    rollout_fixture rollout;
    rollout.record("v1", 200, 50);
    rollout.record("v2", 20, 2);
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::rolled_back);
    EXPECT_EQ(rollout.choice_of("").excluded, "v2");
}

// Every endpoint of a new release crashes at its first request, so there are neither bad nor good answers.
// The absence of bad answers must not lead to the cutover.
TEST(release_rollout, a_release_without_answers_does_not_get_all_requests) {
    rollout_fixture rollout;
    rollout.record("v1", 200, 0);
    rollout.advance(seconds(13));
    rollout.advance(seconds(20));
    EXPECT_LT(rollout.share_of_sessions(), 0.4);
}

// A release answers well for ten seconds and then fails every third request. Its earlier good answers must
// not delay the brake.
TEST(release_rollout, a_release_that_turns_bad_late_is_braked_as_quickly) {
    rollout_fixture rollout;
    rollout.record("v1", 500, 50);
    rollout.record("v2", 400, 0);
    rollout.advance(seconds(13));
    rollout.record("v2", 30, 3);
    EXPECT_EQ(rollout.advance(seconds(14)), rollout_state::rolled_back);
}

// Each host alone sees too few bad answers to brake a release, so the counts must be added up.
TEST(release_rollout, counts_of_other_hosts_brake_a_release) {
    rollout_fixture rollout;
    rollout.record("v1", 100, 50);
    rollout.advance(seconds(1));
    rollout.tracker.merge("h2/1", {{"pool", "v2", "drafts", 4, 6}}, {}, rollout.start + seconds(2));
    rollout.tracker.merge("h3/1", {{"pool", "v2", "drafts", 3, 5}}, {}, rollout.start + seconds(2));
    EXPECT_EQ(rollout.advance(seconds(2)), rollout_state::rolled_back);
}

// Guards against a cutover on too few known requests: a count message that was overtaken must not lower the
// number of requests sent, in whatever order the messages of two roll-outs arrive.
RC_GTEST_PROP(release_rollout, counts_that_arrive_out_of_order_never_fall,
              (const std::vector<std::uint8_t>& order)) {
    const auto message = [](std::int64_t sent, const std::string& target) {
        return std::vector<release_counts>{{"pool", "v2", "drafts", 0, 0, sent, target}};
    };
    const std::vector<std::vector<release_counts>> sent = {message(700, "v1"), message(10, "v2"),
                                                           message(20, "v2"), message(30, "v2")};
    rollout_fixture rollout;
    for (const std::uint8_t which : order) {
        rollout.tracker.merge("h2/1", sent[which % sent.size()], {}, rollout.start);
    }
    rollout.tracker.merge("h2/1", sent.back(), {}, rollout.start);
    rollout.tracker.merge("h2/1", sent[1], {}, rollout.start);
    rollout.tracker.merge("h2/1", sent.front(), {}, rollout.start);
    RC_ASSERT(rollout.tracker.requests_sent("pool") == 30);
}

// Guards against "completed" for a release whose endpoints were emptied after the cutover: the old endpoints
// would stop although no host sends to the new ones.
TEST(release_rollout, a_release_that_lost_its_endpoints_is_not_complete) {
    rollout_fixture rollout;
    rollout.record_good_trial();
    rollout.advance(milliseconds(22'000));
    ASSERT_EQ(rollout.share_of_sessions(seconds(22)), 1.0);
    rollout.tracker.set_endpoint_counts("pool", {{"v1", 10}});
    rollout.advance(milliseconds(22'500));
    EXPECT_NE(rollout.advance(milliseconds(23'550)), rollout_state::completed);
}

// Guards against a session that is kept forever, because the age that a peer sent is negative or overflows.
TEST(session_memory, an_age_out_of_range_does_not_keep_a_session) {
    const time_point now{seconds(1000)};
    for (const std::int64_t age : {INT64_MAX, INT64_MIN + 1, std::int64_t{-1'000'000'000'000}}) {
        session_memory sessions(seconds(5));
        sessions.merge({{"pool", 77, age}}, now);
        EXPECT_FALSE(sessions.is_recent("pool", 77, now + seconds(10))) << age;
        sessions.forget_old(now + seconds(10));
        EXPECT_EQ(sessions.size(), 0U) << age;
    }
}

// Guards against sessions that the other hosts never hear of: with over forty sessions in flight, each
// message would carry the same first forty.
TEST(session_memory, all_sessions_are_sent_in_turn) {
    session_memory sessions(seconds(5));
    constexpr std::uint64_t count = 100;
    for (std::uint64_t session = 0; session < count; ++session) {
        sessions.on_started("pool", session, time_point{});
    }
    std::set<std::uint64_t> sent;
    for (int message = 0; message < 3; ++message) {
        for (const session_use& use : sessions.take_updates(time_point{} + seconds(1))) {
            sent.insert(use.session);
        }
    }
    EXPECT_EQ(sent.size(), count);
}

// The old release fails one request in seven. A new release that is no worse must not be braked for it.
TEST(release_rollout, a_release_no_worse_than_the_old_one_is_not_braked) {
    rollout_fixture rollout;
    rollout.record("v1", 700, 7);
    rollout.record("v2", 300, 7);
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::running);
}

// A small model answers in 40 ms and a large one in 500 ms. A host that compares both with the small model's
// time would brake a good release because a quarter of its answers come from the large one.
TEST(release_rollout, answers_of_a_larger_model_do_not_count_as_slow) {
    rollout_fixture rollout;
    for (int i = 0; i < 60; ++i) {
        rollout.record_answer("v1", true, {milliseconds(40), 35});
        const bool is_large = i % 4 == 0;
        rollout.record_answer("v2", true, {milliseconds(is_large ? 500 : 40), is_large ? 450.0 : 35.0});
    }
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::running);
}

// Half of the answers of a release begin eight times as late as usual, without any error. This must count as
// evidence against it.
TEST(release_rollout, a_release_that_takes_eight_times_as_long_is_braked) {
    rollout_fixture rollout;
    for (int i = 0; i < 60; ++i) {
        rollout.record_answer("v1", true, {milliseconds(100), 90});
        rollout.record_answer("v2", true, {milliseconds(i % 2 == 0 ? 800 : 100), 90});
    }
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::rolled_back);
}

// Streams of a release that is eight times as slow take 15 s to end. Counted at their end, they are no
// evidence before the cutover.
TEST(release_rollout, a_slow_release_is_braked_before_its_answers_end) {
    rollout_fixture rollout;
    rollout.record("v1", 60, 0);
    for (int i = 0; i < 12; ++i) {
        rollout.tracker.on_first_byte_received({"pool", "v2", "drafts"}, {milliseconds(800), 90});
    }
    EXPECT_EQ(rollout.advance(seconds(3)), rollout_state::rolled_back);
}

// One host brakes a release in the same second in which another reports it complete. The old endpoints stop
// at that report, so a host that followed the brake would refuse every request although the new endpoints are
// idle.
TEST(release_rollout, completion_in_the_store_takes_precedence_over_a_brake) {
    rollout_fixture rollout;
    rollout.tracker.merge("h2/1", {}, {{"pool", "v2", 16'000, true}}, rollout.start + seconds(1));
    ASSERT_EQ(rollout.choice_of("s").excluded, "v2");
    rollout_order over = order_of("v2");
    over.state = rollout_state::completed;
    rollout.tracker.set_orders({over}, rollout.start + seconds(1));
    EXPECT_EQ(rollout.choice_of("s").excluded, "");
    EXPECT_EQ(rollout.choice_of("s").required, "v2");
}

// A host that starts in the middle of a roll-out must not count its age from then: it would cut over late.
TEST(release_rollout, a_new_host_adopts_the_age_and_the_cutover_of_the_others) {
    rollout_fixture rollout;
    rollout.tracker.merge("h2/1", {{"pool", "v2", "drafts", 40, 0}}, {{"pool", "v2", 16'000, false}},
                          rollout.start + seconds(1));
    rollout.advance(seconds(1));
    EXPECT_LT(rollout.share_of_sessions(seconds(1)), 0.1)
        << "it does not have the counts of the other hosts yet";
    rollout.tracker.merge("h2/1", {}, {{"pool", "v2", 17'000, false, 0, true}}, rollout.start + seconds(2));
    EXPECT_EQ(rollout.share_of_sessions(seconds(2)), 1.0);
}

// Each of 295 hosts hears from three others every 0.4 s. A host that has the counts of a third of them would
// take counts that arrive late for a burst and never cut over, or would underestimate the exposure. So only a
// host with the counts of all hosts decides, and the others follow it.
TEST(release_rollout, only_a_host_with_all_counts_starts_the_cutover) {
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

// Half of the streams of a release take 20 s instead of 1 s. It must be braked once they have run far longer
// than those of the old release, not when they end.
TEST(release_rollout, overdue_streams_brake_a_release_before_they_end) {
    rollout_fixture rollout;
    for (int i = 0; i < 40; ++i) {
        rollout.tracker.on_started({"pool", "v1", "drafts"}, "", rollout.start);
        rollout.tracker.on_finished({"pool", "v1", "drafts"}, "", rollout.start + seconds(1), rollout.start,
                                    attempt_progress::whole);
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

// Guards against messages between hosts that grow with the endpoints of a release that is still on trial.
TEST(release_rollout, answers_are_counted_by_endpoint_only_after_completion) {
    rollout_fixture rollout;
    rollout.advance(seconds(1));
    for (int i = 0; i < 30; ++i) {
        rollout.tracker.on_outcome({"pool", "v2", "drafts"}, i % 2 == 0, "e" + std::to_string(i));
    }
    for (const release_counts& counts : rollout.tracker.own_counts()) {
        EXPECT_TRUE(counts.tallies.empty());
    }
}

// While no endpoint runs the new release yet, requests must not wait for one.
TEST(release_rollout, the_old_release_serves_while_the_new_one_has_no_endpoints) {
    rollout_fixture rollout;
    rollout.tracker.set_endpoint_counts("pool", {{"v1", 10}});
    rollout.advance(seconds(20));
    EXPECT_EQ(rollout.choice_of("s").required, "");
}

// A release begins its answers in time, but half of its streams take 17 s instead of 1 s. There is no
// evidence against it during its trial, so it is reported complete and its streams are slow for all callers.
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
        << "half of its streams have been in flight for 20 s";
}

} // namespace
} // namespace laurelhoist
