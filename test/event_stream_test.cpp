// Event streams that keep a host busy.
#include "relay/event_stream.h"

#include "byte_text.h"
#include "work_growth.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

/** Feeds a joiner \p bytes of one event that does not end, in small pieces that consist of \p line. */
void feed_endless_event(std::size_t bytes, const std::string& line) {
    event_joiner joiner(0);
    byte_blocks out;
    for (std::size_t fed = 0; fed < bytes; fed += line.size()) {
        joiner.feed(line, out);
    }
    EXPECT_TRUE(out.empty());
    EXPECT_GE(joiner.partial_bytes(), bytes);
}

// An endpoint sends one event without an end in small packets, and the host searches all of it with each of
// them, until it serves nobody else.
TEST(event_stream, an_event_without_an_end_costs_as_much_as_its_bytes) {
    for (const std::string line :
         {"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", "data: xxxxxxxxxxxxxxxxxxxxxxxxx\n", "data: xxxxx\r\n"}) {
        EXPECT_LT(growth_at_four_times(64 << 10, [&](std::size_t bytes) { feed_endless_event(bytes, line); }),
                  max_linear_growth)
            << line;
    }
}

// An endpoint sends a packet of very short events, and the host searches the rest of the packet for each.
TEST(event_stream, many_short_events_in_one_packet_cost_as_much_as_their_bytes) {
    const auto feed_short_events = [](std::size_t bytes) {
        const std::string short_event = "a\n\n";
        std::string packet;
        while (packet.size() < bytes) {
            packet += short_event;
        }
        event_joiner joiner(0);
        byte_blocks out;
        joiner.feed(packet, out);
        EXPECT_EQ(out.size(), packet.size());
    };
    EXPECT_LT(growth_at_four_times(64 << 10, feed_short_events), max_linear_growth);
}

// The end of an event is not found, or found in the wrong place, because it comes in two packets.
TEST(event_stream, the_end_of_an_event_is_found_wherever_it_is_divided) {
    for (const std::string event :
         {"data: 1\n\n", "data: 1\r\n\r\n", "a\r\n\n", "\n\n", "\r\n\r\n", "\r\n\n"}) {
        const std::string text = event + "data: 2\n";
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            event_joiner joiner(0);
            byte_blocks out;
            joiner.feed(text.substr(0, cut), out);
            joiner.feed(text.substr(cut), out);
            EXPECT_EQ(content_of(out), event) << "cut at " << cut;
        }
    }
}

} // namespace
} // namespace laurelhoist
