// Requests and answers whose framing arrives in many small pieces and keeps a host busy.
#include "relay/http_codec.h"

#include "work_growth.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

/// Bytes of which each piece is one, behind a beginning.
struct trickle {
    const char* name;
    std::string begin;
    std::string again;
};

const std::string chunked_answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunked_request = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

class reading_work : public ::testing::TestWithParam<trickle> {};
class reading_work_of_answers : public reading_work {};
class reading_work_of_requests : public reading_work {};

INSTANTIATE_TEST_SUITE_P(all, reading_work_of_answers,
                         ::testing::Values(trickle{"header_field", "HTTP/1.1 200 OK\r\nA: ", "xx"},
                                           trickle{"chunk_extension", chunked_answer + "1;", "xx"},
                                           trickle{"trailer_field", chunked_answer + "0\r\nA: ", "xx"},
                                           trickle{"trailer_fields", chunked_answer + "0\r\n", "A: x\r\n"},
                                           trickle{"small_chunks", chunked_answer, "1\r\nx\r\n"}),
                         [](const auto& each) { return std::string(each.param.name); });
INSTANTIATE_TEST_SUITE_P(all, reading_work_of_requests,
                         ::testing::Values(trickle{"header_field", "GET / HTTP/1.1\r\nA: ", "xx"},
                                           trickle{"chunk_extension", chunked_request + "1;", "xx"},
                                           trickle{"trailer_field", chunked_request + "0\r\nA: ", "xx"},
                                           trickle{"trailer_fields", chunked_request + "0\r\n", "A: x\r\n"},
                                           trickle{"small_chunks", chunked_request, "1\r\nx\r\n"}),
                         [](const auto& each) { return std::string(each.param.name); });

// An endpoint sends the framing of an answer in tiny packets, and the host reads all of it with each.
TEST_P(reading_work_of_answers, grows_with_the_bytes) {
    const auto read = [](std::size_t bytes) {
        answer_reader reader(false);
        std::string body;
        reader.feed(GetParam().begin, body);
        for (std::size_t fed = 0; fed < bytes; fed += GetParam().again.size()) {
            if (!reader.feed(GetParam().again, body)) {
                return; // Refused.
            }
        }
    };
    EXPECT_LT(growth_at_four_times(8 << 10, read), max_linear_growth);
}

// A caller sends the framing of a request in tiny packets, and the host reads all of it with each.
TEST_P(reading_work_of_requests, grows_with_the_bytes) {
    const auto read = [](std::size_t bytes) {
        constexpr std::size_t limit = 1 << 20;
        request_reader reader(limit, limit);
        reader.feed(GetParam().begin);
        for (std::size_t fed = 0; fed < bytes; fed += GetParam().again.size()) {
            reader.feed(GetParam().again);
            const request_reader::progress made = reader.advance();
            if (made != request_reader::progress::needs_more) {
                return; // Refused.
            }
        }
    };
    EXPECT_LT(growth_at_four_times(8 << 10, read), max_linear_growth);
}

} // namespace
} // namespace laurelhoist
