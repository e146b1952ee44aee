/** \file
 * A focused test for each failure, on real entries and stewards under the virtual clock. Each begins with
 * its story. A broken invariant throws, so that every test checks all promises beside its own.
 */
#include "simulation/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {

namespace {

world_options quiet_options() {
    world_options options;
    options.requests_per_second = 0;
    options.callers_retry = false;
    return options;
}

operation booking(const std::string& key, const std::string& marker) {
    operation wish;
    wish.is_service = true;
    wish.is_idempotent = false;
    wish.service_path = "book";
    wish.key = key;
    wish.marker = marker;
    return wish;
}

operation question(double difficulty = 0.1, bool stream = false) {
    operation wish;
    wish.difficulty = difficulty;
    wish.stream = stream;
    return wish;
}

std::string ran_of(const caller_reply* reply) {
    return reply == nullptr ? "no reply" : reply->body.value("/error/ran"_json_pointer, "answered");
}

std::string kind_of(const caller_reply* reply) {
    return reply == nullptr ? "no reply" : reply->body.value("/error/kind"_json_pointer, "answered");
}

class failure : public ::testing::Test {
protected:
    void SetUp() override { invariant_registry::instance().throw_on_failure(true); }
    void TearDown() override { invariant_registry::instance().throw_on_failure(false); }
};

} // namespace

TEST(messages, every_type_survives_cbor) {
    const std::vector<node_message> messages{
        hello_message{"entry", "e", "e#1", "d", "a", 5, "p"}, entry_confirm{7, 8, 9},
        bill_batch{{{"t", "r", "m@1", "k", 1, 2, 3, 0.5, 4, "e", 5}}},
        claim_reply{"o", "taken", {"t", "k", "a", "done", "d", {{"x", 1}}, 200}},
        peer_ask{1, "s#1", 2, false, {}, {}, {}, {{"e#1", {{"m@1", {1, 2, 3, 4, 5, 6}}}}}, {{"x", {"m@1"}}}}};
    for (const node_message& message : messages) {
        const outcome<node_message> decoded = decode(encode(message));
        ASSERT_NE(value_of(decoded), nullptr);
        EXPECT_TRUE(*value_of(decoded) == message);
    }
}

// Bytes that are no message, from a broken or hostile process, are an error and nothing else.
RC_GTEST_PROP(messages, any_bytes_are_survived, (const std::string& bytes)) {
    RC_ASSERT(value_of(decode(bytes)) == nullptr);
    std::string altered = encode(entry_ask{});
    if (!bytes.empty()) {
        altered[static_cast<unsigned char>(bytes[0]) % altered.size()] ^= bytes.back();
    }
    decode(altered);
}

TEST(messages, a_hello_without_the_key_or_from_yesterday_is_refused) {
    hello_message hello{"entry", "e", "e#1", "d", "a", 100000, ""};
    hello.proof = prove(hello, "the fleet key");
    EXPECT_TRUE(is_proven(hello, "the fleet key", 100500));
    EXPECT_FALSE(is_proven(hello, "another key", 100500));
    EXPECT_FALSE(is_proven(hello, "the fleet key", 100000 + 86400000));
    hello.name = "other";
    EXPECT_FALSE(is_proven(hello, "the fleet key", 100500));
}

TEST(config_delta, a_difference_is_small_and_half_a_configuration_is_refused) {
    config_history history;
    bundle document;
    document.id = "b";
    fleet_head head;
    head.revision = 1;
    head.established = "b";
    head.bundles["b"] = {content_hash(document), "established", "ana", 0, 1.0, 1};
    history.add(std::make_shared<fleet_view>(head, std::map<std::string, bundle>{{"b", document}}));
    const outcome<shared_view> first = apply_update(fleet_view{}, history.update_from(0));
    ASSERT_NE(value_of(first), nullptr);
    head.revision = 2;
    head.withdrawn["m@1"] = {"ana", 0, "bad"};
    history.add(std::make_shared<fleet_view>(head, std::map<std::string, bundle>{{"b", document}}));
    const config_update update = history.update_from(1);
    EXPECT_EQ(update.base_revision, 1);
    EXPECT_TRUE(update.documents.empty());
    EXPECT_EQ((*value_of(apply_update(**value_of(first), update)))->head(), head);
    EXPECT_NE(error_of(apply_update(fleet_view{}, update)), nullptr);
    config_update forged = history.update_from(0);
    forged.documents[0].rollout.braked_drop = 0.9;
    EXPECT_NE(error_of(apply_update(fleet_view{}, forged)), nullptr);
}

