#include "routing/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>

namespace laurelhoist {

namespace {

const time_point begin{seconds(100)};
const std::string key = "a key of the fleet";

endpoint_table make_table(endpoint_policy policy = endpoint_policy::least_expected_latency) {
    return endpoint_table{load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "endpoint"), 5, policy};
}

std::vector<endpoint_record> three_endpoints() {
    return {
        {"a", "", "d1", "pool", "live"}, {"b", "", "d2", "pool", "live"}, {"c", "", "d3", "pool", "live"}};
}

std::string choose(endpoint_table& table, time_point now, const std::string& prefix = "") {
    const std::optional<endpoint_record> chosen = table.choose({"pool", "m@1", prefix, {}}, now);
    return chosen ? chosen->name : "";
}

std::shared_ptr<fleet_view> sample_view(const std::map<version_name, version_stop>& withdrawn = {}) {
    std::ifstream file(LAUREL_SOURCE_DIR "/examples/brazda-1.json");
    const auto document = json::parse(file).get<bundle>();
    fleet_head head;
    head.revision = 1;
    head.established = document.id;
    head.bundles[document.id] = {content_hash(document), "established", "ana", 0, 1.0, 1};
    head.withdrawn = withdrawn;
    return std::make_shared<fleet_view>(head, std::map<std::string, bundle>{{document.id, document}});
}

} // namespace

// A session must keep its pinned versions when the caller sends its token to another entry host.
TEST(session_token, a_token_carries_the_pins_back_unchanged) {
    const session_pins pins{"osijek", "s1", {{"nacrt", "1"}}, 7};
    EXPECT_EQ(read_session(encode_session(pins, key), "osijek", key, "fresh"), pins);
}

// A caller must not reach a version that it may not use with an altered token or the token of another team.
TEST(session_token, an_altered_or_foreign_token_pins_nothing) {
    const std::string token = encode_session({"osijek", "s1", {{"nacrt", "9"}}, 7}, key);
    EXPECT_TRUE(read_session(token, "vukovar", key, "fresh").version_by_model.empty());
    EXPECT_TRUE(read_session(token, "osijek", "another key", "fresh").version_by_model.empty());
    std::string altered = token;
    altered[8] = altered[8] == 'A' ? 'B' : 'A';
    EXPECT_TRUE(read_session(altered, "osijek", key, "fresh").version_by_model.empty());
    EXPECT_EQ(read_session("", "osijek", key, "fresh").session, "fresh");
    EXPECT_EQ(read_session("my own id", "osijek", key, "fresh").session, "my own id");
}

// A token pins a version that is unknown, or one that has been withdrawn: the session must get one that is
// allowed.
TEST(session_token, a_pin_that_is_not_allowed_is_replaced_by_an_allowed_version) {
    EXPECT_EQ(resolve_ladder(*sample_view(), {"osijek", "s", {{"nacrt", "7"}}, 1}).front(), "nacrt@1");
    const std::vector<version_name> remaining =
        resolve_ladder(*sample_view({{"nacrt@1", {}}}), {"osijek", "s", {}, 1});
    EXPECT_EQ(remaining, std::vector<version_name>{"savjet@1"});
}

// The cheap tier must not be chosen by its own cost alone: a step up may miss the latency budget, is not
// possible for a stream, or may be needed so often that starting at the costly tier is cheaper.
TEST(tier_choice, includes_the_expected_cost_of_a_step_up) {
    const std::vector<tier_option> options{{1, 0.8, 0.8, 100}, {20, 0.98, 0.98, 300}};
    EXPECT_EQ(choose_start(options, {0.95, 10000, true}), 0U);
    EXPECT_EQ(choose_start(options, {0.95, 10000, false}), 1U) << "a stream cannot step up";
    EXPECT_EQ(choose_start(options, {0.95, 350, true}), 1U) << "no time for both";
    const std::vector<tier_option> mostly_failing{{18, 0.05, 0.05, 100}, {20, 0.98, 0.98, 300}};
    EXPECT_EQ(choose_start(mostly_failing, {0.95, 10000, true}), 1U);
}

