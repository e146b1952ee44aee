#include "traffic/traffic.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

traffic_config two_routes() {
    traffic_config config;
    traffic_route general;
    general.name = "general";
    general.host = "Forms.example";
    general.path_prefix = "/a/";
    traffic_route special = general;
    special.name = "special";
    special.path_prefix = "/a/b/";
    config.routes = {general, special};
    config.teams = {{"osijek", {"key-1", "key-2"}, 1}, {"vukovar", {"key-3"}, std::nullopt}};
    return config;
}

// Of overlapping prefixes, the most specific route applies. Hosts match regardless of port and letter case.
TEST(routing_table, the_longest_matching_prefix_of_the_host_is_chosen) {
    const routing_table table(two_routes());
    EXPECT_EQ(table.find_route("forms.example", "/a/b/c")->name, "special");
    EXPECT_EQ(table.find_route("forms.example:8080", "/a/c")->name, "general");
    EXPECT_EQ(table.find_route("FORMS.EXAMPLE", "/a/")->name, "general");
    EXPECT_EQ(table.find_route("forms.example", "/ab/"), nullptr);
    EXPECT_EQ(table.find_route("other.example", "/a/"), nullptr);
}

// A team may have several keys; unknown and empty keys belong to no team.
TEST(routing_table, a_key_belongs_to_one_team) {
    const routing_table table(two_routes());
    EXPECT_EQ(table.find_team("key-2")->name, "osijek");
    EXPECT_EQ(table.find_team("key-3")->name, "vukovar");
    EXPECT_EQ(table.find_team("key-4"), nullptr);
    EXPECT_EQ(table.find_team(""), nullptr);
}

// A host that has just started cannot know which keys were withdrawn.
TEST(config_freshness, admits_nothing_before_the_first_confirmation) {
    const config_freshness freshness(seconds(5), milliseconds(300));
    EXPECT_FALSE(freshness.admits(time_point{}));
}

// A host loses its connection to the store just before an operator withdraws a key, so it still accepts the
// key. Five seconds after the withdrawal it must not: it has to refuse requests that it cannot check.
RC_GTEST_PROP(config_freshness, a_key_withdrawn_after_the_last_confirmation_never_runs_beyond_the_bound,
              (std::uint32_t confirmed_ms, std::uint32_t withdrawn_after_ms, std::uint32_t sent_after_ms)) {
    config_freshness freshness(seconds(5), milliseconds(300));
    const time_point confirmed = time_point{} + milliseconds(confirmed_ms % 100'000);
    const time_point withdrawn = confirmed + milliseconds(withdrawn_after_ms % 10'000);
    const time_point sent = withdrawn + seconds(5) + milliseconds(sent_after_ms % 10'000);
    freshness.confirm(confirmed);
    RC_ASSERT(!freshness.admits(sent));
}

// Confirmations may arrive out of order.
TEST(config_freshness, an_older_confirmation_does_not_lower_the_freshness) {
    config_freshness freshness(seconds(5), milliseconds(300));
    freshness.confirm(time_point{} + seconds(10));
    freshness.confirm(time_point{} + seconds(4));
    EXPECT_TRUE(freshness.admits(time_point{} + seconds(14)));
    EXPECT_EQ(freshness.age(time_point{} + seconds(12)), seconds(2));
}

} // namespace
} // namespace laurelhoist
