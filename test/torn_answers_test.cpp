// Answers whose endpoint stops in the middle of the head or of the framing.
#include "relay_fixture.h"

#include <rapidcheck/gtest.h>

#include <tuple>

namespace laurelhoist {
namespace {

std::string framed(const std::string& fields, const std::string& rest) {
    return "HTTP/1.1 200 OK\r\nId: 7\r\nReceipt: r\r\n" + fields + "\r\n" + rest;
}

const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string early_hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";
const std::string chunks_with_trailer = "5;a=b\r\nwhole\r\n5\r\n body\r\n0\r\nLate: 1\r\nLater: 2\r\n\r\n";

/// Answers that say where they end.
const std::vector<std::string> framed_answers = {
    framed("Content-Length: 10\r\n", "whole body"),
    framed("Content-Length: 10\r\nContent-Length: 10\r\n", "whole body"),
    framed("Content-Length: 0\r\n", ""),
    framed("Transfer-Encoding: chunked\r\n", "a\r\nwhole body\r\n0\r\n\r\n"),
    framed("Transfer-Encoding: chunked\r\n", chunks_with_trailer),
    interim + framed("Content-Length: 10\r\n", "whole body"),
    interim + early_hints + framed("Transfer-Encoding: chunked\r\n", chunks_with_trailer),
    "HTTP/1.1 204 No Content\r\nId: 7\r\nReceipt: r\r\n\r\n",
    "HTTP/1.0 200 OK\r\nId: 7\r\nReceipt: r\r\nContent-Length: 10\r\n\r\nwhole body",
};

/// Heads that a recipient cannot rely on for the end of the answer.
const std::vector<std::string> ambiguous_answers = {
    framed("Content-Length: 10\r\nContent-Length: 5\r\n", "whole body"),
    framed("Content-Length: 5\r\nContent-Length: 10\r\n", "whole body"),
    framed("Content-Length: 10, 5\r\n", "whole body"),
    framed("Content-Length: 1x\r\n", "whole body"),
    framed("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
    framed("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"),
};

/** What a reader makes of an answer. */
struct reading {
    bool is_valid = true;
    bool is_complete = false;
    bool is_complete_at_end = false; ///< once the connection has ended in an orderly way
    int status = 0;
    std::string fields;
    std::string body;

    bool operator==(const reading& other) const {
        return is_valid == other.is_valid && is_complete == other.is_complete &&
               is_complete_at_end == other.is_complete_at_end && status == other.status &&
               fields == other.fields && body == other.body;
    }
};

/** \return what is read of \p text, which arrives in pieces of the lengths \p pieces and then as a whole. */
reading read_in_pieces(std::string_view text, const std::vector<std::size_t>& pieces) {
    reading result;
    answer_reader reader(false);
    std::size_t next = 0;
    while (!text.empty() && result.is_valid && !reader.is_complete()) {
        const std::size_t wanted = next < pieces.size() ? pieces[next++] : text.size();
        const std::string_view piece = text.substr(0, std::max<std::size_t>(1, wanted));
        text.remove_prefix(piece.size());
        result.is_valid = reader.feed(piece, result.body).has_value();
    }
    result.is_complete = result.is_valid && reader.is_complete();
    result.is_complete_at_end = result.is_valid && reader.finish();
    if (result.is_valid && reader.has_head()) {
        result.status = reader.status();
        for (const header_field& field : reader.headers().all()) {
            result.fields += field.name + ": " + field.value + "\n";
        }
    }
    return result;
}

std::vector<std::size_t> any_pieces() {
    return *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40));
}

std::string any_of(const std::vector<std::string>& texts) {
    return texts[*rc::gen::inRange<std::size_t>(0, texts.size())];
}

std::string with_bare_line_feeds(const std::string& text) {
    std::string result;
    std::copy_if(text.begin(), text.end(), std::back_inserter(result), [](char c) { return c != '\r'; });
    return result;
}

} // namespace

// Guards against an answer with a length or chunks that is taken for complete although its endpoint stopped
// in it, at any byte.
TEST(torn_answer, is_not_complete_at_any_cut) {
    for (const std::string& whole : framed_answers) {
        EXPECT_TRUE(read_in_pieces(whole, {}).is_complete) << whole;
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            EXPECT_FALSE(read_in_pieces(whole.substr(0, cut), {}).is_complete_at_end) << whole << cut;
        }
    }
}

