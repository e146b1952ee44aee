#include "host/host.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

TEST(peer_messages, every_kind_survives_its_way) {
    gossip_message news;
    host_status status;
    status.name = "h1";
    status.beat = 12;
    news.statuses = {status};
    news.load = {{"e1", 4000, 3}};
    news.counts = {{"pool", "v2", "drafts", 10, 1, 2}};
    news.rollouts = {{"pool", "v2", 1200, true, 0.05, true}};
    news.beats = encode_heartbeats({{4'000'000'001U, 65'535, 129}});
    news.refused = {{"e2", 300}};
    news.crashes = {{77, {{5, 400, 300}}, -1}};
    const peer_message messages[] = {news,
                                     freshness_question{77},
                                     freshness_answer{77, 40, 1500},
                                     copy_notice{1, 2, 3, 4},
                                     load_update{"h1", {{"e1", 4000, 3}}},
                                     session_update{{{"pool", 77, 120}}},
                                     count_update{"h1/3", {{"pool", "v2", "drafts", 10, 1, 2}}},
                                     refusal_update{{{"e1", 40}}},
                                     report_handover{"pool", "v2", rollout_state::completed, 41},
                                     crash_update{{{0xf000'0000'0000'0001U, {{9, 20, 10}}, 50}}}};
    for (const peer_message& message : messages) {
        const std::optional<peer_message> decoded = decode_peer_message(encode_peer_message(message));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, message);
    }
}

TEST(peer_messages, a_usual_message_fits_two_packets) {
    gossip_message news;
    for (int i = 0; i < 7; ++i) {
        host_status status;
        status.name = "front-osk-hall1-" + std::to_string(i);
        status.gossip_address = "10.1.0.40:7340";
        status.entry_address = "10.1.0.40:8227";
        status.domain = "osk-hall1";
        status.incarnation = 1783180167117;
        status.beat = 1000;
        news.statuses.push_back(status);
    }
    constexpr std::size_t two_packets = 2800;
    EXPECT_LT(encode_peer_message(news).size(), two_packets);
}

// Load pattern: eight hosts place seven long prompts a second each and tell all others of each. With every
// endpoint in every message, by name, these were a fifth of the bytes between failure domains.
TEST(peer_messages, news_of_one_endpoint_are_small) {
    const load_update news{"front-osk-hall1-1", {{"i-7f3a91c2d4", 320, 5}}};
    constexpr std::size_t one_entry = 80;
    EXPECT_LT(encode_peer_message(news).size(), one_entry);
}

TEST(peer_messages, a_field_without_a_code_goes_by_its_name) {
    json unknown = {{"n", "h1"}, {"a_field_of_later", 7}};
    std::string bytes;
    json::to_cbor(json::array({0, {{"s", json::array({unknown})}}}), bytes);
    const std::optional<peer_message> decoded = decode_peer_message(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<gossip_message>(*decoded).statuses.front().name, "h1");
}

// Anybody who reaches the port can send anything.
RC_GTEST_PROP(peer_messages, any_bytes_are_a_message_or_nothing, (const std::string& bytes)) {
    quiet_log();
    (void)decode_peer_message(bytes);
}

} // namespace
} // namespace laurelhoist
