#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

const target_model large{"large", {0.03, 1}};
const target_model small{"small", {0.003, 1}};

chart endpoint_chart() {
    return load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "endpoint");
}

std::vector<endpoint_record> engines(int count) {
    std::vector<endpoint_record> records;
    for (int i = 0; i < count; ++i) {
        const std::string name = "e" + std::to_string(i);
        records.push_back({name, "10.0.0.1:" + std::to_string(9000 + i), i % 2 == 0 ? "hall1" : "hall2",
                           "pool", "live", "v1"});
    }
    return records;
}

prompt_shape prompt(std::uint64_t subject, std::uint64_t own, std::int64_t tokens) {
    return {tokens, {1, subject, own}, {500, tokens / 2, tokens / 4}};
}

endpoint_criteria criteria_for(const std::string& service) {
    endpoint_criteria criteria;
    criteria.pool = service;
    return criteria;
}

struct directory_fixture {
    directory_fixture() : directory{endpoint_chart(), 7, "hall1"} {
        directory.update(engines(6), now);
        directory.set_slots("pool", 32, 1);
    }
    placement send(const prompt_shape& shape, const target_model& model = large) {
        const auto chosen = directory.choose(criteria_for("pool"), shape, model, now);
        EXPECT_TRUE(chosen);
        directory.on_sent(*chosen, shape, criteria_for("pool"), now);
        return *chosen;
    }
    endpoint_directory directory;
    time_point now = time_point{} + seconds(100);
};

// Guards against a shared part being read at several engines.
TEST(endpoint_directory, prompts_with_a_common_part_go_to_the_same_endpoint) {
    directory_fixture fixture;
    const placement first = fixture.send(prompt(42, 1, 8000));
    fixture.directory.on_first_byte(first);
    const placement second = fixture.send(prompt(42, 2, 8000));
    EXPECT_EQ(second.endpoint.name, first.endpoint.name);
    EXPECT_LT(second.unread_tokens, first.unread_tokens + 1);
}

// Guards against an engine being chosen for the parts that its earlier process had cached. After a restart it
// has to read them again, although another engine has them in its cache.
TEST(endpoint_directory, a_restarted_engine_has_an_empty_cache) {
    directory_fixture fixture;
    std::vector<endpoint_record> records = engines(6);
    for (endpoint_record& record : records) {
        record.started_at_ms = 1000;
    }
    fixture.directory.update(records, fixture.now);
    const placement first = fixture.send(prompt(42, 1, 8000));
    fixture.directory.on_ended(first, false, call_result::answered, milliseconds(100), fixture.now);
    const std::int64_t kept = fixture.send(prompt(42, 1, 8000)).unread_tokens;
    for (endpoint_record& record : records) {
        record.started_at_ms = 9000;
    }
    EXPECT_EQ(fixture.directory.restarted_among(records).size(), records.size());
    fixture.directory.update(records, fixture.now);
    EXPECT_TRUE(fixture.directory.restarted_among(records).empty());
    EXPECT_GT(fixture.send(prompt(42, 1, 8000)).unread_tokens, kept);
}

// Guards against parts that only the small model has read at an engine counting as cached for the large one:
// a draft that steps up from the small model to the large one then waits twice as long as predicted.
TEST(endpoint_directory, a_part_read_by_another_model_is_read_again) {
    directory_fixture fixture;
    fixture.directory.update(engines(1), fixture.now);
    const prompt_shape own{8000, {1}, {8000}};
    EXPECT_EQ(fixture.send(own, small).unread_tokens, 8000);
    EXPECT_EQ(fixture.send(own, large).unread_tokens, 8000);
    EXPECT_EQ(fixture.send(own, large).unread_tokens, 1);
}