// Guards against the same when the bytes arrive in pieces, as after a length of which a part has arrived.
RC_GTEST_PROP(torn_answer, is_not_complete_at_any_cut_in_any_pieces, ()) {
    const std::string whole = any_of(framed_answers);
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, whole.size());
    const reading cut_off = read_in_pieces(whole.substr(0, cut), any_pieces());
    RC_ASSERT(cut_off.is_valid);
    RC_ASSERT(!cut_off.is_complete_at_end);
}

// Guards against a status, a field or a body that depends on how the answer is split.
RC_GTEST_PROP(torn_answer, is_read_alike_in_any_pieces, ()) {
    const std::string whole = any_of(framed_answers);
    const reading at_once = read_in_pieces(whole, {});
    RC_ASSERT(at_once.is_complete);
    RC_ASSERT(read_in_pieces(whole, any_pieces()) == at_once);
    RC_ASSERT(read_in_pieces(whole, std::vector<std::size_t>(whole.size(), 1)) == at_once);
}

// Guards against fields of a trailer that change what the head has said.
TEST(torn_answer, keeps_the_fields_of_its_trailer_apart) {
    const reading whole = read_in_pieces(framed("Transfer-Encoding: chunked\r\n", chunks_with_trailer), {});
    EXPECT_EQ(whole.fields, "Id: 7\nReceipt: r\nTransfer-Encoding: chunked\n");
    EXPECT_EQ(whole.body, "whole body");
}

// Guards against a head that has not ended being taken for an answer that ends with its connection.
TEST(torn_answer, without_framing_is_not_complete_before_its_head_is) {
    for (const std::string version : {"1.0", "1.1"}) {
        const std::string head = "HTTP/" + version + " 200 OK\r\nId: 7\r\nReceipt: r\r\n\r\n";
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            EXPECT_FALSE(read_in_pieces(head.substr(0, cut), {}).is_complete_at_end) << cut;
        }
        const reading whole = read_in_pieces(head + "body", {});
        EXPECT_FALSE(whole.is_complete);
        EXPECT_TRUE(whole.is_complete_at_end);
        EXPECT_EQ(whole.body, "body");
    }
}

// Guards against messages that end with their head and are never complete, because its last bytes arrive
// alone.
TEST(torn_answer, is_complete_in_any_two_pieces) {
    for (const std::string& whole : framed_answers) {
        for (std::size_t cut = 1; cut < whole.size(); ++cut) {
            EXPECT_TRUE(read_in_pieces(whole, {cut}).is_complete) << whole << cut;
        }
    }
}

TEST(torn_request, is_complete_in_any_two_pieces) {
    constexpr std::size_t limit = 4096;
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> requests = {
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
        head + "Content-Length: 0\r\n\r\n",
        head + "Content-Length: 1\r\n\r\na",
        head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    };
    for (const std::string& whole : requests) {
        for (std::size_t cut = 1; cut < whole.size(); ++cut) {
            request_reader reader(limit, limit);
            reader.feed(whole.substr(0, cut));
            EXPECT_NE(reader.advance(), request_reader::progress::complete) << whole << cut;
            reader.feed(whole.substr(cut));
            EXPECT_EQ(reader.advance(), request_reader::progress::complete) << whole << cut;
        }
    }
}

// Guards against refusing an answer whose head arrives before its body.
TEST(torn_answer, is_not_seen_in_a_head_that_arrives_alone) {
    for (const std::string& whole : framed_answers) {
        const std::size_t end_of_head = whole.find("Receipt: r");
        const std::size_t body = whole.find("\r\n\r\n", end_of_head) + 4;
        EXPECT_TRUE(read_in_pieces(whole, {body}).is_complete) << whole;
        EXPECT_TRUE(read_in_pieces(whole, std::vector<std::size_t>(whole.size(), 1)).is_complete) << whole;
    }
}

// Guards against a head whose lines end with LF alone, which is not read, being taken for complete.
TEST(torn_answer, with_bare_line_feeds_is_never_complete) {
    for (const std::string& answer : framed_answers) {
        const std::string bare = with_bare_line_feeds(answer);
        for (std::size_t cut = 0; cut <= bare.size(); ++cut) {
            EXPECT_FALSE(read_in_pieces(bare.substr(0, cut), {}).is_complete_at_end) << bare << cut;
        }
    }
}

// Guards against an answer with a wrong body, of which two fields give different ends.
RC_GTEST_PROP(torn_answer, with_an_ambiguous_end_is_invalid, ()) {
    RC_ASSERT(!read_in_pieces(any_of(ambiguous_answers), any_pieces()).is_valid);
}

