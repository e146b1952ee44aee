#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

const model_demand large{"large", {0.03, 1}};
const model_demand small{"small", {0.003, 1}};

chart endpoint_life() {
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

endpoint_criteria wish_for(const std::string& service) {
    endpoint_criteria wish;
    wish.pool = service;
    return wish;
}

struct directory_fixture {
    directory_fixture() : directory{endpoint_life(), 7, "hall1"} {
        directory.update(engines(6), now);
        directory.set_slots("pool", 32, 1);
    }
    placement send(const prompt_shape& shape, const model_demand& model = large) {
        const auto chosen = directory.choose(wish_for("pool"), shape, model, now);
        EXPECT_TRUE(chosen);
        directory.on_sent(*chosen, shape, wish_for("pool"), now);
        return *chosen;
    }
    endpoint_directory directory;
    time_point now = time_point{} + seconds(100);
};

TEST(endpoint_directory, prompts_about_one_subject_go_where_it_was_read) {
    directory_fixture fixture;
    const placement first = fixture.send(prompt(42, 1, 8000));
    fixture.directory.on_first_byte(first);
    const placement second = fixture.send(prompt(42, 2, 8000));
    EXPECT_EQ(second.endpoint.name, first.endpoint.name);
    EXPECT_LT(second.unread_tokens, first.unread_tokens + 1);
}

// An engine starts again under its name with an empty memory. Chosen for what its earlier process had read,
// it reads everything again while an engine that does hold the part stands beside it.
TEST(endpoint_directory, a_restarted_engine_holds_nothing) {
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

// A draft is stepped up from the small model to the large one and waits twice as long as predicted: the parts
// that only the small model had read at an engine were taken for read by the large one as well.
TEST(endpoint_directory, what_another_model_has_read_is_read_again) {
    directory_fixture fixture;
    fixture.directory.update(engines(1), fixture.now);
    const prompt_shape own{8000, {1}, {8000}};
    EXPECT_EQ(fixture.send(own, small).unread_tokens, 8000);
    EXPECT_EQ(fixture.send(own, large).unread_tokens, 8000);
    EXPECT_EQ(fixture.send(own, large).unread_tokens, 1);
}

// On a large fleet hosts keep to their own domain; with one home in the whole fleet, three domains in four
// read a shared part at whichever engine was idle, again and again.
TEST(endpoint_directory, each_domain_of_a_large_fleet_has_a_home_of_its_own) {
    std::set<std::string> homes;
    for (const char* domain : {"hall1", "hall2"}) {
        std::set<std::string> used;
        for (std::uint64_t host = 0; host < 4; ++host) {
            endpoint_directory directory(endpoint_life(), host, domain);
            directory.update(engines(8), time_point{} + seconds(100));
            directory.prefer_own_domain(true);
            const auto chosen = directory.choose(wish_for("pool"), prompt(42, host, 2000), large,
                                                 time_point{} + seconds(100));
            EXPECT_EQ(chosen->endpoint.domain, domain);
            used.insert(chosen->endpoint.name);
        }
        EXPECT_EQ(used.size(), 1U);
        homes.insert(used.begin(), used.end());
    }
    EXPECT_EQ(homes.size(), 2U);
}

// 1,200 documents of 4,900 tokens, each asked for seven times a minute by hosts of all six domains. With a
// home in each domain they were read again nearly every time; with one in the fleet, once.
TEST(endpoint_directory, a_long_shared_part_has_one_home_in_a_large_fleet) {
    std::set<std::string> homes;
    for (const char* domain : {"hall1", "hall2"}) {
        endpoint_directory directory(endpoint_life(), 3, domain);
        directory.update(engines(8), time_point{} + seconds(100));
        directory.prefer_own_domain(true);
        const auto chosen =
            directory.choose(wish_for("pool"), prompt(42, 1, 8000), large, time_point{} + seconds(100));
        homes.insert(chosen->endpoint.name);
    }
    EXPECT_EQ(homes.size(), 1U);
}

// The small model reads a shared part of 4,000 tokens in 12 ms, less than the difference in load between two
// engines. Each engine of a large fleet came to read every part, and yielded others for it.
TEST(endpoint_directory, a_little_load_does_not_scatter_a_shared_part) {
    directory_fixture fixture;
    const placement first = fixture.send(prompt(42, 1, 8000), small);
    load_by_endpoint load;
    load[first.endpoint.name] = {0, 20};
    fixture.directory.set_peer_load("other", load, fixture.now);
    EXPECT_EQ(fixture.send(prompt(42, 2, 8000), small).endpoint.name, first.endpoint.name);
}

// A team sends many requests about one subject. All would queue at the endpoint that has read it, each behind
// the whole prompts of those before, while the others stand idle: callers wait seconds for the first token.
TEST(endpoint_directory, a_busy_home_is_passed_over) {
    directory_fixture fixture;
    std::set<std::string> used;
    for (std::uint64_t own = 1; own <= 12; ++own) {
        used.insert(fixture.send(prompt(42, own, 8000)).endpoint.name);
    }
    EXPECT_GT(used.size(), 2U);
}

// Chats wait half a second for a first token that was predicted within 10 ms. Each engine reads long prompts
// for the large model; counted in tokens and priced as the small model's, 50,000 of them looked like nothing.
TEST(endpoint_directory, what_a_large_model_has_to_read_counts_in_its_own_time) {
    directory_fixture fixture;
    fixture.directory.update(engines(1), fixture.now);
    fixture.send(prompt(42, 1, 50'000));
    const placement chat = fixture.send(prompt(7, 2, 800), small);
    EXPECT_GT(chat.predicted_ms, 700);
}

TEST(endpoint_directory, what_peers_have_sent_counts) {
    directory_fixture fixture;
    const auto alone = fixture.directory.choose(wish_for("pool"), prompt(42, 1, 8000), large, fixture.now);
    load_by_endpoint load;
    load[alone->endpoint.name] = {6'000, 20};
    fixture.directory.set_peer_load("other", load, fixture.now);
    const auto beside = fixture.directory.choose(wish_for("pool"), prompt(42, 1, 8000), large, fixture.now);
    EXPECT_NE(beside->endpoint.name, alone->endpoint.name);
    const time_point later = fixture.now + seconds(5);
    const auto after = fixture.directory.choose(wish_for("pool"), prompt(42, 1, 8000), large, later);
    EXPECT_EQ(after->endpoint.name, alone->endpoint.name)
        << "the load of a host that fell silent is forgotten";
}

// Hosts tell only what has changed. What a peer does not mention stays as it was, until it has been silent
// for so long that nothing of it counts.
TEST(endpoint_directory, what_peers_do_not_mention_stays) {
    directory_fixture fixture;
    load_by_endpoint busy;
    for (const endpoint_record& engine : engines(6)) {
        if (engine.name != "e4") {
            busy[engine.name] = {5000, 0};
        }
    }
    fixture.directory.set_peer_load("other", busy, fixture.now);
    fixture.directory.change_peer_load("other", {{"e3", {4000, 0}}}, fixture.now);
    EXPECT_EQ(
        fixture.directory.choose(wish_for("pool"), prompt(1, 2, 8000), large, fixture.now)->endpoint.name,
        "e4");
    fixture.directory.change_peer_load("other", {{"e4", {9000, 0}}, {"e3", {0, 0}}}, fixture.now);
    EXPECT_EQ(
        fixture.directory.choose(wish_for("pool"), prompt(1, 2, 8000), large, fixture.now)->endpoint.name,
        "e3");
    const time_point later = fixture.now + seconds(3);
    fixture.directory.change_peer_load("other", {{"e3", {9000, 0}}}, later);
    EXPECT_NE(fixture.directory.choose(wish_for("pool"), prompt(1, 2, 8000), large, later)->endpoint.name,
              "e3")
        << "what was said three seconds ago counts no more";
}

// Load pattern: engines of all domains are about equally busy, and which one is predicted to be sooner
// changes from moment to moment. Taken at its word, two in three prompts crossed to another domain for a few
// ms.
TEST(endpoint_directory, a_few_ms_are_no_reason_to_leave_the_domain) {
    directory_fixture fixture;
    load_by_endpoint load;
    for (const endpoint_record& engine : engines(6)) {
        load[engine.name] = {engine.domain == "hall1" ? 20.0 : 0.0, 0};
    }
    const prompt_shape alone{800, {77}, {800}};
    fixture.directory.set_peer_load("other", load, fixture.now);
    EXPECT_EQ(fixture.directory.choose(wish_for("pool"), alone, small, fixture.now)->endpoint.domain,
              "hall1");
    for (auto& [name, each] : load) {
        each.reading_ms *= 10;
    }
    fixture.directory.set_peer_load("other", load, fixture.now);
    EXPECT_EQ(fixture.directory.choose(wish_for("pool"), alone, small, fixture.now)->endpoint.domain,
              "hall2");
}

TEST(endpoint_directory, an_unwanted_release_gets_nothing) {
    directory_fixture fixture;
    std::vector<endpoint_record> records = engines(4);
    records[1].release = "v2";
    fixture.directory.update(records, fixture.now);
    endpoint_criteria wish = wish_for("pool");
    wish.excluded_release = "v1";
    EXPECT_EQ(fixture.directory.choose(wish, prompt(1, 2, 900), large, fixture.now)->endpoint.name, "e1");
    wish.excluded_release = "v2";
    wish.release = "v1";
    EXPECT_NE(fixture.directory.choose(wish, prompt(1, 2, 900), large, fixture.now)->endpoint.name, "e1");
}

// Chats wait for a third of the long prompts ahead of them. Taken to wait for all of it, they leave the
// engine that has read their shared part; taken to wait for none, they pile up there.
TEST(first_event_estimate, learns_what_each_model_waits_for) {
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

// One engine hangs and its answers take ten seconds. The model must not count as slow everywhere for it.
TEST(first_event_estimate, a_failing_engine_says_little_of_the_model) {
    first_event_estimate estimate;
    for (int i = 0; i < 200; ++i) {
        const bool hangs = i % 18 == 0;
        estimate.observe("small", 0, {5'000, 0, hangs ? 10'000.0 : 45.0});
    }
    EXPECT_LT(estimate.costs("small", 0).read_ms_per_token, 0.009 * 1.5);
}

TEST(first_event_estimate, begins_with_what_such_models_usually_need) {
    EXPECT_EQ(first_event_estimate().costs("new", 2).read_ms_per_token, 0.03);
    EXPECT_EQ(first_event_estimate().costs("new", 7).read_ms_per_token, 0.03);
    EXPECT_EQ(first_event_estimate().costs("new", 0).backlog_share, 1);
}

// Load that is counted up and never down would make an endpoint look busy for ever.
RC_GTEST_PROP(endpoint_directory, nothing_is_left_of_attempts_that_have_ended, ()) {
    directory_fixture fixture;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, bool>>>(
        rc::gen::arbitrary<std::pair<std::uint8_t, bool>>());
    std::vector<std::pair<placement, bool>> open;
    for (const auto& [subject, has_first_byte] : steps) {
        const prompt_shape shape =
            subject % 5 == 0 ? prompt_shape{} : prompt(subject, subject + 1U, 700 + subject);
        const auto chosen = fixture.directory.choose(wish_for("pool"), shape, large, fixture.now);
        if (!chosen) {
            break;
        }
        fixture.directory.on_sent(*chosen, shape, wish_for("pool"), fixture.now);
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