// Advisers get wrong drafts: a new cheap version answers most requests badly. The roll-out is at 10%; no
// operator looks. The brake must stop it within tens of answers, and sessions go back to the good version.
TEST_F(failure, a_bad_version_is_braked_without_an_operator) {
    world_options options;
    world simulated(options);
    simulated.start();
    const version_name bad = simulated.roll_bundle(0.3);
    simulated.run_for(seconds(60));
    const fleet_head head = simulated.head_in_platform();
    EXPECT_EQ(head.braked.count(bad), 1U);
    EXPECT_EQ(head.bundles.at("bundle-2").state, "braked");
    EXPECT_LT(simulated.report().bad_version_answers, 20U);
    simulated.quiesce();
    simulated.check_final();
}

// The brake has fallen everywhere by notice, and before the platform has it another change of configuration
// (a steward leaves the list) comes into force. The bad version must not get work again in between: the
// notice speaks of the roll-out, not of a revision.
TEST_F(failure, a_brake_outlasts_an_unrelated_change_of_configuration) {
    world simulated{quiet_options()};
    simulated.start();
    const version_name bad = simulated.roll_bundle(0.3);
    simulated.run_for(seconds(8));
    const int epoch = simulated.head_in_platform().bundles.at("bundle-2").epoch;
    ASSERT_TRUE(simulated.entry(0)->view().is_allowed("team-0", bad));
    simulated.entry(0)->on_steward_message("steward-0#1", brake_notice{"bundle-2", epoch, {bad}},
                                           simulated.entry_time(0));
    ASSERT_FALSE(simulated.entry(0)->view().is_allowed("team-0", bad));
    simulated.withdraw("cheap@77");
    simulated.run_for(seconds(2));
    EXPECT_TRUE(simulated.entry(0)->view().is_withdrawn("cheap@77"));
    EXPECT_FALSE(simulated.entry(0)->view().is_allowed("team-0", bad));
}

TEST_F(failure, a_good_version_is_rolled_to_the_end_by_the_stewards_alone) {
    world simulated{world_options{}};
    simulated.start();
    simulated.roll_bundle(0.85);
    simulated.run_for(seconds(120));
    EXPECT_EQ(simulated.head_in_platform().established, "bundle-2");
    simulated.quiesce();
    simulated.check_final();
}

// The roll-out stands at 10%; the steward that moved it is killed, then another. The fleet would stay with
// mixed versions for good if the roll-out belonged to a holder. Any steward goes on from the head.
TEST_F(failure, a_half_rollout_is_continued_by_another_steward) {
    world simulated{world_options{}};
    simulated.start();
    simulated.roll_bundle(0.85);
    simulated.run_for(seconds(5));
    simulated.kill_steward(0, seconds(60));
    simulated.run_for(seconds(3));
    simulated.kill_steward(1, seconds(2));
    simulated.run_for(seconds(120));
    EXPECT_EQ(simulated.head_in_platform().established, "bundle-2");
}

// A version is withdrawn. One entry is cut off from everything just before and keeps answering callers that
// still reach it. Its configuration cannot be confirmed, so after the freshness limit it refuses, truly not
// run, instead of serving the withdrawn version for as long as the cut lasts.
TEST_F(failure, a_cut_off_entry_stops_serving_before_a_withdrawal_counts) {
    world simulated{quiet_options()};
    simulated.start();
    simulated.isolate("entry-0", seconds(30));
    simulated.run_for(milliseconds(100));
    simulated.withdraw("cheap@1");
    simulated.run_for(freshness_limit + seconds(2));
    const std::uint64_t cut_off = simulated.ask(0, question());
    const std::uint64_t connected = simulated.ask(1, question());
    simulated.run_for(seconds(5));
    EXPECT_EQ(kind_of(simulated.reply_to(cut_off)), "not_fresh");
    EXPECT_EQ(ran_of(simulated.reply_to(cut_off)), "no");
    ASSERT_NE(simulated.reply_to(connected), nullptr);
    EXPECT_EQ(simulated.reply_to(connected)->version, "costly@1");
}

