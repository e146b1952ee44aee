/** \file
 * Defines the relay's incremental reader of HTTP/1.1 answers, which uses Boost.Beast's parser, and the
 * writers of message heads. They work on byte buffers and do no I/O.
 */
#pragma once

#include "base/base.h"
#include "transport/request_reader.h"
#include "transport/retry_after.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhoist {

/** \return the delay in the Retry-After field, the longest one if there are several, or nothing.
 * \see parse_retry_after */
std::optional<duration> retry_after_in(const header_list& headers);

/** A complete request of a caller. */
using caller_request = received_request;

/** Why the bytes of an endpoint are no answer. */
enum class answer_fault {
    none,
    malformed,        ///< no HTTP
    invalid_status,   ///< the status is not one that an answer may have
    foreign_answer,   ///< another answer begins in the head
    too_much_framing, ///< the head, interim answers, chunk extensions or trailers do not end
};

/** \return the name of \p fault for logs and counters. */
const char* to_string(answer_fault fault);

/** Reads one answer of an endpoint. */
class answer_reader {
public:
    /** \param is_for_head whether the request method was HEAD, whose answers have no body */
    explicit answer_reader(bool is_for_head);
    ~answer_reader();
    answer_reader(answer_reader&&) noexcept;
    answer_reader& operator=(answer_reader&&) noexcept;

    /** Parses \p bytes and appends the body bytes to \p body. What is no body (the head, interim answers,
     * chunk extensions, trailers) is bounded, so that an endpoint that sends it without end is found out.
     * \return the number of bytes that belong to the answer, or nothing if they are not valid HTTP, or if
     * there are too many around too small a body */
    std::optional<std::size_t> feed(std::string_view bytes, std::string& body);
    /** Handles an orderly end of the connection.
     * \return whether the answer is complete */
    bool finish();

    /** \return why \ref feed returned nothing. */
    answer_fault fault() const { return fault_; }
    /** \return the bytes of the answer so far, with its interim answers. */
    std::size_t received_bytes() const { return received_bytes_; }
    /** \return about how much memory the reader takes for what is no body, in bytes. */
    std::size_t held_bytes() const;

    bool has_head() const;
    bool is_complete() const;
    int status() const;
    const header_list& headers() const { return headers_; }
    /** \return whether the answer has neither a length nor chunks, so that the end of the connection ends it.
     */
    bool ends_with_connection() const;
    /** \return whether the endpoint accepts another request on this connection. */
    bool keeps_alive() const;

private:
    std::optional<std::size_t> parse(std::string_view bytes, std::string& body);
    bool read_head();
    bool has_too_much_framing() const;

    struct state;
    std::unique_ptr<state> state_;
    header_list headers_;
    std::size_t headers_bytes_ = 0; ///< memory of \ref headers_
    answer_fault fault_ = answer_fault::none;
    bool is_for_head_;
    std::size_t received_bytes_ = 0; ///< of the answer, with its interim answers
    std::size_t body_bytes_ = 0;     ///< those of its body
};

/** \return whether a field's value contains what looks like the first line of an answer, as `HTTP/1.1 200`.
 * In an answer it shows that another answer follows a head that was not finished (\ref answer_reader). */
bool contains_status_line(const header_list& headers);
/** Appends `name: value` and CRLF to \p head. */
void append_header(std::string& head, std::string_view name, std::string_view value);
/** \return `HTTP/1.1 status reason` and CRLF. */
std::string status_line(int status);
/** \return what precedes the \p bytes bytes of a chunk, of which there is at least one. */
std::string chunk_head(std::size_t bytes);
/** Appends \p bytes to \p out as one chunk of a chunked body; appends nothing if \p bytes is empty. */
void append_chunk(std::string& out, std::string_view bytes);
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace laurelhoist
