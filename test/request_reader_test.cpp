// What a reader of requests holds of odd ones, and what it makes of them.
#include "work_growth.h"

#include "transport/transport.h"

#include <gtest/gtest.h>

namespace laurelhoist {
namespace {

using progress = request_reader::progress;

constexpr std::size_t header_bytes = 4096;
constexpr std::size_t body_bytes = 1 << 20;
const std::string first_lines = "POST /a/ HTTP/1.1\r\nHost: x\r\n";
const std::string chunked_head = first_lines + "Transfer-Encoding: chunked\r\n\r\n";

/** A part of a request that goes on in pieces of a few bytes. */
struct endless_part {
    const char* name;
    std::string begin;
    std::string again;
};

class endless_requests : public ::testing::TestWithParam<endless_part> {};

INSTANTIATE_TEST_SUITE_P(all, endless_requests,
                         ::testing::Values(endless_part{"lines", first_lines, "a:\r\n"},
                                           endless_part{"line", first_lines + "A: ", "xx"},
                                           endless_part{"target", "GET /", "xx"},
                                           endless_part{"empty_lines", "", "\r\n"},
                                           endless_part{"chunk_size", chunked_head, "00"},
                                           endless_part{"chunk_extension", chunked_head + "1;", "ee"},
                                           endless_part{"trailers", chunked_head + "0\r\n", "a:\r\n"}),
                         [](const auto& each) { return std::string(each.param.name); });

// A part that arrives in pieces has no limit, and the host holds all of it.
TEST_P(endless_requests, are_refused_at_the_limit) {
    request_reader reader(header_bytes, body_bytes);
    reader.feed(GetParam().begin);
    std::size_t fed = 0;
    progress made = reader.advance();
    for (; made == progress::needs_more && fed <= 4 * header_bytes; fed += GetParam().again.size()) {
        reader.feed(GetParam().again);
        made = reader.advance();
    }
    EXPECT_EQ(made, progress::header_too_large);
    EXPECT_LE(fed, header_bytes + first_lines.size() + GetParam().again.size());
}

// Short fields take many times their bytes, and a crowd of small heads all of the host's memory.
TEST(request_reader, holds_no_more_than_has_arrived) {
    request_reader reader(header_bytes, body_bytes);
    std::string head = first_lines;
    while (head.size() < header_bytes - 100) {
        head += "a:\r\n";
    }
    head += "Content-Length: 9\r\n\r\n";
    reader.feed(head);
    EXPECT_EQ(reader.advance(), progress::needs_more);
    EXPECT_LE(reader.holding().head_bytes, head.size());
}

// A legal request behind an empty line, as some clients send it after a body, is refused (RFC 9112, 2.2).
TEST(request_reader, empty_lines_before_a_request_are_skipped) {
    const std::string request = "\r\n\r\nGET /n/ HTTP/1.1\r\n\r\n";
    for (std::size_t cut = 0; cut <= request.size(); ++cut) {
        request_reader reader(header_bytes, body_bytes);
        reader.feed(request.substr(0, cut));
        if (reader.advance() == progress::needs_more) {
            reader.feed(request.substr(cut));
        }
        ASSERT_EQ(reader.advance(), progress::complete) << cut;
        EXPECT_EQ(reader.take().target, "/n/");
    }
}

// An empty line behind a request counts as the begin of another, and the idle caller is told to hurry.
TEST(request_reader, an_empty_line_is_no_part_of_a_request) {
    request_reader reader(header_bytes, body_bytes);
    reader.feed("GET /n/ HTTP/1.1\r\n\r\n\r\n");
    ASSERT_EQ(reader.advance(), progress::complete);
    reader.take();
    EXPECT_EQ(reader.advance(), progress::needs_more);
    EXPECT_FALSE(reader.has_partial_request());
}

// A field of a trailer is taken for one of the head, as the key or the team of the caller.
TEST(request_reader, trailers_are_no_header_fields) {
    request_reader reader(header_bytes, body_bytes);
    reader.feed(chunked_head + "3\r\nabc\r\n0\r\nKey: of another\r\n\r\n");
    ASSERT_EQ(reader.advance(), progress::complete);
    const received_request request = reader.take();
    EXPECT_EQ(request.headers.find("Key"), nullptr);
    EXPECT_EQ(request.body, "abc");
}

// Fields keep their order, spelling and values when they are unpacked.
TEST(packed_header_list, keeps_the_fields) {
    packed_header_list packed;
    packed.add("A", "1:2");
    packed.add("b", "");
    packed.add("A", "3");
    const header_list headers = packed.unpack();
    ASSERT_EQ(headers.all().size(), 3U);
    EXPECT_EQ(headers.all()[0].value, "1:2");
    EXPECT_EQ(headers.all()[1].name, "b");
    EXPECT_EQ(headers.all()[1].value, "");
    EXPECT_EQ(headers.all()[2].value, "3");
}

// A field that a second Connection field names is forwarded.
TEST(hop_by_hop_fields, are_those_of_all_connection_fields) {
    header_list headers;
    headers.add("Connection", "keep-alive, One");
    headers.add("connection", "tWo");
    const hop_by_hop_fields hop_by_hop(headers);
    for (const char* name : {"one", "Two", "TE", "Keep-Alive"}) {
        EXPECT_TRUE(hop_by_hop.contains(name)) << name;
    }
    EXPECT_FALSE(hop_by_hop.contains("three"));
}

// The work for one request grows with the square of its fields, and a crowd of them keeps a host from others.
TEST(hop_by_hop_fields, are_found_in_work_that_grows_with_the_fields) {
    const auto find_in = [](std::size_t fields) {
        header_list headers;
        for (std::size_t i = 0; i < fields; ++i) {
            headers.add(i % 2 == 0 ? "a" : "Connection", "b" + std::to_string(i));
        }
        const hop_by_hop_fields hop_by_hop(headers);
        std::size_t found = 0;
        for (const header_field& field : headers.all()) {
            found += hop_by_hop.contains(field.name) ? 1 : 0;
        }
        EXPECT_EQ(found, fields / 2);
    };
    EXPECT_LT(growth_at_four_times(2000, find_in), max_linear_growth);
}

} // namespace
} // namespace laurelhoist