// An entry is paused for seconds (its machine swaps, or is migrated). Meanwhile the version is withdrawn.
// It wakes up with requests in its queue and a configuration that was fresh a moment ago by its memory.
TEST_F(failure, a_paused_entry_looks_again_before_it_sends) {
    world simulated{quiet_options()};
    simulated.start();
    simulated.pause_entry(0, seconds(10));
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.withdraw("cheap@1");
    simulated.run_for(seconds(14));
    ASSERT_NE(simulated.reply_to(asked), nullptr);
    EXPECT_NE(simulated.reply_to(asked)->version, "cheap@1");
}

// The platform is dark for minutes. Requests must go on, an operator must be told the truth, and a steward
// that is restarted in the dark must not be counted, since it has forgotten what it had accepted.
TEST_F(failure, a_long_outage_of_the_platform_stops_no_request) {
    world simulated{quiet_options()};
    simulated.start();
    simulated.platform->faults.is_down = true;
    simulated.run_for(seconds(120));
    const std::uint64_t during = simulated.ask(0, question());
    simulated.withdraw("cheap@1");
    simulated.run_for(seconds(20));
    EXPECT_EQ(kind_of(simulated.reply_to(during)), "answered");
    EXPECT_EQ(simulated.report().commands_accepted, 3U) << "only those of the start";
    simulated.kill_steward(0, milliseconds(500));
    simulated.kill_steward(1, milliseconds(500));
    simulated.run_for(seconds(10));
    const std::uint64_t without_majority = simulated.ask(0, question());
    simulated.run_for(seconds(5));
    EXPECT_EQ(kind_of(simulated.reply_to(without_majority)), "not_fresh");
    simulated.quiesce();
    simulated.check_final();
}

// The platform takes a write and its answer is lost. Told "failed", the operator would write again, or
// believe that a withdrawn version still serves. The steward reads back and settles it.
TEST_F(failure, a_lost_write_answer_is_settled_by_reading_back) {
    world simulated{quiet_options()};
    simulated.start();
    const std::uint64_t before = simulated.report().commands_accepted;
    const std::int64_t revision = simulated.head_in_platform().revision;
    simulated.platform->faults.lost_answers = 1.0;
    simulated.withdraw("cheap@1");
    simulated.run_for(seconds(7));
    simulated.platform->faults.lost_answers = 0.0;
    simulated.run_for(seconds(5));
    EXPECT_EQ(simulated.report().commands_accepted, before + 1);
    EXPECT_EQ(simulated.head_in_platform().revision, revision + 1);
}

// A steward that its peers cannot hear writes a withdrawal, and the platform goes dark at once. The other
// stewards still confirm the older revision to their entries, rightly: so the command must not be called
// accepted, or the operator would trust a withdrawal that is not in force.
TEST_F(failure, a_change_that_no_majority_holds_is_not_called_accepted) {
    world simulated{quiet_options()};
    simulated.start();
    const std::uint64_t before = simulated.report().commands_accepted;
    simulated.cut("steward-0", "steward-1", seconds(20));
    simulated.cut("steward-0", "steward-2", seconds(20));
    simulated.withdraw("cheap@1", 0);
    simulated.run_for(milliseconds(15));
    simulated.platform->faults.is_down = true;
    simulated.run_for(seconds(9));
    EXPECT_EQ(simulated.report().commands_accepted, before);
    simulated.quiesce();
    simulated.check_final();
    EXPECT_EQ(simulated.head_in_platform().withdrawn.count("cheap@1"), 1U);
}

