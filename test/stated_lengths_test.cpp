// Lengths that endpoints and callers state of bodies of which nearly nothing has arrived.
#include "address_space.h"
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

constexpr int messages = 4;
constexpr std::int64_t stated_bytes = 1'000'000'000;
constexpr std::int64_t allowed_bytes = std::int64_t{64} << 20;

std::string length_field() {
    return "Content-Length: " + std::to_string(stated_bytes) + "\r\n\r\n";
}

// Guards against a host that runs out of memory, where its address space is limited, because an endpoint
// states a length of a gigabyte.
TEST(stated_length, of_an_answer_sets_no_memory_aside) {
    const std::int64_t before = address_space_bytes();
    std::vector<answer_reader> readers;
    std::string body;
    for (int i = 0; i < messages; ++i) {
        readers.emplace_back(false);
        ASSERT_TRUE(readers.back().feed("HTTP/1.1 200 OK\r\n" + length_field() + "a", body));
        EXPECT_FALSE(readers.back().is_complete());
    }
    EXPECT_EQ(body, "aaaa");
    EXPECT_LT(address_space_bytes() - before, allowed_bytes);
}

// Guards against the same by callers, where the configuration allows long bodies.
TEST(stated_length, of_a_request_sets_no_memory_aside) {
    constexpr std::size_t header_bytes = 16 << 10;
    const std::int64_t before = address_space_bytes();
    std::vector<request_reader> readers;
    for (int i = 0; i < messages; ++i) {
        readers.emplace_back(header_bytes, std::size_t{stated_bytes});
        readers.back().feed("POST / HTTP/1.1\r\nHost: h\r\n" + length_field() + "a");
        EXPECT_EQ(readers.back().advance(), request_reader::progress::needs_more);
        EXPECT_EQ(readers.back().holding().body_bytes, 1U);
    }
    EXPECT_LT(address_space_bytes() - before, allowed_bytes);
}

// Guards against a length beyond the limit being taken.
TEST(stated_length, beyond_the_limit_is_refused) {
    constexpr std::size_t limit = 1000;
    request_reader request(limit, limit);
    request.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
    EXPECT_EQ(request.advance(), request_reader::progress::body_too_large);
    answer_reader answer(false);
    std::string body;
    EXPECT_FALSE(answer.feed("HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n", body));
}

} // namespace
} // namespace laurelhoist
