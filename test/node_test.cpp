/** \file
 * Tests of single failures, on real entries and stewards under the virtual clock. A broken invariant throws,
 * so that each test also checks all invariants.
 */
#include "simulation/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {

namespace {

world_options options_without_load() {
    world_options options;
    options.requests_per_second = 0;
    options.callers_retry = false;
    return options;
}

operation booking(const std::string& key, const std::string& marker) {
    operation op;
    op.is_service = true;
    op.is_idempotent = false;
    op.service_path = "book";
    op.key = key;
    op.marker = marker;
    return op;
}

operation question(double difficulty = 0.1, bool stream = false) {
    operation op;
    op.difficulty = difficulty;
    op.stream = stream;
    return op;
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

// Guards against fields that are lost or mixed up between encoding and decoding.
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

// Input from a broken or hostile process must give an error and never a crash.
RC_GTEST_PROP(messages, arbitrary_bytes_are_refused_without_a_crash, (const std::string& bytes)) {
    RC_ASSERT(value_of(decode(bytes)) == nullptr);
    std::string altered = encode(entry_ask{});
    if (!bytes.empty()) {
        altered[static_cast<unsigned char>(bytes[0]) % altered.size()] ^= bytes.back();
    }
    decode(altered);
}

// Guards against a message that ends the process, because reading it recurses as deep as it is nested.
TEST(messages, a_message_nested_too_deep_is_refused) {
    constexpr std::size_t depth = 1'000'000;
    EXPECT_EQ(value_of(decode(std::string(depth, '\x81'))), nullptr);
}

// Guards against links from processes that lack the fleet key, replay an old hello or alter one.
TEST(messages, a_hello_without_the_key_or_with_an_old_time_is_refused) {
    hello_message hello{"entry", "e", "e#1", "d", "a", 100000, ""};
    hello.proof = compute_proof(hello, "the fleet key");
    EXPECT_TRUE(has_valid_proof(hello, "the fleet key", 100500));
    EXPECT_FALSE(has_valid_proof(hello, "another key", 100500));
    EXPECT_FALSE(has_valid_proof(hello, "the fleet key", 100000 + 86400000));
    hello.name = "other";
    EXPECT_FALSE(has_valid_proof(hello, "the fleet key", 100500));
}

// Guards against a delta that is applied to the wrong base, and a bundle that was altered after its sign-off.
TEST(config_delta, a_delta_is_small_and_an_update_without_its_base_or_with_a_wrong_hash_is_refused) {
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

// A new cheap version answers most requests badly while its roll-out is at 10% and no operator watches. The
// brake must stop it within tens of answers, and sessions return to the good version.
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

// A brake notice is in force everywhere, and before the brake is written to the platform another change of
// configuration comes into force. A notice that applied to a revision would be lifted by it, and the bad
// version would receive work again.
TEST_F(failure, a_brake_outlasts_an_unrelated_change_of_configuration) {
    world simulated{options_without_load()};
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

// Guards against a roll-out that stops halfway without an operator although its version is good.
TEST_F(failure, a_good_version_is_rolled_out_completely_without_an_operator) {
    world simulated{world_options{}};
    simulated.start();
    simulated.roll_bundle(0.85);
    simulated.run_for(seconds(120));
    EXPECT_EQ(simulated.head_in_platform().established, "bundle-2");
    simulated.quiesce();
    simulated.check_final();
}

// Two stewards are killed, one after the other, during a roll-out. If a roll-out belonged to one steward, the
// fleet would keep mixed versions; any steward must continue it from the head.
TEST_F(failure, an_unfinished_rollout_is_continued_by_another_steward) {
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

// An entry is cut off from all others just before a version is withdrawn, while callers still reach it. After
// the freshness limit it must refuse requests as not run instead of serving the withdrawn version.
TEST_F(failure, a_cut_off_entry_does_not_serve_a_withdrawn_version) {
    world simulated{options_without_load()};
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

// An entry is paused for seconds (its machine swaps or is migrated) while a version is withdrawn. It resumes
// with queued requests and a configuration that looks fresh unless its age is evaluated again.
TEST_F(failure, a_paused_entry_checks_its_configuration_again_before_it_sends) {
    world simulated{options_without_load()};
    simulated.start();
    simulated.pause_entry(0, seconds(10));
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.withdraw("cheap@1");
    simulated.run_for(seconds(14));
    ASSERT_NE(simulated.reply_to(asked), nullptr);
    EXPECT_NE(simulated.reply_to(asked)->version, "cheap@1");
}

// The platform is unavailable for minutes. Requests must go on, an operator's change must not be reported as
// accepted, and a steward that restarts during the outage must not count towards a majority, since it has
// lost what it had accepted.
TEST_F(failure, a_long_outage_of_the_platform_stops_no_request) {
    world simulated{options_without_load()};
    simulated.start();
    simulated.platform->faults.is_down = true;
    simulated.run_for(seconds(120));
    const std::uint64_t during = simulated.ask(0, question());
    simulated.withdraw("cheap@1");
    simulated.run_for(seconds(20));
    EXPECT_EQ(kind_of(simulated.reply_to(during)), "answered");
    EXPECT_EQ(simulated.report().commands_accepted, 3U) << "only the commands of the start";
    simulated.kill_steward(0, milliseconds(500));
    simulated.kill_steward(1, milliseconds(500));
    simulated.run_for(seconds(10));
    const std::uint64_t without_majority = simulated.ask(0, question());
    simulated.run_for(seconds(5));
    EXPECT_EQ(kind_of(simulated.reply_to(without_majority)), "not_fresh");
    simulated.quiesce();
    simulated.check_final();
}

// The platform applies a write but its answer is lost. If the operator were told "failed", the change would
// be made again, or a withdrawn version believed to be in use. The steward must read the head back.
TEST_F(failure, a_lost_write_answer_is_settled_by_reading_back) {
    world simulated{options_without_load()};
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

// A steward that is cut off from its peers writes a withdrawal, and the platform becomes unavailable at once.
// The other stewards still confirm the older revision, so the change must not be reported as accepted.
TEST_F(failure, a_change_that_no_majority_holds_is_not_called_accepted) {
    world simulated{options_without_load()};
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

// A caller's connection breaks and its client repeats the booking with the same key at another entry while
// the first attempt is still in progress. Without the claim it would run twice.
TEST_F(failure, one_booking_key_at_two_entries_runs_once) {
    world simulated{options_without_load()};
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
    EXPECT_EQ(kind_of(simulated.reply_to(later)), "answered") << "the stored answer";
    EXPECT_EQ(simulated.run_count("m1"), 1);
}

// Guards against a reused idempotency key that returns the answer to another request, or runs a second one.
TEST_F(failure, a_key_reused_for_another_request_is_a_conflict) {
    world simulated{options_without_load()};
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

// A session pinned to a new version reaches an entry that does not have the roll-out's configuration yet.
// Without the revision in the token, the entry would find the pinned version not allowed and move the session
// back.
TEST_F(failure, an_entry_behind_the_token_does_not_move_the_session) {
    world simulated{options_without_load()};
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

// The booking service runs a call and its answer is lost. Repeating it would book twice, and "not run" would
// make the caller repeat it, so the outcome must be reported as unknown.
TEST_F(failure, a_booking_whose_answer_is_lost_is_not_repeated_and_its_outcome_is_unknown) {
    world simulated{options_without_load()};
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

// The platform is down when a keyed booking arrives: without a claim it could run twice at two entries.
TEST_F(failure, a_keyed_booking_is_refused_as_not_run_while_the_platform_is_down) {
    world simulated{options_without_load()};
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

// The platform becomes unavailable, and a steward that holds bills in memory is killed before it can write
// them. The copies at another steward and at the entry must keep the bills.
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

// A steward stops while the platform is down; without a hand-over the bills that it holds would be lost.
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

// An engine's connection goes silent in the middle of a stream, without an error. The entry must resume at
// the missing part or restart the stream, and the caller gets every part once.
TEST_F(failure, a_silent_stream_is_resumed_without_a_gap) {
    world simulated{options_without_load()};
    simulated.start();
    operation op = question(0.1, true);
    op.tokens = 200;
    const std::uint64_t asked = simulated.ask(0, op);
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

// A version is withdrawn in the middle of a stream of a team with "rerun". The caller must be told that the
// answer restarts and get it whole from another version, billed once.
TEST_F(failure, a_stream_of_a_withdrawn_version_begins_anew) {
    world simulated{options_without_load()};
    simulated.start();
    // Without ratings a stream is routed by the prior, to the costly version.
    operation op = question(0.1, true);
    op.tokens = 300;
    const std::uint64_t asked = simulated.ask(0, op);
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

// An entry is stopped while requests are open and callers still have its address cached. No request may fail.
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

// An engine refuses new work as leaving, seconds before the platform's list says so. No entry may send to it.
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

// Guards against the release of an answer in which the engine reports another version than the requested one,
// for example because it followed an outdated order.
TEST_F(failure, an_answer_of_another_version_is_never_released) {
    world simulated{options_without_load()};
    simulated.start();
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->names_wrong_version = true;
    }
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.run_for(seconds(12));
    EXPECT_NE(kind_of(simulated.reply_to(asked)), "answered");
    EXPECT_EQ(ran_of(simulated.reply_to(asked)), "unknown");
}

// A steward that was paused during a roll-out sends outdated orders. Engines without a fencing check follow
// them; the loaded versions must be read back and corrected.
TEST_F(failure, engines_without_a_fencing_check_are_read_back_and_corrected) {
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

// Guards against an order that arrives after a later one and undoes it.
TEST_F(failure, an_engine_that_checks_the_fence_refuses_an_old_order) {
    world simulated{options_without_load()};
    simulated.start();
    fake_endpoint& engine = *simulated.endpoints[0];
    engine.order({"", "", "load", "costly@1", 50});
    engine.order({"", "", "unload", "costly@1", 49});
    EXPECT_EQ(engine.fenced_orders, 1U);
    EXPECT_EQ(engine.loaded.count("costly@1"), 1U);
}

// The rating service is down. Answers must still come, from the version that is trusted unrated.
TEST_F(failure, without_the_rating_service_the_trusted_version_answers) {
    world simulated{options_without_load()};
    simulated.start();
    simulated.rater_is_down = true;
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.run_for(seconds(8));
    ASSERT_NE(simulated.reply_to(asked), nullptr);
    EXPECT_EQ(simulated.reply_to(asked)->version, "costly@1");
    // Later answers do not wait for the rating timeout once ratings have failed repeatedly.
    simulated.ask(0, question());
    simulated.run_for(seconds(8));
    const std::uint64_t later = simulated.ask(0, question());
    simulated.run_for(seconds(1));
    EXPECT_EQ(kind_of(simulated.reply_to(later)), "answered");
    EXPECT_GT(simulated.entry_metrics(0).counter("ratings_skipped"), 0U);
}

// A failure domain is lost during an outage of the platform: an entry, a steward and a quarter of the engines
// are gone at once. The others must continue to serve.
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

// All engines of a pool are gone. Callers must be refused soon, as not run, and not at their deadline.
TEST_F(failure, an_empty_pool_is_refused_soon_and_not_run) {
    world simulated{options_without_load()};
    simulated.start();
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->is_dead = endpoint->record.pool == "engines";
    }
    const std::uint64_t asked = simulated.ask(0, question());
    simulated.run_for(seconds(6));
    EXPECT_EQ(kind_of(simulated.reply_to(asked)), "no_capacity");
    EXPECT_EQ(ran_of(simulated.reply_to(asked)), "no");
}

// One caller's request terminates every engine that begins to run it. Without a record of these crashes it is
// sent to five engines each time the caller repeats it, until no engine is left.
TEST_F(failure, a_request_that_terminates_its_endpoints_is_quarantined) {
    world_options options = options_without_load();
    options.engines = 16;
    world simulated{options};
    simulated.start();
    for (const auto& endpoint : simulated.endpoints) {
        endpoint->crash_marker = "deadly";
    }
    for (int asked = 0; asked < 3; ++asked) {
        operation op = question();
        op.marker = "deadly";
        simulated.ask(0, op);
        simulated.run_for(seconds(2));
    }
    const auto ended = std::count_if(simulated.endpoints.begin(), simulated.endpoints.end(),
                                     [](const auto& endpoint) { return endpoint->is_dead; });
    EXPECT_LE(ended, 3) << "three crashes under one request are enough to quarantine it";
}

/** Sends one question each 50 ms for \p time, to one entry after the other. */
void ask_continuously(world& simulated, int entries, duration time) {
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

fake_endpoint& first_engine(world& simulated) {
    return **std::find_if(simulated.endpoints.begin(), simulated.endpoints.end(),
                          [](const auto& endpoint) { return endpoint->record.pool == "engines"; });
}

// Guards against entries that go on sending to an engine which has named a rate limit for all of them.
TEST_F(failure, an_engine_gets_no_more_than_the_rate_limit_that_it_names) {
    constexpr std::size_t max_arrivals_in_4_s = 17; // 1.5 times 4 s at the limit of 2 requests/s, plus 5.
    world_options options = options_without_load();
    options.engines = 3;
    world simulated{options};
    simulated.start();
    fake_endpoint& limited = first_engine(simulated);
    limited.statement.rate_limit = 2.0;
    ask_continuously(simulated, options.entries, seconds(4));
    const time_point since = simulated.clock.now();
    ask_continuously(simulated, options.entries, seconds(4));
    EXPECT_LE(arrivals_since(limited, since), max_arrivals_in_4_s);
    EXPECT_GE(arrivals_since(limited, since), 1U)
        << "without any request, entries never learn that the limit is lifted";
}

// Guards against an entry that goes on sending to an engine which has asked for a back-off.
TEST_F(failure, an_engine_that_asks_for_a_back_off_gets_it) {
    constexpr std::size_t max_arrivals_in_back_off = 2;
    world_options options = options_without_load();
    options.engines = 3;
    world simulated{options};
    simulated.start();
    fake_endpoint& overloaded = first_engine(simulated);
    overloaded.statement.back_off = seconds(3);
    while (overloaded.arrivals.empty()) {
        ask_continuously(simulated, 1, milliseconds(50));
    }
    const time_point asked_at = overloaded.arrivals.front();
    ask_continuously(simulated, 1, milliseconds(2800));
    EXPECT_LE(arrivals_since(overloaded, asked_at + milliseconds(500)), max_arrivals_in_back_off);
}

// Guards against an entry that goes on sending to an engine which announces that it is leaving.
TEST_F(failure, an_engine_that_says_it_leaves_gets_nothing_new) {
    world_options options = options_without_load();
    options.engines = 3;
    world simulated{options};
    simulated.start();
    fake_endpoint& leaving = first_engine(simulated);
    leaving.statement.is_leaving = true;
    ask_continuously(simulated, 1, seconds(3));
    const time_point since = simulated.clock.now();
    ask_continuously(simulated, 1, seconds(3));
    EXPECT_EQ(arrivals_since(leaving, since), 0U);
    EXPECT_GE(leaving.arrivals.size(), 1U);
}

// Guards against a request with an unknown team key that is queued or sent to an endpoint.
TEST_F(failure, a_request_with_an_unknown_key_runs_nothing) {
    world simulated{options_without_load()};
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
