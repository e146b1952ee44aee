/** \file
 * Defines the relay's incremental HTTP/1.1 readers, which use Boost.Beast's parsers, and the writers of
 * message heads. They work on byte buffers and do no I/O.
 */
#pragma once

#include "base/base.h"
#include "transport/retry_after.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhoist {

/** One header field, with its name spelled as received. */
struct header_field {
    std::string name;
    std::string value;
};

/** The header fields of a message, in order. */
class header_list {
public:
    void add(std::string name, std::string value) { fields_.push_back({std::move(name), std::move(value)}); }
    /** \return the value of the first field called \p name (case-insensitive), or null. */
    const std::string* find(std::string_view name) const;
    /** \return the value of the first field called \p name, or an empty string. */
    std::string value_or_empty(std::string_view name) const;
    const std::vector<header_field>& all() const { return fields_; }

private:
    std::vector<header_field> fields_;
};

/** \return whether two header names are equal, ignoring ASCII case. */
bool is_same_name(std::string_view left, std::string_view right);
/** \return the value of \p text, or nothing unless all of it is a decimal number. */
std::optional<std::int64_t> parse_number(std::string_view text);
/** \return the delay in the Retry-After field, the longest one if there are several, or nothing.
 * \see parse_retry_after */
std::optional<duration> retry_after_in(const header_list& headers);

/** A complete request of a caller. */
struct caller_request {
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    bool keeps_alive = true;
    bool accepts_chunks = true;   ///< the caller speaks HTTP/1.1
    bool is_body_dropped = false; ///< the body has arrived and there was no room for it

    std::string path() const { return target.substr(0, target.find('?')); }
};

/** Reads one request after another from a caller's connection. */
class request_reader {
public:
    enum class progress {
        needs_more,
        needs_continue, ///< the caller expects "100 Continue" before it sends the body
        complete,
        malformed,
        header_too_large,
        body_too_large,
    };

    request_reader(std::size_t header_bytes, std::size_t body_bytes);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    /** Adds received bytes. */
    void feed(std::string_view bytes) { pending_.append(bytes); }
    /** Parses the bytes fed so far. After \c complete, \ref take returns the request. */
    progress advance();
    /** \return the request that \ref advance completed, and prepares the reader for the next request. */
    caller_request take();
    /** \return whether bytes of a request that has not been taken have arrived. */
    bool has_partial_request() const;
    /** \return the bytes held, of the present request and of what follows it. */
    std::size_t received_bytes() const;
    /** \return the bytes of the present request's body that are held. */
    std::size_t body_bytes() const;
    /** Forgets the present request's body, and what is still to come of it. */
    void drop_body();

private:
    struct state;
    std::unique_ptr<state> state_;
    std::string pending_;
    std::size_t header_bytes_;
    std::size_t body_bytes_;
};

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

    /** \return the bytes of the answer so far, with its interim answers. */
    std::size_t received_bytes() const { return received_bytes_; }
    /** \return those of them that are no body: heads, chunk extensions and trailers. */
    std::size_t framing_bytes() const { return received_bytes_ - body_bytes_; }

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
    bool has_too_much_framing() const;

    struct state;
    std::unique_ptr<state> state_;
    header_list headers_;
    bool is_for_head_;
    std::size_t received_bytes_ = 0; ///< of the answer, with its interim answers
    std::size_t body_bytes_ = 0;     ///< those of its body
};

/** \return whether \p name is a hop-by-hop field, by the standard or by the Connection field in \p headers,
 * and must not be forwarded. */
bool is_hop_by_hop(std::string_view name, const header_list& headers);

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
