// Tests of the bytes that wait for a connection, in blocks.
#include "relay/byte_blocks.h"

#include "byte_text.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace laurelhoist {
namespace {

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

// Guards against bytes that are lost, repeated or reordered where one sequence is appended to another.
TEST(byte_blocks, a_sequence_is_appended_to_another) {
    for (const std::size_t first_bytes : {std::size_t{0}, std::size_t{5}, byte_blocks::block_bytes + 3}) {
        for (const std::size_t second_bytes :
             {std::size_t{0}, std::size_t{7}, 3 * byte_blocks::block_bytes + 1}) {
            for (const std::size_t taken : {std::size_t{0}, second_bytes / 2, second_bytes}) {
                const std::string text = varied_bytes(second_bytes);
                byte_blocks first;
                byte_blocks second;
                first.append(varied_bytes(first_bytes));
                second.append(text);
                second.drop_front(taken);
                first.splice(second);
                first.append("end");
                EXPECT_EQ(content_of(first), varied_bytes(first_bytes) + text.substr(taken) + "end");
                EXPECT_TRUE(second.empty());
                second.append("again");
                EXPECT_EQ(content_of(second), "again");
                first.drop_front(first_bytes + second_bytes - taken);
                EXPECT_EQ(content_of(first), "end");
            }
        }
    }
}

// Guards against a long answer that is held twice while it is handed on.
TEST(byte_blocks, a_long_sequence_is_moved_and_not_copied) {
    byte_blocks from;
    from.append(varied_bytes(4 * byte_blocks::block_bytes));
    const char* const address = from.front(1).front().data();
    byte_blocks to;
    to.append("head");
    to.splice(from);
    EXPECT_EQ(to.front(2).back().data(), address);
    EXPECT_EQ(from.memory(), 0U);
}

// Guards against memory of several times the bytes that are held, which no account shows.
TEST(byte_blocks, takes_little_more_memory_than_its_bytes) {
    for (const std::size_t step : {std::size_t{1}, std::size_t{8192}, std::size_t{1} << 20}) {
        byte_blocks blocks;
        const std::string piece = varied_bytes(step);
        while (blocks.size() < std::min<std::size_t>(3 << 20, 200'000 * step)) {
            blocks.append(piece);
            ASSERT_LE(blocks.memory(), std::max<std::size_t>(32, 2 * blocks.size()));
            ASSERT_LE(blocks.memory(), blocks.size() + byte_blocks::block_bytes);
        }
        while (!blocks.empty()) {
            blocks.drop_front(10007);
            ASSERT_LE(blocks.memory(), blocks.size() + 2 * byte_blocks::block_bytes);
        }
    }
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