// Guards against a single home for a small shared part in a large fleet. Hosts there prefer their own domain,
// so three domains in four would read the part repeatedly at whichever engine is idle.
TEST(endpoint_directory, each_domain_of_a_large_fleet_has_a_home_of_its_own) {
    std::set<std::string> homes;
    for (const char* domain : {"hall1", "hall2"}) {
        std::set<std::string> used;
        for (std::uint64_t host = 0; host < 4; ++host) {
            endpoint_directory directory(endpoint_chart(), host, domain);
            directory.update(engines(8), time_point{} + seconds(100));
            directory.prefer_own_domain(true);
            const auto chosen = directory.choose(criteria_for("pool"), prompt(42, host, 2000), large,
                                                 time_point{} + seconds(100));
            EXPECT_EQ(chosen->endpoint.domain, domain);
            used.insert(chosen->endpoint.name);
        }
        EXPECT_EQ(used.size(), 1U);
        homes.insert(used.begin(), used.end());
    }
    EXPECT_EQ(homes.size(), 2U);
}

// Guards against a home in each domain for a large shared part. 1,200 documents of 4,900 tokens, each
// requested seven times a minute by hosts of all six domains, would be read again nearly every time instead
// of once.
TEST(endpoint_directory, a_long_shared_part_has_one_home_in_a_large_fleet) {
    std::set<std::string> homes;
    for (const char* domain : {"hall1", "hall2"}) {
        endpoint_directory directory(endpoint_chart(), 3, domain);
        directory.update(engines(8), time_point{} + seconds(100));
        directory.prefer_own_domain(true);
        const auto chosen =
            directory.choose(criteria_for("pool"), prompt(42, 1, 8000), large, time_point{} + seconds(100));
        homes.insert(chosen->endpoint.name);
    }
    EXPECT_EQ(homes.size(), 1U);
}

// Guards against a shared part being read at another engine because of a small difference in load. The small
// model reads a part of 4,000 tokens in 12 ms, less than that difference; each engine of a large fleet would
// read every part and evict others for it.
TEST(endpoint_directory, a_small_load_does_not_move_a_shared_part) {
    directory_fixture fixture;
    const placement first = fixture.send(prompt(42, 1, 8000), small);
    load_by_endpoint load;
    load[first.endpoint.name] = {0, 20};
    fixture.directory.set_peer_load("other", load, fixture.now);
    EXPECT_EQ(fixture.send(prompt(42, 2, 8000), small).endpoint.name, first.endpoint.name);
}

// Guards against a queue at a busy home. A team sends many requests with the same shared part; if all wait at
// the endpoint that has cached it, callers wait seconds for the first token while other endpoints are idle.
TEST(endpoint_directory, a_busy_home_is_passed_over) {
    directory_fixture fixture;
    std::set<std::string> used;
    for (std::uint64_t own = 1; own <= 12; ++own) {
        used.insert(fixture.send(prompt(42, own, 8000)).endpoint.name);
    }
    EXPECT_GT(used.size(), 2U);
}

