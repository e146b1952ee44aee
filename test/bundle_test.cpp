#include "bundle/bundle.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>

namespace laurelhoist {

namespace {

const chart& lifecycle() {
    static const chart loaded = load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "bundle");
    return loaded;
}

json load_example(const std::string& name) {
    std::ifstream file(LAUREL_SOURCE_DIR "/examples/" + name);
    return json::parse(file);
}

fleet_command make_command(command_kind kind, const fleet_head& head, const std::string& id = "b") {
    fleet_command command;
    command.kind = kind;
    command.by = "ana";
    command.nonce = "n" + std::to_string(head.revision);
    command.expected_revision = head.revision;
    command.bundle_id = id;
    command.sha256 = "hash";
    return command;
}

fleet_head apply_or_fail(const fleet_head& head, const fleet_command& command) {
    const outcome<fleet_head> next = apply_command(head, command, lifecycle());
    EXPECT_NE(value_of(next), nullptr) << error_of(next)->message;
    return *value_of(next);
}

fleet_head head_after_roll(const std::string& id, fleet_head head = {}) {
    for (const command_kind kind : {command_kind::submit, command_kind::sign_off, command_kind::roll}) {
        head = apply_or_fail(head, make_command(kind, head, id));
    }
    return head;
}

} // namespace

// The published examples must stay valid when the schema or the semantic checks change.
TEST(bundle_check, examples_are_valid) {
    for (const char* name : {"brazda-1.json", "brazda-2-bad.json", "brazda-3.json", "consorzio-1.json"}) {
        EXPECT_TRUE(check_bundle(load_example(name)).empty()) << name;
    }
}

// Validation must not stop at the first error, so that an operator can fix all errors of a bundle at once.
TEST(bundle_check, every_error_is_reported_with_path_and_remedy) {
    json document = load_example("brazda-1.json");
    document["teams"][0]["ladder"] = {"savjet@1", "nacrt@1", "nacrt@9"};
    document["teams"][1]["name"] = document["teams"][0]["name"];
    document["models"][0]["pool"] = "claims";
    document["rollout"]["steps"].back()["share"] = 0.9;
    const std::vector<bundle_fault> faults = check_bundle(document);
    EXPECT_GE(faults.size(), 5U);
    for (const bundle_fault& fault : faults) {
        EXPECT_FALSE(fault.path.empty());
        EXPECT_FALSE(fault.remedy.empty());
    }
}

// A misspelled key would otherwise be ignored without notice.
TEST(bundle_check, structure_is_checked_against_the_published_schema) {
    json document = load_example("brazda-1.json");
    document["tems"] = json::array();
    EXPECT_FALSE(check_bundle(document).empty());
    EXPECT_FALSE(check_bundle(json::array()).empty());
}

// Bundles are stored as JSON and identified by their content hash, so neither may change in a round trip.
TEST(bundle, values_compare_and_round_trip_through_json) {
    const auto first = load_example("brazda-1.json").get<bundle>();
    EXPECT_EQ(json(first).get<bundle>(), first);
    EXPECT_NE(first, load_example("brazda-3.json").get<bundle>());
    EXPECT_EQ(content_hash(first), content_hash(json(first).get<bundle>()));
}

// Two operators act on the same revision: one pauses the roll-out, the other withdraws it a moment later.
// Without the check of the expected revision, the second command would silently override the first.
TEST(fleet_head, a_concurrent_command_is_refused_and_names_the_other_change) {
    const fleet_head head = head_after_roll("b", head_after_roll("a"));
    const fleet_command pause = make_command(command_kind::pause, head);
    const fleet_command withdraw = make_command(command_kind::withdraw_bundle, head);
    const fleet_head paused = apply_or_fail(head, pause);
    const outcome<fleet_head> second = apply_command(paused, withdraw, lifecycle());
    ASSERT_NE(error_of(second), nullptr);
    EXPECT_NE(error_of(second)->message.find("pause b"), std::string::npos);
    EXPECT_NE(error_of(second)->message.find("ana"), std::string::npos);
}

// A sign-off that names another content hash is refused, and a bundle without a sign-off cannot be rolled
// out.
TEST(fleet_head, only_the_signed_content_is_signed_off) {
    fleet_head head = apply_or_fail({}, make_command(command_kind::submit, {}));
    fleet_command sign = make_command(command_kind::sign_off, head);
    sign.sha256 = "other";
    EXPECT_NE(error_of(apply_command(head, sign, lifecycle())), nullptr);
    EXPECT_NE(error_of(apply_command(head, make_command(command_kind::roll, head), lifecycle())), nullptr);
}

// A resume lifts the brake of the named versions. It starts a new epoch, so that evidence from before the
// brake no longer counts.
TEST(fleet_head, a_braked_bundle_resumes_in_a_new_epoch) {
    fleet_head head = head_after_roll("b", head_after_roll("a"));
    fleet_command brake = make_command(command_kind::brake, head);
    brake.versions = {"m@2"};
    head = apply_or_fail(head, brake);
    EXPECT_EQ(head.bundles["b"].state, "braked");
    const int epoch = head.bundles["b"].epoch;
    fleet_command resume = make_command(command_kind::resume, head);
    resume.versions = {"m@2"};
    head = apply_or_fail(head, resume);
    EXPECT_TRUE(head.braked.empty());
    EXPECT_EQ(head.bundles["b"].epoch, epoch + 1);
}

// For random sequences of commands: each accepted one increments the revision by one and is recorded, no
// withdrawal is lost, and at most one bundle is established.
RC_GTEST_PROP(fleet_head, any_sequence_of_commands_keeps_the_invariants, ()) {
    fleet_head head;
    const auto count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
        fleet_command command =
            make_command(static_cast<command_kind>(*rc::gen::inRange(0, 12)), head,
                         std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))));
        command.versions = {"m@" + std::to_string(*rc::gen::inRange(1, 4))};
        command.step = *rc::gen::inRange(0, 3);
        command.share = *rc::gen::inRange(0, 100) / 100.0;
        command.steward = {"i" + std::to_string(*rc::gen::inRange(0, 4)),
                           "s" + std::to_string(*rc::gen::inRange(0, 3)), "", ""};
        const outcome<fleet_head> next = apply_command(head, command, lifecycle());
        if (value_of(next) == nullptr) {
            continue;
        }
        RC_ASSERT(value_of(next)->revision == head.revision + 1);
        RC_ASSERT(is_successor(head, *value_of(next)));
        RC_ASSERT(contains_change(*value_of(next), command.nonce));
        const auto& bundles = value_of(next)->bundles;
        RC_ASSERT(std::count_if(bundles.begin(), bundles.end(),
                                [](const auto& item) { return item.second.state == "established"; }) <= 1);
        head = *value_of(next);
    }
}

// The sessions in a roll-out must match its share, and their number must not drop when the share grows.
TEST(fleet_view, a_session_in_the_rollout_stays_in_it_as_the_share_grows) {
    fleet_head head = head_after_roll("b", head_after_roll("a"));
    const auto a = load_example("brazda-1.json").get<bundle>();
    double last_taken = 0;
    for (const double share : {0.1, 0.5, 1.0}) {
        head.bundles["b"].share = share;
        const fleet_view view(head, {{"a", a}, {"b", a}});
        double taken = 0;
        for (int i = 0; i < 1000; ++i) {
            taken += view.is_in_rollout(unit_hash("session" + std::to_string(i))) ? 1 : 0;
        }
        EXPECT_NEAR(taken / 1000, share, 0.05);
        EXPECT_GE(taken, last_taken);
        last_taken = taken;
    }
}

} // namespace laurelhoist