// A notary's office books; its connection breaks and its library sends the same booking, with the same key,
// to another entry while the first is still under way. Two firms must not hold one hour.
TEST_F(failure, one_booking_key_at_two_entries_runs_once) {
    world simulated{quiet_options()};
    simulated.start();
    const std::uint64_t one = simulated.ask(0, booking("k1", "m1"));
    const std::uint64_t two = simulated.ask(1, booking("k1", "m1"));
    simulated.run_for(seconds(3));
    EXPECT_EQ(simulated.run_count("m1"), 1);
    const bool has_answer =
        kind_of(simulated.reply_to(one)) == "answered" || kind_of(simulated.reply_to(two)) == "answered";
    EXPECT_TRUE(has_answer);
    const std::uint64_t later = simulated.ask(2, booking("k1", "m1"));
    simulated.run_for(seconds(3));
    EXPECT_EQ(kind_of(simulated.reply_to(later)), "answered") << "the kept answer";
    EXPECT_EQ(simulated.run_count("m1"), 1);
}

TEST_F(failure, a_key_reused_for_another_request_is_a_conflict) {
    world simulated{quiet_options()};
    simulated.start();
    simulated.ask(0, booking("k1", "m1"));
    simulated.run_for(seconds(3));
    const std::uint64_t same_entry = simulated.ask(0, booking("k1", "m2"));
    const std::uint64_t other_entry = simulated.ask(1, booking("k1", "m2"));
    simulated.run_for(seconds(3));
    EXPECT_EQ(kind_of(simulated.reply_to(same_entry)), "conflict");
    EXPECT_EQ(kind_of(simulated.reply_to(other_entry)), "conflict");
    EXPECT_EQ(simulated.run_count("m2"), 0);
}

// A roll-out has taken a session at one entry; its next request reaches an entry that has not heard of the
// roll-out yet, within the seconds that this may take. By its older configuration the pinned version is not
// allowed, and it would move the session back. The token says which configuration made the pin: it waits.
TEST_F(failure, an_entry_behind_the_token_does_not_move_the_session) {
    world simulated{quiet_options()};
    simulated.start();
    simulated.isolate("entry-0", seconds(4));
    simulated.run_for(milliseconds(50));
    const std::string token = encode_session(
        {"team-0", "s", {{"cheap", "2"}}, simulated.entry(1)->revision() + 1}, "session-key-of-the-world");
    const std::uint64_t asked = simulated.ask_with_token(0, question(), token);
    simulated.run_for(seconds(3));
    EXPECT_EQ(kind_of(simulated.reply_to(asked)), "not_fresh");
    EXPECT_EQ(ran_of(simulated.reply_to(asked)), "no");
}

// The booking service does the call and its answer is lost. Sending it again would book twice; saying "not
// run" would make the caller do it. The truth is "unknown".
TEST_F(failure, a_lost_answer_of_a_booking_is_neither_repeated_nor_denied) {
    world simulated{quiet_options()};
    simulated.start();
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->cut_answer_share = endpoint->record.pool == "bookings" ? 1.0 : 0.0;
    }
    const std::uint64_t asked = simulated.ask(0, booking("k1", "m1"));
    simulated.run_for(seconds(3));
    EXPECT_EQ(ran_of(simulated.reply_to(asked)), "unknown");
    const std::uint64_t again = simulated.ask(1, booking("k1", "m1"));
    simulated.run_for(seconds(3));
    EXPECT_EQ(kind_of(simulated.reply_to(again)), "outcome_unknown");
    EXPECT_EQ(simulated.run_count("m1"), 1);
}

// The platform is dark and a keyed booking comes: without the claim it could run twice over two entries.
TEST_F(failure, a_keyed_booking_waits_for_the_platform_truly_not_run) {
    world simulated{quiet_options()};
    simulated.start();
    simulated.platform->faults.is_down = true;
    const std::uint64_t refused = simulated.ask(0, booking("k1", "m1"));
    simulated.run_for(seconds(15));
    EXPECT_EQ(ran_of(simulated.reply_to(refused)), "no");
    EXPECT_EQ(simulated.run_count("m1"), 0);
    simulated.platform->faults = {};
    simulated.run_for(seconds(10));
    const std::uint64_t again = simulated.ask(1, booking("k1", "m1"));
    simulated.run_for(seconds(3));
    EXPECT_EQ(kind_of(simulated.reply_to(again)), "answered");
    EXPECT_EQ(simulated.run_count("m1"), 1);
}