// Guards against a failure that its caller gets as a success, because the start of another head stands before
// it on the same connection.
TEST(torn_answer, does_not_lend_its_status_to_the_next_one) {
    const std::string torn = "HTTP/1.1 200 OK\r\nReceipt: r\r\nId: 3\r\n\r\n";
    for (const std::string version : {"1.0", "1.1"}) {
        const std::string next = "HTTP/" + version +
                                 " 500 Internal Server Error\r\nId: 7\r\nReceipt: s\r\n"
                                 "Content-Length: 6\r\n\r\nfailed";
        for (std::size_t cut = 1; cut < torn.size(); ++cut) {
            EXPECT_FALSE(read_in_pieces(torn.substr(0, cut) + next, {}).is_valid) << torn.substr(0, cut);
            EXPECT_FALSE(read_in_pieces(torn.substr(0, cut) + next, {cut}).is_valid) << torn.substr(0, cut);
        }
    }
}

// Guards against refusing a sound answer for the name of the protocol in a field.
TEST(torn_answer, is_not_seen_in_a_field_that_names_the_protocol) {
    const std::string answer =
        framed("Via: HTTP/1.1 gate, 1.0 HTTP/1.x\r\nUpgrade: HTTP/2.0\r\nStatus: HTTP/1.1 200 OK\r\n"
               "Content-Length: 10\r\n",
               "whole body");
    EXPECT_TRUE(read_in_pieces(answer, {}).is_complete);
}

namespace {

/** Where an endpoint stops: the bytes that it has written before. */
struct torn_bytes {
    const char* where;
    std::string bytes;
};

std::string without_end(const std::string& text, std::size_t length) {
    return text.substr(0, text.size() - length);
}

const std::string plain_head = framed("Content-Length: 10\r\n", "");
const std::string chunked_head = framed("Transfer-Encoding: chunked\r\n", "");
const std::string unframed_plain_head = "HTTP/1.0 200 OK\r\nId: 7\r\nReceipt: r\r\n\r\n";
const std::string stray = answer_of("3", "stray");

const std::vector<torn_bytes> torn_plain = {
    {"nothing", ""},
    {"first_byte", "H"},
    {"first_line", "HTTP/1.1 200 OK\r\n"},
    {"number_of_length", without_end(plain_head, 5)},
    {"last_line_feed_of_head", without_end(plain_head, 1)},
    {"whole_head", plain_head},
    {"body", plain_head + "whole"},
    {"after_interim", interim},
    {"head_after_interim", interim + without_end(plain_head, 3)},
    {"size_of_chunk", chunked_head + "1"},
    {"chunk", chunked_head + "a\r\nwhole"},
    {"last_chunk", chunked_head + "a\r\nwhole body\r\n0\r\n"},
    {"trailer", chunked_head + "a\r\nwhole body\r\n0\r\nLate: 1\r\n"},
    {"last_line_feed", chunked_head + "a\r\nwhole body\r\n0\r\n\r"},
    {"head_without_length", without_end(unframed_plain_head, 2)},
    {"whole_head_without_length", unframed_plain_head},
    {"whole_head_without_length_of_1_1", framed("", "")},
    {"bare_line_feeds", with_bare_line_feeds(plain_head + "whole body")},
    {"after_stray", stray},
    {"head_after_stray", stray + without_end(plain_head, 3)},
    {"in_stray", without_end(stray, 3)},
    {"in_head_of_stray", "HTTP/1.1 200 OK\r\nId: 3\r\nRec"},
    {"failure_after_first_line",
     "HTTP/1.1 200 OKHTTP/1.1 500 X\r\nId: 7\r\nReceipt: r\r\nContent-Length: 6\r\n\r\nfailed"},
};

const std::string unframed_stream_head =
    "HTTP/1.0 200 OK\r\nId: 7\r\nReceipt: r\r\nContent-Type: text/event-stream\r\n\r\n";

/// Of a run that resumes after event 1, or begins with it.
const std::vector<torn_bytes> torn_streams = {
    {"nothing", ""},
    {"first_line", "HTTP/1.1 200 OK\r\n"},
    {"last_line_feed_of_head", without_end(stream_head("7"), 1)},
    {"whole_head", stream_head("7")},
    {"head_after_interim", interim + without_end(stream_head("7"), 3)},
    {"size_of_chunk", stream_head("7") + "1"},
    {"event", stream_head("7") + without_end(chunk_of(event(2)), 6)},
    {"last_chunk", stream_head("7") + chunk_of(event(2)) + "0\r\n"},
    {"last_line_feed", stream_head("7") + chunk_of(event(2)) + "0\r\n\r"},
    {"trailer", stream_head("7") + chunk_of(event(2)) + "0\r\nLate: 1\r\n"},
    {"head_without_length", without_end(unframed_stream_head, 2)},
    {"whole_head_without_length", unframed_stream_head},
    {"event_without_length", unframed_stream_head + without_end(event(2), 1)},
    {"known_event_without_length", unframed_stream_head + event(1)},
    {"after_stray", stray},
};

enum class ending { orderly, reset };

std::string name_of(const torn_bytes& torn, ending how) {
    return std::string(torn.where) + (how == ending::orderly ? "_closed" : "_reset");
}

/** An endpoint that stops at one place, and the next time answers as a whole. */
class torn_answer_fixture : public relay_fixture,
                            public ::testing::WithParamInterface<std::tuple<std::size_t, ending>> {
protected:
    void start(const traffic_route& served, std::vector<scripted_answer> script) {
        endpoint_ = std::make_unique<scripted_endpoint>(std::move(script));
        start_relay(served, {endpoint_->address()});
        earn_repeats();
    }

    scripted_answer torn(const std::vector<torn_bytes>& places) const {
        const auto [place, how] = GetParam();
        return {places[place].bytes, how == ending::orderly, how == ending::reset};
    }

    /** \return the rest of a stream of two events, as the request asks for it. */
    static scripted_answer rest_of_stream() {
        return {"", false, false, [](const std::string& request) {
                    std::string answer = stream_head("7");
                    for (int id = 1; id <= 2; ++id) {
                        answer +=
                            contains(request, "Resume: 2") || (id == 1 && contains(request, "Resume: 1"))
                                ? ""
                                : chunk_of(event(id));
                    }
                    return answer + std::string(last_chunk);
                }};
    }

    std::unique_ptr<scripted_endpoint> endpoint_;
};

class torn_plain_answer : public torn_answer_fixture {};
class torn_stream : public torn_answer_fixture {};

const scripted_answer whole_plain{answer_of("7", "whole body"), false, false};
const scripted_answer begun_stream{stream_head("7") + chunk_of(event(1)), false, true};
const std::string all_of_stream = chunk_of(event(1)) + chunk_of(event(2)) + std::string(last_chunk);

} // namespace