// A stream must not start at a tier that misses the team's target if the last tier meets it.
RC_GTEST_PROP(tier_choice, never_misses_a_target_that_the_costliest_meets, ()) {
    std::vector<tier_option> options;
    const auto count = *rc::gen::inRange(1, 5);
    for (int i = 0; i < count; ++i) {
        const double chance = *rc::gen::inRange(0, 100) / 100.0;
        options.push_back({1.0 + 3 * i, chance, chance, 100});
    }
    const double target = *rc::gen::inRange(50, 99) / 100.0;
    options.back().chance = std::max(options.back().chance, target);
    const std::size_t start = choose_start(options, {target, 1e9, false});
    RC_ASSERT(options[start].chance >= target - 0.011);
}

// When the quality of a version changes, its many older ratings must not keep the estimate where it was.
TEST(quality_estimator, follows_recent_ratings) {
    quality_estimator estimator;
    const quality_estimator::subject subject{"t", "k", "m@1", false};
    EXPECT_DOUBLE_EQ(estimator.chance(subject, 0.8), 0.8);
    for (int i = 0; i < 300; ++i) {
        estimator.observe(subject, false, 0.8);
    }
    EXPECT_LT(estimator.chance(subject, 0.8), 0.1);
    for (int i = 0; i < 600; ++i) {
        estimator.observe(subject, true, 0.8);
    }
    EXPECT_GT(estimator.chance(subject, 0.8), 0.9);
}

// If every request fails, retries must not multiply the load of a pool.
TEST(retry_budget, retries_are_a_share_of_first_attempts) {
    retry_budget budget;
    int taken = 0;
    while (budget.try_take()) {
        ++taken;
    }
    for (int i = 0; i < 100; ++i) {
        budget.on_first_attempt();
    }
    int more = 0;
    while (budget.try_take()) {
        ++more;
    }
    EXPECT_LE(taken, 20);
    EXPECT_NEAR(more, 20, 1);
}

// One team fills the queue. Another team's request must not wait behind that backlog.
TEST(waiting_room, the_backlog_of_one_team_does_not_delay_another) {
    waiting_room queue;
    for (int i = 0; i < 1000; ++i) {
        queue.push({"f" + std::to_string(i), "flood"}, begin);
    }
    queue.push({"s", "small"}, begin);
    const auto weight = [](const std::string&) { return 1; };
    const waiting_room::selection always{[](const std::string&) { return true; }, {}};
    EXPECT_EQ(queue.pop(begin, weight, always)->id, "f0");
    EXPECT_EQ(queue.pop(begin, weight, always)->id, "s");
}

// While two teams have requests waiting, the slots must be divided by their weights.
RC_GTEST_PROP(waiting_room, shares_follow_weights, ()) {
    const int weight_a = *rc::gen::inRange(1, 6);
    waiting_room queue;
    for (int i = 0; i < 600; ++i) {
        queue.push({"a" + std::to_string(i), "a"}, begin);
        queue.push({"b" + std::to_string(i), "b"}, begin);
    }
    int taken_a = 0;
    constexpr int taken = 300;
    for (int i = 0; i < taken; ++i) {
        taken_a += queue
                       .pop(begin, [&](const std::string& team) { return team == "a" ? weight_a : 1; },
                            {[](const std::string&) { return true; }, {}})
                       ->team == "a";
    }
    RC_ASSERT(std::abs(taken_a - taken * weight_a / (weight_a + 1)) <= 6);
}

// An endpoint that shuts down says "leaving" with a refusal, while the platform's list still shows it as
// "live". It must not be chosen again.
TEST(endpoint_table, a_leaving_endpoint_gets_no_requests_while_the_list_lags) {
    endpoint_table table = make_table();
    table.update(three_endpoints(), begin);
    table.mark_leaving("a", begin);
    table.update(three_endpoints(), begin + seconds(1));
    for (int i = 0; i < 60; ++i) {
        EXPECT_NE(choose(table, begin + seconds(2)), "a");
    }
    EXPECT_FALSE(table.takes_work("a"));
}