// The platform goes dark, answers are billed into the stewards' memory, and a steward dies before it could
// write them. The copy on the other steward, and the entry's own, keep the bill.
TEST_F(failure, bills_survive_the_loss_of_a_steward_in_an_outage) {
    world simulated{world_options{}};
    simulated.start();
    simulated.platform->faults.is_down = true;
    simulated.run_for(seconds(10));
    simulated.kill_steward(0, seconds(3));
    simulated.run_for(seconds(10));
    simulated.quiesce();
    simulated.check_final();
    EXPECT_EQ(simulated.report().unbilled, 0U);
    EXPECT_GT(simulated.report().billed, 500U);
}

// A steward is told to stop while the platform is dark; what it holds would go with it.
TEST_F(failure, a_stopping_steward_hands_over_its_bills_in_an_outage) {
    world simulated{world_options{}};
    simulated.start();
    simulated.platform->faults.is_down = true;
    simulated.run_for(seconds(5));
    simulated.stop_steward(0, seconds(2));
    simulated.run_for(seconds(30));
    simulated.kill_steward(1, seconds(2));
    simulated.run_for(seconds(5));
    simulated.quiesce();
    simulated.check_final();
    EXPECT_EQ(simulated.report().unbilled, 0U);
}

// An engine's connection goes silent in the middle of a stream: no error comes, no part either. The entry
// resumes from the part that is missing or begins anew; the caller gets every part once.
TEST_F(failure, a_silent_stream_is_resumed_without_a_gap) {
    world simulated{quiet_options()};
    simulated.start();
    operation wish = question(0.1, true);
    wish.tokens = 200;
    const std::uint64_t asked = simulated.ask(0, wish);
    simulated.run_for(milliseconds(600));
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->is_silent = true;
    }
    simulated.run_for(milliseconds(500));
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->is_silent = false;
    }
    simulated.run_for(seconds(9));
    EXPECT_EQ(kind_of(simulated.reply_to(asked)), "answered");
}

// A version is withdrawn in the middle of a stream. The team asked for "rerun": the caller is told that
// the answer begins anew and gets it whole from a good version, billed once.
TEST_F(failure, a_stream_of_a_withdrawn_version_begins_anew) {
    world simulated{quiet_options()};
    simulated.start();
    // Teaches the estimator nothing: a stream is routed by the prior, to the costly version.
    operation wish = question(0.1, true);
    wish.tokens = 300;
    const std::uint64_t asked = simulated.ask(0, wish);
    simulated.run_for(milliseconds(500));
    simulated.withdraw("costly@1");
    simulated.run_for(seconds(9));
    ASSERT_NE(simulated.reply_to(asked), nullptr);
    EXPECT_EQ(simulated.reply_to(asked)->version, "cheap@1");
    EXPECT_EQ(simulated.report().stream_restarts, 1U);
    simulated.quiesce();
    simulated.check_final();
    EXPECT_EQ(simulated.report().billed, 1U);
}

// A planned stop comes while answers are under way, and callers hold the host's address a while longer.
TEST_F(failure, a_planned_stop_cuts_no_request) {
    world_options options;
    options.callers_retry = false;
    options.service_share = 0;
    world simulated(options);
    simulated.start();
    simulated.run_for(seconds(3));
    simulated.stop_entry(0, seconds(3));
    simulated.run_for(seconds(12));
    simulated.stop_entry(1, seconds(3));
    simulated.run_for(seconds(12));
    simulated.quiesce();
    EXPECT_EQ(simulated.report().failed, 0U);
    simulated.check_final();
}

// An engine is being replaced: it refuses new work, saying so, seconds before the platform's list does.
TEST_F(failure, a_leaving_endpoint_gets_nothing_new_from_any_entry) {
    world simulated{world_options{}};
    simulated.start();
    fake_endpoint& leaving = *simulated.endpoints[0];
    leaving.is_leaving = true;
    simulated.run_for(seconds(5));
    const std::uint64_t begun = leaving.begun;
    simulated.run_for(seconds(10));
    EXPECT_EQ(leaving.begun, begun);
    simulated.quiesce();
    simulated.check_final();
}