// Guards against a backlog for the large model being counted in tokens at the small model's cost. 50,000
// tokens then look negligible, and a chat waits half a second for a first token that is predicted within 10
// ms.
TEST(endpoint_directory, the_backlog_of_a_large_model_counts_at_its_own_cost) {
    directory_fixture fixture;
    fixture.directory.update(engines(1), fixture.now);
    fixture.send(prompt(42, 1, 50'000));
    const placement chat = fixture.send(prompt(7, 2, 800), small);
    EXPECT_GT(chat.predicted_ms, 700);
}

// Guards against requests being sent to an endpoint that other hosts keep busy, and against the load of a
// host that has stopped counting for ever.
TEST(endpoint_directory, load_of_peers_counts) {
    directory_fixture fixture;
    const auto alone =
        fixture.directory.choose(criteria_for("pool"), prompt(42, 1, 8000), large, fixture.now);
    load_by_endpoint load;
    load[alone->endpoint.name] = {6'000, 20};
    fixture.directory.set_peer_load("other", load, fixture.now);
    const auto beside =
        fixture.directory.choose(criteria_for("pool"), prompt(42, 1, 8000), large, fixture.now);
    EXPECT_NE(beside->endpoint.name, alone->endpoint.name);
    const time_point later = fixture.now + seconds(5);
    const auto after = fixture.directory.choose(criteria_for("pool"), prompt(42, 1, 8000), large, later);
    EXPECT_EQ(after->endpoint.name, alone->endpoint.name)
        << "the load of a host that is no longer heard of expires";
}

// Guards against announcements of loads that change no choice, which on a fleet of 985 hosts took each of
// them a tenth of its processor time, and against silence about an engine that is really busy.
TEST(endpoint_directory, only_a_backlog_is_announced_to_many_hosts) {
    EXPECT_EQ(min_announced_backlog_ms(18), 0.0) << "a domain of a fleet of 75 hosts";
    constexpr std::size_t large_domain = 163;
    constexpr double usual_request_ms = 60;
    constexpr double burst_backlog_ms = 400;
    EXPECT_GT(min_announced_backlog_ms(large_domain), usual_request_ms);
    EXPECT_LT(min_announced_backlog_ms(large_domain), burst_backlog_ms);
}

// Guards against the loss of load that a peer does not repeat. Hosts send only changed loads; the others stay
// until the peer has been silent for so long that none of its load counts.
TEST(endpoint_directory, unmentioned_load_of_peers_stays) {
    directory_fixture fixture;
    load_by_endpoint busy;
    for (const endpoint_record& engine : engines(6)) {
        if (engine.name != "e4") {
            busy[engine.name] = {5000, 0};
        }
    }
    fixture.directory.set_peer_load("other", busy, fixture.now);
    fixture.directory.update_peer_load("other", {{"e3", {4000, 0}}}, fixture.now);
    EXPECT_EQ(
        fixture.directory.choose(criteria_for("pool"), prompt(1, 2, 8000), large, fixture.now)->endpoint.name,
        "e4");
    fixture.directory.update_peer_load("other", {{"e4", {9000, 0}}, {"e3", {0, 0}}}, fixture.now);
    EXPECT_EQ(
        fixture.directory.choose(criteria_for("pool"), prompt(1, 2, 8000), large, fixture.now)->endpoint.name,
        "e3");
    const time_point later = fixture.now + seconds(3);
    fixture.directory.update_peer_load("other", {{"e3", {9000, 0}}}, later);
    EXPECT_NE(fixture.directory.choose(criteria_for("pool"), prompt(1, 2, 8000), large, later)->endpoint.name,
              "e3")
        << "a load that was sent three seconds ago no longer counts";
}

// Guards against prompts crossing to another domain for an advantage of a few ms. When engines of all domains
// are about equally busy, the predicted best one changes all the time, and two in three prompts would cross.
TEST(endpoint_directory, a_small_advantage_does_not_leave_the_domain) {
    directory_fixture fixture;
    load_by_endpoint load;
    for (const endpoint_record& engine : engines(6)) {
        load[engine.name] = {engine.domain == "hall1" ? 20.0 : 0.0, 0};
    }
    const prompt_shape alone{800, {77}, {800}};
    fixture.directory.set_peer_load("other", load, fixture.now);
    EXPECT_EQ(fixture.directory.choose(criteria_for("pool"), alone, small, fixture.now)->endpoint.domain,
              "hall1");
    for (auto& [name, each] : load) {
        each.reading_ms *= 10;
    }
    fixture.directory.set_peer_load("other", load, fixture.now);
    EXPECT_EQ(fixture.directory.choose(criteria_for("pool"), alone, small, fixture.now)->endpoint.domain,
              "hall2");
}

// Guards against requests being sent to a release that they must not go to.
TEST(endpoint_directory, an_unwanted_release_gets_nothing) {
    directory_fixture fixture;
    std::vector<endpoint_record> records = engines(4);
    records[1].release = "v2";
    fixture.directory.update(records, fixture.now);
    endpoint_criteria criteria = criteria_for("pool");
    criteria.excluded_release = "v1";
    EXPECT_EQ(fixture.directory.choose(criteria, prompt(1, 2, 900), large, fixture.now)->endpoint.name, "e1");
    criteria.excluded_release = "v2";
    criteria.release = "v1";
    EXPECT_NE(fixture.directory.choose(criteria, prompt(1, 2, 900), large, fixture.now)->endpoint.name, "e1");
}

// Guards against a wrong backlog share. Chats wait for a third of the long prompts ahead of them: with a
// share of 1 they leave the engine that has cached their shared part, with a share of 0 they queue up there.
TEST(first_event_estimate, learns_the_costs_of_each_model) {
    first_event_estimate estimate;
    random_source random(5);
    const auto between = [&random](std::uint64_t most) { return static_cast<double>(random.below(most)); };
    for (int i = 0; i < 400; ++i) {
        const double tokens = 600 + between(10'000);
        const double backlog = i % 2 == 0 ? 0 : between(600);
        const double noise = between(10);
        estimate.observe("small", 0, {tokens, backlog, tokens * 0.009 + backlog * 0.33 + noise});
        estimate.observe("large", 2, {tokens, backlog, tokens * 0.038 + backlog * 0.95 + noise});
    }
    EXPECT_NEAR(estimate.costs("small", 0).read_ms_per_token, 0.009, 0.002);
    EXPECT_NEAR(estimate.costs("small", 0).backlog_share, 0.33, 0.05);
    EXPECT_NEAR(estimate.costs("large", 2).read_ms_per_token, 0.038, 0.004);
    EXPECT_NEAR(estimate.costs("large", 2).backlog_share, 0.95, 0.1);
}

// Guards against a model counting as slow on all engines because one engine hangs and answers in ten seconds.
TEST(first_event_estimate, a_failing_engine_hardly_changes_the_estimate) {
    first_event_estimate estimate;
    for (int i = 0; i < 200; ++i) {
        const bool hangs = i % 18 == 0;
        estimate.observe("small", 0, {5'000, 0, hangs ? 10'000.0 : 45.0});
    }
    EXPECT_LT(estimate.costs("small", 0).read_ms_per_token, 0.009 * 1.5);
}

// Guards against an undefined estimate for a model without answers, or with a rank beyond the initial costs.
TEST(first_event_estimate, starts_with_the_initial_costs) {
    EXPECT_EQ(first_event_estimate().costs("new", 2).read_ms_per_token, 0.03);
    EXPECT_EQ(first_event_estimate().costs("new", 7).read_ms_per_token, 0.03);
    EXPECT_EQ(first_event_estimate().costs("new", 0).backlog_share, 1);
}

// Guards against load that is added and never removed, which would make an endpoint look busy for ever.
RC_GTEST_PROP(endpoint_directory, ended_attempts_leave_no_load, ()) {
    directory_fixture fixture;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, bool>>>(
        rc::gen::arbitrary<std::pair<std::uint8_t, bool>>());
    std::vector<std::pair<placement, bool>> open;
    for (const auto& [subject, has_first_byte] : steps) {
        const prompt_shape shape =
            subject % 5 == 0 ? prompt_shape{} : prompt(subject, subject + 1U, 700 + subject);
        const auto chosen = fixture.directory.choose(criteria_for("pool"), shape, large, fixture.now);
        if (!chosen) {
            break;
        }
        fixture.directory.on_sent(*chosen, shape, criteria_for("pool"), fixture.now);
        if (has_first_byte) {
            fixture.directory.on_first_byte(*chosen);
        }
        open.emplace_back(*chosen, has_first_byte);
    }
    for (const auto& [chosen, had_first_byte] : open) {
        fixture.directory.on_ended(chosen, had_first_byte, call_result::answered, milliseconds(50),
                                   fixture.now);
    }
    RC_ASSERT(fixture.directory.own_load().empty());
}

} // namespace
} // namespace laurelhoist