// An endpoint that keeps failing must not go on getting requests, nor get many at once when its ejection
// ends.
TEST(endpoint_table, a_failing_endpoint_is_ejected_and_probed_with_one_call) {
    endpoint_table table = make_table();
    table.update({three_endpoints()[0]}, begin);
    for (int i = 0; i < 3; ++i) {
        table.on_call_started("a", {"pool", "m@1", "", {}}, begin);
        table.on_call_ended("a", call_result::failed, milliseconds(5), begin);
    }
    EXPECT_EQ(choose(table, begin + seconds(1)), "");
    EXPECT_EQ(choose(table, begin + seconds(3)), "a");
    table.on_call_started("a", {"pool", "m@1", "", {}}, begin + seconds(3));
    EXPECT_EQ(choose(table, begin + seconds(3)), "") << "one probe at a time";
    table.on_call_ended("a", call_result::answered, milliseconds(5), begin + seconds(3));
    EXPECT_EQ(choose(table, begin + seconds(3)), "a");
}

// Twelve streams that broke at once ejected their endpoint for 30 s, and all endpoints of a pool could be
// ejected for as long.
TEST(endpoint_table, calls_that_fail_together_eject_an_endpoint_once) {
    endpoint_table table = make_table();
    table.update({three_endpoints()[0]}, begin);
    for (int i = 0; i < 12; ++i) {
        table.on_call_started("a", {"pool", "m@1", "", {}}, begin);
    }
    for (int i = 0; i < 12; ++i) {
        table.on_call_ended("a", call_result::failed, milliseconds(5), begin);
    }
    EXPECT_EQ(choose(table, begin + seconds(1)), "");
    EXPECT_EQ(choose(table, begin + seconds(3)), "a");
    table.on_call_started("a", {"pool", "m@1", "", {}}, begin + seconds(3));
    table.on_call_ended("a", call_result::failed, milliseconds(5), begin + seconds(3));
    EXPECT_EQ(choose(table, begin + seconds(6)), "") << "a failed probe doubles the time";
}

// A probe that was a long stream kept its endpoint from other requests for as long as the stream lasted.
TEST(endpoint_table, a_probe_that_streams_on_reinstates_its_endpoint) {
    endpoint_table table = make_table();
    table.update({three_endpoints()[0]}, begin);
    table.on_call_started("a", {"pool", "m@1", "", {}}, begin);
    table.on_call_ended("a", call_result::answered, milliseconds(200), begin);
    for (int i = 0; i < 3; ++i) {
        table.on_call_started("a", {"pool", "m@1", "", {}}, begin);
        table.on_call_ended("a", call_result::failed, milliseconds(5), begin);
    }
    EXPECT_EQ(choose(table, begin + seconds(3)), "a");
    table.on_call_started("a", {"pool", "m@1", "", {}}, begin + seconds(3));
    table.on_call_progress("a", milliseconds(150));
    EXPECT_EQ(choose(table, begin + seconds(3)), "") << "streams break early";
    table.on_call_progress("a", milliseconds(200));
    EXPECT_EQ(choose(table, begin + seconds(3)), "a");
}

// Guards against ejecting a sound endpoint that is silent for about a second.
TEST(endpoint_table, a_pause_of_a_second_ejects_nothing) {
    endpoint_table table = make_table(endpoint_policy::least_in_flight);
    table.update({{"a", "", "d1", "pool", "live"}}, begin);
    for (int call = 0; call < 8; ++call) {
        table.on_call_started("a", {"pool", "m@1", "", {}}, begin);
        table.on_call_ended("a", call_result::unanswered, seconds(1), begin + seconds(1));
    }
    EXPECT_TRUE(table.takes_work("a"));
    table.on_call_started("a", {"pool", "m@1", "", {}}, begin + seconds(1));
    table.on_call_ended("a", call_result::unanswered, seconds(1), begin + seconds(2));
    EXPECT_FALSE(table.takes_work("a")); // Two seconds are no pause.
}

// A request must not go to an endpoint that has to read the whole prompt while an equally loaded one has it
// cached.
TEST(endpoint_table, a_cached_prefix_is_preferred_while_the_load_is_even) {
    endpoint_table table = make_table();
    table.update(three_endpoints(), begin);
    for (const char* name : {"a", "b", "c"}) {
        table.on_call_started(name, {"pool", "m@1", "", {}}, begin);
        table.on_call_ended(name, call_result::answered, milliseconds(100), begin);
    }
    table.on_call_started("b", {"pool", "m@1", "prompt", {}}, begin);
    table.on_call_ended("b", call_result::answered, milliseconds(100), begin);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(choose(table, begin, "prompt"), "b");
    }
}