// An engine obeyed an order that was sent by a steward that had been paused, and names another version.
TEST_F(failure, an_answer_under_a_wrong_name_is_never_released) {
    world simulated{quiet_options()};
    simulated.start();
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->names_wrong_version = true;
    }
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.run_for(seconds(12));
    EXPECT_NE(kind_of(simulated.reply_to(asked)), "answered");
    EXPECT_EQ(ran_of(simulated.reply_to(asked)), "unknown");
}

// A steward is paused in the middle of a roll-out and wakes up with an order in hand. Engines that check
// the fence refuse it; what the others load is read back and mended.
TEST_F(failure, engines_that_ignore_the_fence_are_read_back_and_mended) {
    world_options options;
    options.engines_check_fence = false;
    world simulated(options);
    simulated.start();
    fake_endpoint& engine = *simulated.endpoints[3];
    engine.order({"", "", "unload", "cheap@1", 0});
    engine.order({"", "", "load", "cheap@99", 0});
    simulated.run_for(seconds(25));
    EXPECT_EQ(engine.loaded.count("cheap@1"), 1U);
    EXPECT_EQ(engine.loaded.count("cheap@99"), 0U);
}

TEST_F(failure, an_engine_that_checks_the_fence_refuses_an_old_order) {
    world simulated{quiet_options()};
    simulated.start();
    fake_endpoint& engine = *simulated.endpoints[0];
    engine.order({"", "", "load", "costly@1", 50});
    engine.order({"", "", "unload", "costly@1", 49});
    EXPECT_EQ(engine.fenced_orders, 1U);
    EXPECT_EQ(engine.loaded.count("costly@1"), 1U);
}

// The rating service is dark. Whole answers must still come, from the version that is trusted unrated.
TEST_F(failure, a_dark_rating_service_falls_back_to_the_safe_version) {
    world simulated{quiet_options()};
    simulated.start();
    simulated.rater_is_down = true;
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.run_for(seconds(8));
    ASSERT_NE(simulated.reply_to(asked), nullptr);
    EXPECT_EQ(simulated.reply_to(asked)->version, "costly@1");
    // Not every answer waits out the time limit of a service that is known to be dark.
    simulated.ask(0, question());
    simulated.run_for(seconds(8));
    const std::uint64_t later = simulated.ask(0, question());
    simulated.run_for(seconds(1));
    EXPECT_EQ(kind_of(simulated.reply_to(later)), "answered");
    EXPECT_GT(simulated.entry_metrics(0).counter("ratings_skipped"), 0U);
}

// A hall loses power: an entry, a steward and a quarter of the engines are gone at once, while the platform
// is dark. The rest goes on.
TEST_F(failure, a_lost_domain_in_an_outage_leaves_the_rest_serving) {
    world_options options;
    options.entries = 4;
    options.stewards = 4;
    options.service_share = 0; // Keyed bookings wait for the platform.
    world simulated(options);
    simulated.start();
    simulated.platform->faults.is_down = true;
    simulated.run_for(seconds(3));
    simulated.lose_domain("osk-hall1", seconds(20));
    simulated.run_for(seconds(30));
    const world_report& report = simulated.report();
    EXPECT_GT(static_cast<double>(report.whole), 0.9 * static_cast<double>(report.asked));
    simulated.quiesce();
    simulated.check_final();
}

// Every engine of the pool is gone. Callers must hear it soon and truly, not hang until their deadline.
TEST_F(failure, an_empty_pool_is_refused_soon_and_not_run) {
    world simulated{quiet_options()};
    simulated.start();
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->is_dead = endpoint->record.pool == "engines";
    }
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.run_for(seconds(6));
    EXPECT_EQ(kind_of(simulated.reply_to(asked)), "no_capacity");
    EXPECT_EQ(ran_of(simulated.reply_to(asked)), "no");
}

// One caller's question ends every engine that begins to run it. The entry sends it to five, the caller asks
// again and it goes to five more, until no engine is left for anybody: what its ends say is forgotten with
// each try.
TEST_F(failure, a_request_that_ends_its_endpoints_is_not_sent_for_ever) {
    world_options options = quiet_options();
    options.engines = 16;
    world simulated{options};
    simulated.start();
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->crash_marker = "deadly";
    }
    for (int asked = 0; asked < 3; ++asked) {
        operation wish = question();
        wish.marker = "deadly";
        simulated.ask(0, wish);
        simulated.run_for(seconds(2));
    }
    const auto ended = std::count_if(simulated.endpoints.begin(), simulated.endpoints.end(),
                                     [](const auto& endpoint) { return endpoint->is_dead; });
    EXPECT_LE(ended, 3) << "three ends under one request tell enough";
}