// Guards against a success with less than the endpoint's whole body, and against failing a request that
// another attempt serves.
TEST_P(torn_plain_answer, to_a_safe_request_is_repeated) {
    start(route(route_kind::idempotent, 3), {torn(torn_plain), whole_plain});
    const std::string answer = send_request("7");
    EXPECT_TRUE(contains(answer, " 200 ")) << answer;
    EXPECT_TRUE(contains(answer, "\r\n\r\nwhole body")) << answer;
    EXPECT_EQ(endpoint_->requests().size(), 2U);
}

// Guards against a success with less than the endpoint's whole body when no attempt is left.
TEST_P(torn_plain_answer, to_the_last_attempt_is_a_failure) {
    start(route(route_kind::idempotent, 2), {torn(torn_plain), torn(torn_plain)});
    EXPECT_TRUE(contains(send_request("7"), "HTTP/1.1 502"));
    EXPECT_EQ(endpoint_->requests().size(), 2U);
}

// Guards against an unsafe request that runs twice, or is answered as "not run", or with a part of its
// answer.
TEST_P(torn_plain_answer, to_an_unsafe_request_is_a_failure_and_not_repeated) {
    start(route(route_kind::non_idempotent, 3), {torn(torn_plain), whole_plain});
    EXPECT_TRUE(contains(send_request("7"), "HTTP/1.1 502"));
    EXPECT_EQ(endpoint_->requests().size(), 1U);
}

// Guards against a part of an answer on a connection on which a whole one came before.
TEST_P(torn_plain_answer, on_a_kept_connection_is_repeated) {
    start(route(route_kind::idempotent, 3),
          {{answer_of("6", "earlier"), false, false}, torn(torn_plain), whole_plain});
    EXPECT_TRUE(contains(send_request("6"), "earlier"));
    const std::string answer = send_request("7");
    EXPECT_TRUE(contains(answer, "\r\n\r\nwhole body")) << answer;
    EXPECT_EQ(endpoint_->requests().size(), 3U);
}

