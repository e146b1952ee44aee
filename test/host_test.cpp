#include "host/host.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

// Guards against a kill for too much memory of which no log shows that the memory had grown.
TEST(memory_watch, each_level_is_reported_once_until_the_memory_has_fallen) {
    memory_watch watch(1000);
    EXPECT_EQ(watch.note(590), std::nullopt);
    EXPECT_EQ(watch.note(610), 60);
    EXPECT_EQ(watch.note(740), std::nullopt);
    EXPECT_EQ(watch.note(950), 90);
    EXPECT_EQ(watch.note(850), std::nullopt);
    EXPECT_EQ(watch.note(910), std::nullopt);
    EXPECT_EQ(watch.note(400), std::nullopt);
    EXPECT_EQ(watch.note(760), 75);
    EXPECT_EQ(memory_watch(0).note(1 << 30), std::nullopt);
}

// A field that is missing from the encoding, or shares its code with another field, would be lost in transit.
TEST(peer_messages, every_kind_of_message_is_decoded_as_it_was_encoded) {
    gossip_message gossip;
    host_status status;
    status.name = "h1";
    status.beat = 12;
    gossip.statuses = {status};
    host_status cut_off = status;
    cut_off.lost_pools = {"chats", "claims"};
    gossip.load = {{"e1", 4000, 3}};
    gossip.counts = {{"pool", "v2", "drafts", 10, 1, 2}};
    gossip.rollouts = {{"pool", "v2", 1200, true, 0.05, true}};
    gossip.beats = encode_heartbeats({{4'000'000'001U, 65'535, 129}});
    gossip.refused = {{"e2", 300}};
    gossip.crashes = {{77, {{5, 400, 300}}, -1}};
    gossip.paces = {{4'000'000'001U, 240, 6}};
    const peer_message messages[] = {gossip,
                                     freshness_question{77},
                                     freshness_answer{77, 40, 1500},
                                     copy_notice{1, 2, 3, 4, true},
                                     load_update{"h1", {{"e1", 4000, 3}}},
                                     session_update{{{"pool", 77, 120}}},
                                     count_update{"h1/3", {{"pool", "v2", "drafts", 10, 1, 2}}},
                                     refusal_update{{{"e1", 40}}},
                                     report_handover{"pool", "v2", rollout_state::completed, 41},
                                     crash_update{{{0xf000'0000'0000'0001U, {{9, 20, 10}}, 50}}},
                                     status_update{cut_off},
                                     forwarded_message{std::string("\0\xff a", 4)}};
    for (const peer_message& message : messages) {
        const std::optional<peer_message> decoded = decode_peer_message(encode_peer_message(message));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, message);
    }
}

// Guards against an exception in the event loop when a peer sends a malformed copy: fields that are missing,
// of another type, or nested deeply.
TEST(peer_messages, a_malformed_copy_is_rejected) {
    peer_copy copy;
    copy.revision = 7;
    copy.names = {"e1"};
    copy.objects = {{"e1", 7, {{"address", "10.0.0.1:80"}}, nullptr}};
    copy.releases = {{"pool", {{"v1", 3}}}};
    const std::string bytes = encode_peer_copy(copy);
    const outcome<peer_copy> decoded = decode_peer_copy(bytes);
    ASSERT_NE(value_of(decoded), nullptr);
    EXPECT_EQ(*value_of(decoded), copy);
    for (const char* text : {"[]", "7", R"({"names":7})", R"({"objects":[7]})", R"({"names":[{}]})",
                             R"({"objects":[{"name":[]}]})", R"({"releases":[1]})", R"({"grace_ms":"x"})"}) {
        std::string malformed;
        json::to_cbor(json::parse(text), malformed);
        EXPECT_NE(error_of(decode_peer_copy(malformed)), nullptr) << text;
    }
    EXPECT_NE(error_of(decode_peer_copy(bytes.substr(0, bytes.size() / 2))), nullptr);
}

std::string repeated(const std::string& bytes, std::size_t times) {
    std::string all;
    for (std::size_t i = 0; i < times; ++i) {
        all += bytes;
    }
    return all;
}

/// Starts of arrays, objects, texts and byte strings, with a length, without one, or behind a tag.
const std::vector<std::string>& nesting_bytes() {
    static const std::vector<std::string> all = {"\x81",      "\x9f",      "\x7f",     "\x5f",        "\xc1",
                                                 "\xa1\x61k", "\xbf\x61k", "\xbf\x7f", "\xd8\x18\x81"};
    return all;
}

// Guards against a datagram or a copy of a peer that is nested so deep that reading it exhausts the stack.
TEST(peer_messages, deep_bytes_are_rejected) {
    for (const std::size_t depth : {33U, 65'000U, 2'000'000U}) {
        for (const std::string& start : nesting_bytes()) {
            const std::string bytes = repeated(start, depth);
            EXPECT_FALSE(decode_peer_message(bytes));
            EXPECT_FALSE(decode_peer_message("\x82" + std::string(1, '\0') + bytes));
            EXPECT_NE(error_of(decode_peer_copy(bytes)), nullptr);
        }
    }
    const std::string whole = "\x82" + std::string(1, '\0') + repeated("\x81", 65'000) + std::string(1, '\0');
    EXPECT_FALSE(decode_peer_message(whole));
}

// Guards against memory that is reserved for a length which a peer declares and does not send.
TEST(peer_messages, lengths_beyond_the_bytes_are_rejected) {
    for (const char* start : {"\x9b", "\xbb", "\x7b", "\x5b"}) {
        for (const char* length : {"\xff\xff\xff\xff\xff\xff\xff\xff", "\x7f\xff\xff\xff\xff\xff\xff\xff",
                                   "\x01\x01\x01\x01\x01\x01\x01\x01"}) {
            const std::string bytes = std::string(start) + length + "abc";
            EXPECT_FALSE(decode_peer_message(bytes));
            EXPECT_FALSE(decode_peer_message("\x82\x01" + bytes));
            EXPECT_NE(error_of(decode_peer_copy(bytes)), nullptr);
        }
    }
}

// What a host reads of the store, as deep as it may be, must reach its peers.
TEST(peer_messages, a_copy_holds_objects_as_deep_as_the_store_gives_them) {
    json deep = 1;
    for (std::size_t i = 0; i < max_foreign_depth; ++i) {
        deep = json::array({deep});
    }
    peer_copy copy;
    copy.names = {"e1"};
    copy.objects = {{"e1", 7, {{"deep", deep}}, nullptr}};
    const outcome<peer_copy> decoded = decode_peer_copy(encode_peer_copy(copy));
    ASSERT_NE(value_of(decoded), nullptr);
    EXPECT_EQ(*value_of(decoded), copy);
}

// A copy that is cut off or altered at any place must not end the process.
RC_GTEST_PROP(peer_messages, arbitrary_copies_are_decoded_or_rejected, (const std::string& bytes)) {
    (void)decode_peer_copy(bytes);
}

// A datagram of more than two packets is lost more often, because the loss of any one packet loses all of it.
TEST(peer_messages, a_usual_message_fits_two_packets) {
    gossip_message message;
    for (int i = 0; i < 7; ++i) {
        host_status status;
        status.name = "front-osk-hall1-" + std::to_string(i);
        status.gossip_address = "10.1.0.40:7340";
        status.entry_address = "10.1.0.40:8227";
        status.domain = "osk-hall1";
        status.incarnation = 1783180167117;
        status.beat = 1000;
        message.statuses.push_back(status);
    }
    constexpr std::size_t two_packets = 2800;
    EXPECT_LT(encode_peer_message(message).size(), two_packets);
}

// Load pattern: eight hosts place seven long prompts a second each and send a load update to all others for
// each. With every endpoint in every message, under full field names, these updates made up a fifth of the
// bytes between failure domains.
TEST(peer_messages, a_load_update_of_one_endpoint_is_small) {
    const load_update message{"front-osk-hall1-1", {{"i-7f3a91c2d4", 320, 5}}};
    constexpr std::size_t one_entry = 80;
    EXPECT_LT(encode_peer_message(message).size(), one_entry);
}

// Guards against rounds whose loads, paces and rates of teams take a host more than 6 KB/s.
TEST(peer_messages, a_full_round_of_loads_paces_and_usage_is_bounded) {
    constexpr double rounds_per_second = 7.5;
    constexpr std::size_t paces = 4;
    gossip_message message;
    const std::size_t empty = encode_peer_message(message).size();
    for (std::size_t i = 0; i < max_loads_per_round; ++i) {
        message.load.push_back({"i-7f3a91c2d" + std::to_string(i), 320, 5});
    }
    for (std::size_t i = 0; i < paces; ++i) {
        message.paces.push_back({0xf000'0000U, 240, 12});
    }
    for (std::size_t i = 0; i < team_usage::max_samples; ++i) {
        message.usage.push_back({"team-" + std::to_string(100 + i), 300});
    }
    const std::size_t added = encode_peer_message(message).size() - empty;
    EXPECT_LT(static_cast<double>(added) * rounds_per_second, 6'000.0);
    RecordProperty("bytes", static_cast<int>(added));
}

// A host of a later release may send fields that this one does not know; the known ones must still be
// decoded.
TEST(peer_messages, a_field_without_a_code_is_sent_under_its_name) {
    json unknown = {{"n", "h1"}, {"a_field_of_later", 7}};
    std::string bytes;
    json::to_cbor(json::array({0, {{"s", json::array({unknown})}}}), bytes);
    const std::optional<peer_message> decoded = decode_peer_message(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<gossip_message>(*decoded).statuses.front().name, "h1");
}

// Any process that reaches the port can send arbitrary bytes. Decoding them must neither fail with an
// exception nor crash.
RC_GTEST_PROP(peer_messages, arbitrary_bytes_are_decoded_or_rejected, (const std::string& bytes)) {
    quiet_log();
    (void)decode_peer_message(bytes);
}

} // namespace
} // namespace laurelhoist
