// Tests of the bytes that wait for a connection, in blocks.
#include "relay/byte_blocks.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

/** \return all bytes of \p blocks. */
std::string content_of(const byte_blocks& blocks) {
    std::string all;
    for (const std::string_view part : blocks.front(blocks.size() + 1)) {
        all += part;
    }
    return all;
}

/** \return \p count bytes that differ from their neighbours. */
std::string varied_bytes(std::size_t count) {
    std::string bytes;
    for (std::size_t i = 0; i < count; ++i) {
        bytes += static_cast<char>('a' + i % 23);
    }
    return bytes;
}

// Guards against bytes that are lost, repeated or reordered where blocks meet.
TEST(byte_blocks, bytes_leave_in_the_order_in_which_they_came) {
    const std::string expected = varied_bytes(3 * byte_blocks::block_bytes + 17);
    for (const std::size_t step : {std::size_t{1000}, byte_blocks::block_bytes, expected.size()}) {
        byte_blocks blocks;
        for (std::size_t at = 0; at < expected.size(); at += step) {
            blocks.append(expected.substr(at, step));
        }
        for (std::size_t taken = 0; taken < expected.size(); taken += 7001) {
            ASSERT_EQ(blocks.size(), expected.size() - taken);
            ASSERT_EQ(content_of(blocks), expected.substr(taken)) << taken << " taken, step " << step;
            blocks.drop_front(7001);
        }
        EXPECT_TRUE(blocks.empty());
        EXPECT_TRUE(blocks.front(1).empty());
    }
}

// Guards against bytes that come after all before them were taken, and appear behind some of those.
TEST(byte_blocks, an_empty_sequence_can_be_used_again) {
    byte_blocks blocks;
    for (const std::size_t bytes : {std::size_t{5}, byte_blocks::block_bytes, byte_blocks::block_bytes + 1}) {
        const std::string expected = varied_bytes(bytes);
        blocks.append(expected);
        EXPECT_EQ(content_of(blocks), expected);
        blocks.drop_front(bytes);
        EXPECT_TRUE(blocks.empty());
    }
    blocks.append("abc");
    blocks.drop_front(1);
    blocks.append("d");
    EXPECT_EQ(content_of(blocks), "bcd");
    blocks.clear();
    EXPECT_TRUE(blocks.empty());
    blocks.append("e");
    EXPECT_EQ(content_of(blocks), "e");
}

// Guards against one write of more parts than were asked for, and against a part that is empty, which would
// be taken for the end.
TEST(byte_blocks, the_front_has_at_most_as_many_parts_as_asked_for) {
    byte_blocks blocks;
    blocks.append(varied_bytes(4 * byte_blocks::block_bytes));
    EXPECT_EQ(blocks.front(2).size(), 2U);
    blocks.drop_front(byte_blocks::block_bytes);
    ASSERT_EQ(blocks.front(2).size(), 2U);
    EXPECT_EQ(blocks.front(2).front().size(), byte_blocks::block_bytes);
    blocks.drop_front(3 * byte_blocks::block_bytes - 1);
    ASSERT_EQ(blocks.front(2).size(), 1U);
    EXPECT_EQ(blocks.front(2).front().size(), 1U);
}

// Guards against the counts of two sequences that stay behind when their bytes change places.
TEST(byte_blocks, sequences_change_places) {
    byte_blocks first;
    byte_blocks second;
    first.append("first");
    first.drop_front(2);
    first.swap(second);
    EXPECT_TRUE(first.empty());
    EXPECT_EQ(content_of(second), "rst");
    first.append("new");
    EXPECT_EQ(content_of(first), "new");
}

} // namespace
} // namespace laurelhoist
