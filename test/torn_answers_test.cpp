// Answers whose endpoint stops in the middle of the head or of the framing.
#include "relay_fixture.h"

#include <rapidcheck/gtest.h>

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

} // namespace laurelhoist
