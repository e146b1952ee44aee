// Numbers in the messages of peers at, and beyond, the limits of their types.
#include "host/peer_messages.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace laurelhoist {
namespace {

constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
constexpr double no_number = std::numeric_limits<double>::quiet_NaN();
constexpr double endless = std::numeric_limits<double>::infinity();

/** \return the datagram of a message of \p kind with the fields \p body, as another program may write it. */
std::string message_bytes(std::size_t kind, const json& body) {
    std::string bytes;
    json::to_cbor(json::array({kind, body}), bytes);
    return bytes;
}

bool is_read(std::size_t kind, const json& body) {
    return decode_peer_message(message_bytes(kind, body)).has_value();
}

bool is_read(const peer_message& message) {
    return decode_peer_message(encode_peer_message(message)).has_value();
}

gossip_message gossip_of(std::int64_t incarnation, std::int64_t beat) {
    host_status status;
    status.name = "h1";
    status.incarnation = incarnation;
    status.beat = beat;
    gossip_message message;
    message.statuses = {status};
    return message;
}

// Guards against a host whose incarnation, or what it holds of a peer's heartbeat, overflows when it is
// raised by one.
TEST(peer_numbers, an_incarnation_or_heartbeat_at_the_limit_of_its_type_is_refused) {
    EXPECT_TRUE(is_read(gossip_of(1'783'180'167'117, 12)));
    EXPECT_TRUE(is_read(gossip_of(max_incarnation, max_beat)));
    for (const std::int64_t number : {highest, lowest}) {
        EXPECT_FALSE(is_read(gossip_of(number, 12))) << number;
        EXPECT_FALSE(is_read(gossip_of(12, number))) << number;
    }
}

// Guards against a host that believes for the rest of its life that its copies are older than those of
// others, as no later revision is higher.
TEST(peer_numbers, a_revision_that_none_can_follow_is_refused) {
    EXPECT_TRUE(is_read(copy_notice{41, 42, 43, 44, false, 41}));
    EXPECT_FALSE(is_read(copy_notice{highest}));
    EXPECT_FALSE(is_read(copy_notice{1, highest}));
    EXPECT_FALSE(is_read(copy_notice{1, 2, highest}));
    EXPECT_FALSE(is_read(copy_notice{1, 2, 3, highest}));
    EXPECT_FALSE(is_read(copy_notice{1, 2, 3, 4, true, highest}));
    EXPECT_FALSE(is_read(freshness_answer{1, highest, 0}));
    EXPECT_FALSE(is_read(report_handover{"pool", "v2", rollout_state::completed, lowest}));
}

// Guards against a withdrawn key that a host admits for ever, as a confirmation of the future is never old.
TEST(peer_numbers, a_confirmation_of_the_future_is_refused) {
    EXPECT_TRUE(is_read(freshness_answer{77, 40, 0}));
    EXPECT_TRUE(is_read(freshness_answer{77, 40, 3'000'000}));
    EXPECT_FALSE(is_read(freshness_answer{77, 40, -1}));
    EXPECT_FALSE(is_read(freshness_answer{77, 40, lowest}));
    EXPECT_FALSE(is_read(freshness_answer{77, 40, highest}));
}

// Guards against a host that takes an endpoint for idle or full because the sum over its peers overflows.
TEST(peer_numbers, loads_whose_sum_overflows_are_refused) {
    EXPECT_TRUE(is_read(load_update{"h1", {{"e1", 4000, 3}}}));
    EXPECT_FALSE(is_read(load_update{"h1", {{"e1", 4000, std::numeric_limits<int>::max()}}}));
    EXPECT_FALSE(is_read(load_update{"h1", {{"e1", 4000, std::numeric_limits<int>::min()}}}));
    EXPECT_FALSE(is_read(load_update{"h1", {{"e1", highest, 3}}}));
}

// Guards against a roll-out that is decided on counts whose sums have overflowed.
TEST(peer_numbers, counts_whose_sum_overflows_are_refused) {
    release_counts counts{"pool", "v2", "drafts", 10, 1, 2};
    counts.tallies = {{4'000'000'001U, 7, 8}};
    counts.time_classes = {1, 2, 3};
    EXPECT_TRUE(is_read(count_update{"h1/3", {counts}}));
    const auto is_read_with = [&](const auto& change) {
        release_counts changed = counts;
        change(changed);
        return is_read(count_update{"h1/3", {changed}});
    };
    EXPECT_FALSE(is_read_with([](release_counts& each) { each.good = highest; }));
    EXPECT_FALSE(is_read_with([](release_counts& each) { each.bad = -1; }));
    EXPECT_FALSE(is_read_with([](release_counts& each) { each.running = lowest; }));
    EXPECT_FALSE(is_read_with([](release_counts& each) { each.tallies[0].bad = highest; }));
    EXPECT_FALSE(is_read_with([](release_counts& each) { each.time_classes[2] = highest; }));
    EXPECT_FALSE(is_read_with([](release_counts& each) { each.times = {{"pool", "r", 12.5, highest}}; }));
}

// Guards against a host that ends, or decides at random, as means that are no numbers have no order.
TEST(peer_numbers, means_and_shares_that_are_no_numbers_are_refused) {
    const auto with_mean = [](double mean) {
        release_counts counts{"pool", "", "", 0, 0, 0};
        counts.times = {{"pool", "r", mean, 9}};
        return count_update{"h1/3", {counts}};
    };
    EXPECT_TRUE(is_read(with_mean(12.5)));
    EXPECT_TRUE(is_read(with_mean(0)));
    for (const double mean : {no_number, endless, -endless, -1.0, 1e300}) {
        EXPECT_FALSE(is_read(with_mean(mean))) << mean;
    }
    for (const double share : {no_number, endless, -1.0, 2.0}) {
        gossip_message message;
        message.rollouts = {{"pool", "v2", 1200, true, share, true}};
        EXPECT_FALSE(is_read(message)) << share;
        message.rollouts = {{"pool", "v2", 1200, true, 0.05, true, false, false, {}, share}};
        EXPECT_FALSE(is_read(message)) << share;
    }
}

// Guards against hosts of different processors that read different numbers: a double out of the range of the
// integer that it is converted to.
TEST(peer_numbers, fractions_in_place_of_integers_are_refused) {
    constexpr std::size_t copies = 3;
    constexpr std::size_t loads = 4;
    EXPECT_TRUE(is_read(copies, {{"config_revision", 7}}));
    EXPECT_TRUE(is_read(copies, {{"v", 7}}));
    EXPECT_TRUE(is_read(copies, {{"a_field_of_a_later_release", 1e300}}));
    for (const json& number : {json(1e300), json(-1e300), json(no_number), json(7.0)}) {
        EXPECT_FALSE(is_read(copies, {{"config_revision", number}})) << number;
        EXPECT_FALSE(is_read(copies, {{"v", number}})) << number;
        EXPECT_FALSE(is_read(loads, {{"load", {{{"endpoint", "e1"}, {"running", number}}}}})) << number;
    }
    EXPECT_FALSE(is_read(copies, {{"v", std::numeric_limits<std::uint64_t>::max()}}));
}

// Guards against hashes being refused, which use all of their type.
TEST(peer_numbers, hashes_of_any_value_are_read) {
    constexpr auto highest_hash = std::numeric_limits<std::uint64_t>::max();
    EXPECT_TRUE(is_read(session_update{{{"pool", highest_hash, 120}}}));
    EXPECT_TRUE(is_read(crash_update{{{highest_hash, {{4'294'967'295U, 400, 300, 4'294'967'295U}}, -1}}}));
    EXPECT_TRUE(is_read(limit_update{{{4'294'967'295U, -1, 5, 5}, {1, 1e300, 5, 5}}}));
    EXPECT_FALSE(is_read(limit_update{{{1, endless, 5, 5}}}));
}

outcome<peer_copy> read_copy(const json& copy) {
    std::string bytes;
    json::to_cbor(copy, bytes);
    return decode_peer_copy(bytes);
}

// Guards against the same in the copy of the store's objects, whose contents are bounded where they are
// decoded.
TEST(peer_numbers, a_copy_with_numbers_out_of_range_is_refused) {
    const json object = {{"name", "e1"}, {"revision", 3}, {"spec", {{"any", 1e300}}}, {"status", 1e300}};
    const json copy = {{"revision", 12},
                       {"grace_ms", 1500.5},
                       {"division", {{{"pool", "p"}, {"domain", "d"}, {"parts", 4}}}},
                       {"releases", {{"p", {{"v1", 12}}}}},
                       {"departure_revision", 11},
                       {"names", {"e1"}},
                       {"objects", {object}}};
    ASSERT_NE(value_of(read_copy(copy)), nullptr);
    const auto is_refused = [&](const char* field, const json& value) {
        json changed = copy;
        changed[json::json_pointer(field)] = value;
        return error_of(read_copy(changed)) != nullptr;
    };
    for (const json& number : {json(highest), json(-1), json(1e300), json(no_number)}) {
        EXPECT_TRUE(is_refused("/revision", number)) << number;
        EXPECT_TRUE(is_refused("/departure_revision", number)) << number;
        EXPECT_TRUE(is_refused("/objects/0/revision", number)) << number;
        EXPECT_TRUE(is_refused("/releases/p/v1", number)) << number;
        EXPECT_TRUE(is_refused("/division/0/parts", number)) << number;
    }
    EXPECT_TRUE(is_refused("/grace_ms", no_number));
    EXPECT_TRUE(is_refused("/grace_ms", -1));
}

} // namespace
} // namespace laurelhoist