// Guards against refusing an answer that is whole without a body: one that says so, one that may have none,
// and a failure.
TEST_F(relay_fixture, empty_answers_are_whole) {
    const std::string fields = "Id: 7\r\nReceipt: r\r\n";
    const std::vector<std::pair<std::string, std::string>> answers = {
        {" 200 ", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n"},
        {" 200 ", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {" 204 ", "HTTP/1.0 204 No Content\r\n" + fields + "\r\n"},
        {" 205 ", "HTTP/1.0 205 Reset Content\r\n" + fields + "\r\n"},
        {" 302 ", "HTTP/1.0 302 Found\r\n" + fields + "\r\n"},
        {" 404 ", "HTTP/1.0 404 Not Found\r\n" + fields + "\r\n"},
        {" 500 ", "HTTP/1.0 500 Internal Server Error\r\n" + fields + "\r\n"}};
    std::vector<scripted_answer> script;
    for (const auto& [status, bytes] : answers) {
        script.push_back({bytes, true, false});
    }
    scripted_endpoint endpoint(script);
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    for (const auto& [status, bytes] : answers) {
        const std::string answer = send_request("7");
        EXPECT_TRUE(contains(answer, status)) << bytes << answer;
        EXPECT_TRUE(contains(answer, "Receipt: r")) << answer;
    }
    EXPECT_EQ(endpoint.requests().size(), answers.size());
}

// Guards against a resumed stream that looks complete before its last event.
TEST_P(torn_stream, that_resumes_is_resumed_again) {
    start(route(route_kind::stream, 4), {begun_stream, torn(torn_streams), rest_of_stream()});
    const std::string answer = send_request("7");
    EXPECT_TRUE(contains(answer, all_of_stream)) << answer;
    EXPECT_EQ(endpoint_->requests().size(), 3U);
}

// Guards against a resumed stream that looks complete when no attempt is left.
TEST_P(torn_stream, that_resumes_last_is_reset) {
    start(route(route_kind::stream, 2), {begun_stream, torn(torn_streams), rest_of_stream()});
    const std::string answer = send_request("7");
    EXPECT_TRUE(contains(answer, chunk_of(event(1)))) << answer;
    EXPECT_FALSE(contains(answer, last_chunk.data())) << answer;
    EXPECT_TRUE(was_reset_);
    EXPECT_EQ(endpoint_->requests().size(), 2U);
}

// Guards against the same where the caller itself resumes its stream.
TEST_P(torn_stream, of_a_caller_that_resumes_is_not_complete) {
    start(route(route_kind::stream, 1), {torn(torn_streams), rest_of_stream()});
    const std::string answer = send_request("7", "Last-Event: 1\r\n");
    EXPECT_FALSE(contains(answer, last_chunk.data())) << answer;
    EXPECT_TRUE(was_reset_ || contains(answer, "HTTP/1.1 502")) << answer;
    EXPECT_EQ(endpoint_->requests().size(), 1U);
}

// Guards against a stream that may not be resumed and runs twice, or looks complete.
TEST_P(torn_stream, that_may_not_be_resumed_is_not_repeated) {
    traffic_route unsafe = route(route_kind::stream, 3);
    unsafe.is_resumable = false;
    start(unsafe, {torn(torn_streams), rest_of_stream()});
    const std::string answer = send_request("7", "Last-Event: 1\r\n");
    EXPECT_FALSE(contains(answer, last_chunk.data())) << answer;
    EXPECT_TRUE(was_reset_ || contains(answer, "HTTP/1.1 502")) << answer;
    EXPECT_EQ(endpoint_->requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(each, torn_plain_answer,
                         ::testing::Combine(::testing::Range<std::size_t>(0, torn_plain.size()),
                                            ::testing::Values(ending::orderly, ending::reset)),
                         [](const auto& test) {
                             return name_of(torn_plain[std::get<0>(test.param)], std::get<1>(test.param));
                         });
INSTANTIATE_TEST_SUITE_P(each, torn_stream,
                         ::testing::Combine(::testing::Range<std::size_t>(0, torn_streams.size()),
                                            ::testing::Values(ending::orderly, ending::reset)),
                         [](const auto& test) {
                             return name_of(torn_streams[std::get<0>(test.param)], std::get<1>(test.param));
                         });

} // namespace laurelhoist
