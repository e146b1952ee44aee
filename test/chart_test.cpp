#include "chart/chart.h"

#include <gtest/gtest.h>

namespace laurelhoist {

namespace {

const std::string door = R"(<scxml initial="closed">
  <state id="closed"><transition event="open" cond="is_unlocked" target="open"><script>creak</script></transition></state>
  <state id="open"><transition event="close" target="closed"/></state>
</scxml>)";

struct door_context {
    std::string state = "closed";
    bool unlocked = false;
    int creaks = 0;
};

struct door_host {
    bool is_unlocked(const door_context& context) const { return context.unlocked; }
    void creak(door_context& context) { ++context.creaks; }
};

using door_chart = bound_chart<door_host, door_context>;

std::string fault_of(const std::string& text) {
    const outcome<chart> parsed = chart::parse(text, "test");
    const error* failure = error_of(parsed);
    return failure == nullptr ? "" : failure->message;
}

} // namespace

// An event has an effect only if the state has a transition for it whose guard holds.
TEST(chart, guard_and_action_run) {
    const outcome<chart> parsed = chart::parse(door, "door");
    ASSERT_NE(value_of(parsed), nullptr);
    const door_chart bound{
        *value_of(parsed), {{"is_unlocked", &door_host::is_unlocked}}, {{"creak", &door_host::creak}}};
    door_host host;
    door_context context;
    EXPECT_FALSE(bound.fire(host, context, "open"));
    EXPECT_EQ(context.state, "closed");
    context.unlocked = true;
    EXPECT_TRUE(bound.fire(host, context, "open"));
    EXPECT_EQ(context.state, "open");
    EXPECT_EQ(context.creaks, 1);
    EXPECT_FALSE(bound.fire(host, context, "no_such_event"));
}

// A guard or action that the program does not define must be detected at the start, not when it is needed.
TEST(chart, binding_fails_if_a_handler_is_missing) {
    const outcome<chart> parsed = chart::parse(door, "door");
    EXPECT_THROW((door_chart{*value_of(parsed), {}, {{"creak", &door_host::creak}}}), std::invalid_argument);
}

// Charts are edited as files, so their errors must be reported when they are loaded.
TEST(chart, invalid_charts_are_rejected_with_the_reason) {
    EXPECT_NE(fault_of("<scxml").find("not XML"), std::string::npos);
    EXPECT_NE(fault_of(R"(<scxml initial="a"></scxml>)").find("initial state"), std::string::npos);
    EXPECT_NE(
        fault_of(R"(<scxml initial="a"><state id="a"/><state id="b"/></scxml>)").find("cannot be reached"),
        std::string::npos);
    EXPECT_NE(
        fault_of(R"(<scxml initial="a"><state id="a"><transition event="x" target="c"/></state></scxml>)")
            .find("existing target"),
        std::string::npos);
    EXPECT_NE(fault_of(R"(<scxml initial="a"><parallel id="a"/></scxml>)").find("outside the subset"),
              std::string::npos);
}

// An operator whose command is not possible needs to know which commands are.
TEST(chart, an_impossible_event_lists_the_possible_ones) {
    const outcome<chart> lifecycle = chart::load(LAUREL_SOURCE_DIR "/charts/bundle.scxml");
    ASSERT_NE(value_of(lifecycle), nullptr);
    const outcome<std::string> next = value_of(lifecycle)->next("submitted", "roll");
    ASSERT_NE(error_of(next), nullptr);
    EXPECT_NE(error_of(next)->message.find("sign_off"), std::string::npos);
}

TEST(chart, shipped_charts_are_valid) {
    for (const char* name : {"bundle", "endpoint", "host", "request"}) {
        const outcome<chart> loaded =
            chart::load(std::string(LAUREL_SOURCE_DIR "/charts/") + name + ".scxml");
        EXPECT_NE(value_of(loaded), nullptr) << name;
    }
}

} // namespace laurelhoist