/** Asks entry after entry, one question each 50 ms, for \p time. */
void ask_all_the_time(world& simulated, int entries, duration time) {
    constexpr duration pause = milliseconds(50);
    for (int asked = 0; asked * pause < time; ++asked) {
        simulated.ask(static_cast<std::size_t>(asked % entries), question());
        simulated.run_for(pause);
    }
}

std::size_t arrivals_since(const fake_endpoint& endpoint, time_point since) {
    return static_cast<std::size_t>(std::count_if(endpoint.arrivals.begin(), endpoint.arrivals.end(),
                                                  [since](time_point at) { return at >= since; }));
}

fake_endpoint& an_engine(world& simulated) {
    return **std::find_if(simulated.endpoints.begin(), simulated.endpoints.end(),
                          [](const auto& endpoint) { return endpoint->record.pool == "engines"; });
}

// Guards against entries that go on sending to an engine which has named a rate limit for all of them.
TEST_F(failure, an_engine_gets_no_more_than_the_rate_limit_that_it_names) {
    constexpr std::size_t most_in_4_s = 17; // 1.5 times what 2 a second allow, and 5.
    world_options options = quiet_options();
    options.engines = 3;
    world simulated{options};
    simulated.start();
    fake_endpoint& limited = an_engine(simulated);
    limited.says.rate_limit = 2.0;
    ask_all_the_time(simulated, options.entries, seconds(4));
    const time_point since = simulated.clock.now();
    ask_all_the_time(simulated, options.entries, seconds(4));
    EXPECT_LE(arrivals_since(limited, since), most_in_4_s);
    EXPECT_GE(arrivals_since(limited, since), 1U) << "or nobody hears that it is over";
}

// Guards against an entry that goes on sending to an engine which has asked it for rest.
TEST_F(failure, an_engine_that_asks_for_rest_gets_it) {
    constexpr std::size_t most_in_rest = 2;
    world_options options = quiet_options();
    options.engines = 3;
    world simulated{options};
    simulated.start();
    fake_endpoint& resting = an_engine(simulated);
    resting.says.back_off = seconds(3);
    while (resting.arrivals.empty()) {
        ask_all_the_time(simulated, 1, milliseconds(50));
    }
    const time_point asked_at = resting.arrivals.front();
    ask_all_the_time(simulated, 1, milliseconds(2800));
    EXPECT_LE(arrivals_since(resting, asked_at + milliseconds(500)), most_in_rest);
}

// Guards against an entry that goes on sending to an engine which says in its answers that it leaves.
TEST_F(failure, an_engine_that_says_it_leaves_gets_nothing_new) {
    world_options options = quiet_options();
    options.engines = 3;
    world simulated{options};
    simulated.start();
    fake_endpoint& leaving = an_engine(simulated);
    leaving.says.is_leaving = true;
    ask_all_the_time(simulated, 1, seconds(3));
    const time_point since = simulated.clock.now();
    ask_all_the_time(simulated, 1, seconds(3));
    EXPECT_EQ(arrivals_since(leaving, since), 0U);
    EXPECT_GE(leaving.arrivals.size(), 1U);
}

TEST_F(failure, a_stranger_and_a_forbidden_service_run_nothing) {
    world simulated{quiet_options()};
    simulated.start();
    operation stranger = question();
    stranger.team = 0;
    caller_request request;
    request.caller = 1;
    request.team_key = "no such key";
    simulated.entry(0)->on_request(request, simulated.clock.now());
    EXPECT_EQ(simulated.entry(0)->open_requests(), 0U);
    EXPECT_EQ(simulated.entry_metrics(0).counter("refused_unauthorized"), 1U);
    EXPECT_EQ(simulated.entry_metrics(0).counter("dispatches"), 0U);
}

} // namespace laurelhoist
