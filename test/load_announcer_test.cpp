// Tests of the loads that hosts tell one another, and of what that does to the choice of endpoints.
#include "placement/placement.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

constexpr int endpoint_count = 40;
const target_model model{"large", {0.03, 1}};

std::string name_of(int endpoint) {
    return "e" + std::to_string(10 + endpoint);
}

/** A host with a directory of \ref endpoint_count equal endpoints. */
struct reporting_host {
    explicit reporting_host(std::uint64_t seed)
        : directory{load_chart_or_exit(LAUREL_SOURCE_DIR "/charts", "endpoint"), seed, "hall1"} {
        std::vector<endpoint_record> records;
        for (int i = 0; i < endpoint_count; ++i) {
            records.push_back({name_of(i), "10.0.0.1:" + std::to_string(9000 + i), "hall1", "pool"});
        }
        directory.update(records, now);
        directory.set_slots("pool", 48, 1);
    }
    /** Places a chat, whose prompt shares nothing with others, and lets it run. */
    std::string place(std::uint64_t own) {
        endpoint_criteria criteria;
        criteria.pool = "pool";
        const prompt_shape prompt{800, {own}, {800}};
        const auto chosen = directory.choose(criteria, prompt, model, now);
        directory.on_sent(*chosen, prompt, criteria, now);
        directory.on_first_byte(*chosen);
        return chosen->endpoint.name;
    }
    endpoint_directory directory;
    load_announcer announcer;
    time_point now = time_point{} + seconds(100);
};

// Guards against endpoints with late names looking idle, because a message names the first ones by name.
TEST(load_announcer, the_last_names_of_forty_are_known_to_the_other_host) {
    reporting_host near{1};
    load_by_endpoint far;
    for (int i = 0; i < endpoint_count; ++i) {
        far[name_of(i)] = {100.0, i + 1};
    }
    load_announcer announcer;
    near.directory.set_round_load("far", announcer.next_round(far), near.now);
    const std::string last = name_of(endpoint_count - 1);
    EXPECT_EQ(near.directory.backlog_ms(last), 100.0 + endpoint_count * running_stream_ms);
    const int rounds_for_all = endpoint_count / static_cast<int>(max_loads_per_round) + 3;
    for (int round = 0; round < rounds_for_all; ++round) {
        near.directory.set_round_load("far", announcer.next_round(far), near.now);
    }
    for (int i = 0; i < endpoint_count; ++i) {
        EXPECT_EQ(near.directory.backlog_ms(name_of(i)), 100.0 + (i + 1) * running_stream_ms) << i;
    }
}

// Guards against load that has ended and counts for ever, because no round says so.
TEST(load_announcer, load_that_is_no_longer_named_ends) {
    reporting_host near{1};
    load_by_endpoint far;
    for (int i = 0; i < endpoint_count; ++i) {
        far[name_of(i)] = {100.0, 0};
    }
    load_announcer announcer;
    (void)announcer.take_changes({{name_of(0), {100.0, 0}}});
    near.directory.update_peer_load("far", far, near.now);
    far.erase(name_of(0));
    for (int round = 0; round < 20; ++round) {
        near.now += milliseconds(400);
        near.directory.set_round_load("far", announcer.next_round(far), near.now);
    }
    EXPECT_EQ(near.directory.backlog_ms(name_of(0)), 0.0);
    EXPECT_EQ(near.directory.backlog_ms(name_of(1)), 100.0);
    EXPECT_EQ(announcer.take_changes({}), (load_by_endpoint{{name_of(0), {}}}));
    EXPECT_TRUE(announcer.take_changes({}).empty());
}

// Guards against ended load that full rounds never name again: it ends with the next round, and load that is
// named neither as ended nor in turn within 2 s.
TEST(load_announcer, ended_load_ends_with_the_next_full_round) {
    reporting_host near{1};
    load_by_endpoint far;
    for (int i = 0; i < endpoint_count; ++i) {
        far[name_of(i)] = {100.0 + i, 1};
    }
    load_announcer announcer;
    const std::string last = name_of(endpoint_count - 1);
    near.directory.set_round_load("far", announcer.next_round(far), near.now);
    ASSERT_GT(near.directory.backlog_ms(last), 0.0);
    far.erase(last);
    near.now += milliseconds(400);
    const load_by_endpoint round = announcer.next_round(far);
    EXPECT_EQ(round.size(), max_loads_per_round);
    near.directory.set_round_load("far", round, near.now);
    EXPECT_EQ(near.directory.backlog_ms(last), 0.0);
    near.directory.update_peer_load("far", {{last, {500, 1}}}, near.now);
    for (int i = 0; i < 5; ++i) {
        near.now += milliseconds(400);
        near.directory.set_round_load("far", announcer.next_round(far), near.now);
    }
    (void)announcer.next_round(far);
    EXPECT_EQ(announcer.next_round(far).count(last), 0U) << "it is named as ended twice only";
    EXPECT_EQ(near.directory.backlog_ms(last), 0.0);
}

// Guards against messages that grow with the number of endpoints, and against changes that a full message
// leaves out for good.
TEST(load_announcer, messages_are_bounded_and_changes_are_sent_in_the_end) {
    load_by_endpoint own;
    for (int i = 0; i < 120; ++i) {
        own["e" + std::to_string(i)] = {10.0 + i, 1};
    }
    load_announcer announcer;
    EXPECT_EQ(announcer.next_round(own).size(), max_loads_per_round);
    load_by_endpoint sent;
    const std::size_t messages_for_all = (own.size() + max_loads_per_update - 1) / max_loads_per_update;
    for (std::size_t message = 0; message < messages_for_all; ++message) {
        const load_by_endpoint changes = announcer.take_changes(own);
        EXPECT_LE(changes.size(), max_loads_per_update);
        sent.insert(changes.begin(), changes.end());
    }
    EXPECT_EQ(sent, own);
}

// Guards against the load of the busiest endpoint: two hosts that place streams at forty equal endpoints and
// hear of one another in each round keep it within 1.2 times the mean.
TEST(load_announcer, two_hosts_share_equal_endpoints_evenly) {
    reporting_host hosts[] = {reporting_host{1}, reporting_host{2}};
    std::map<std::string, int> streams;
    constexpr int rounds = 100;
    constexpr int streams_per_round = 4;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < 2; ++i) {
            for (int k = 0; k < streams_per_round; ++k) {
                const auto own = static_cast<std::uint64_t>(round * 100 + k * 2) + i + 1;
                ++streams[hosts[i].place(own)];
            }
            hosts[1 - i].directory.set_round_load(
                std::to_string(i), hosts[i].announcer.next_round(hosts[i].directory.own_load()),
                hosts[i].now);
        }
    }
    const double mean = 2.0 * rounds * streams_per_round / endpoint_count;
    for (const auto& [endpoint, count] : streams) {
        EXPECT_LE(count, 1.2 * mean) << endpoint;
    }
}

} // namespace
} // namespace laurelhoist