// A request must not go to an endpoint that has reported other versions or has answered that it lacks this
// one.
TEST(endpoint_table, an_endpoint_without_the_version_is_not_chosen) {
    endpoint_table table = make_table();
    table.update(three_endpoints(), begin);
    table.on_load_report("a", {0, 0, {"m@2"}}, begin);
    table.on_version_missing("b", "m@1", begin);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(choose(table, begin), "c");
    }
    EXPECT_TRUE(table.could_serve("pool", "m@1", begin));
    table.on_version_missing("c", "m@1", begin);
    EXPECT_FALSE(table.could_serve("pool", "m@1", begin));
}

// An endpoint fails three times, crashes and restarts under the same name. The new process must not stay
// ejected for the failures of the old one.
TEST(endpoint_table, a_restart_clears_the_ejection) {
    endpoint_table table = make_table();
    endpoint_record endpoint{"a", "", "d", "pool", "live", "v1", 1000};
    table.update({endpoint}, begin);
    for (int i = 0; i < 3; ++i) {
        table.on_call_started("a", {"pool", "", "", {}}, begin);
        table.on_call_ended("a", call_result::failed, milliseconds(5), begin);
    }
    ASSERT_EQ(choose(table, begin), "");
    endpoint.started_at_ms = 500;
    table.update({endpoint}, begin);
    ASSERT_EQ(choose(table, begin), "") << "an earlier start time is no restart";
    endpoint.started_at_ms = 9000;
    table.update({endpoint}, begin);
    EXPECT_EQ(choose(table, begin), "a");
}

// Requests for a release on trial go to few endpoints, so that these carry their usual load. If each host
// chose its own, all endpoints would be used.
TEST(endpoint_table, a_share_of_the_endpoints_is_the_same_on_every_host) {
    endpoint_table one = make_table();
    endpoint_table other{load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "endpoint"), 77};
    std::vector<endpoint_record> endpoints;
    for (int i = 0; i < 9; ++i) {
        endpoints.push_back({"e" + std::to_string(i), "", "d", "pool", "live", "v2"});
    }
    one.update(endpoints, begin);
    std::reverse(endpoints.begin(), endpoints.end());
    other.update(endpoints, begin);
    endpoint_criteria criteria{"pool", "", "", {}, "v2"};
    criteria.endpoint_share = 0.1;
    const std::vector<endpoint_record> chosen = one.eligible(criteria, begin);
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_EQ(chosen, other.eligible(criteria, begin));
    criteria.avoided = {chosen.front().name};
    ASSERT_EQ(one.eligible(criteria, begin).size(), 1U)
        << "an endpoint that has failed is replaced by another";
}

// A release of 96 endpoints is on trial, and 295 hosts of six domains send their trial requests to the same
// endpoint without knowing each other's load. It would be slow only for that reason, and a good release would
// be braked.
TEST(endpoint_table, a_trial_on_a_large_fleet_has_an_endpoint_in_each_domain) {
    const auto kept = [](int endpoints, int domains) {
        endpoint_table table = make_table();
        std::vector<endpoint_record> records;
        for (int i = 0; i < endpoints; ++i) {
            records.push_back({"e" + std::to_string(i), "10.0.0.1:1", "d" + std::to_string(i % domains),
                               "pool", "live", "v2"});
        }
        table.update(records, time_point{});
        endpoint_criteria criteria;
        criteria.pool = "pool";
        criteria.endpoint_share = 0.01;
        std::multiset<std::string> used;
        for (const endpoint_record& record : table.eligible(criteria, time_point{})) {
            used.insert(record.domain);
        }
        return used;
    };
    const std::multiset<std::string> large = kept(96, 6);
    EXPECT_EQ(large, (std::multiset<std::string>{"d0", "d1", "d2", "d3", "d4", "d5"}));
    EXPECT_EQ(kept(9, 4).size(), 1U)
        << "on a small fleet one endpoint suffices, so that it carries its usual load";
}

} // namespace laurelhoist
