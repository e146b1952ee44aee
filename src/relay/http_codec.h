/** \file
 * Defines the incremental HTTP/1.1 readers of the relay, over Boost.Beast's parsers, and the writers of
 * message heads. They work on bytes that have been received; sockets are elsewhere.
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

/** One header field, spelled as it was received. */
struct header_field {
    std::string name;
    std::string value;
};

/** The header fields of a message, in order. */
class header_list {
public:
    void add(std::string name, std::string value) { fields_.push_back({std::move(name), std::move(value)}); }
    /** \return the value of the first field \p name (case does not count), or null. */
    const std::string* find(std::string_view name) const;
    /** \return the value of \p name, or an empty string. */
    std::string value_or_empty(std::string_view name) const;
    const std::vector<header_field>& all() const { return fields_; }

private:
    std::vector<header_field> fields_;
};

/** \return whether two header names are equal; case does not count. */
bool is_same_name(std::string_view left, std::string_view right);
/** \return the number that \p text begins with, or nothing if it is not a plain decimal number. */
std::optional<std::int64_t> parse_number(std::string_view text);
/** \return when a client should come back, as Retry-After says, the longest of several: \see
 * parse_retry_after */
std::optional<duration> retry_after_in(const header_list& headers);

/** A caller's request, read whole. */
struct caller_request {
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    bool keeps_alive = true;

    std::string path() const { return target.substr(0, target.find('?')); }
};

/** Reads one request after another from a caller's connection. */
class request_reader {
public:
    enum class progress {
        needs_more,
        needs_continue, ///< the caller waits for "100 Continue" before it sends the body
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
    /** Reads on in what was fed. After \c complete, \ref take gives the request. */
    progress advance();
    /** \return the request that \ref advance has completed; the reader is then ready for the next. */
    caller_request take();
    /** \return whether a request has begun to arrive and is not yet complete. */
    bool has_partial_request() const;

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
    /** \param is_for_head whether the request was HEAD, whose answers have no body */
    explicit answer_reader(bool is_for_head);
    ~answer_reader();
    answer_reader(answer_reader&&) noexcept;
    answer_reader& operator=(answer_reader&&) noexcept;

    /** Reads \p bytes; body bytes are appended to \p body.
     * \return the number of bytes that belonged to the answer, or nothing if they are no HTTP answer */
    std::optional<std::size_t> feed(std::string_view bytes, std::string& body);
    /** Notes that the connection was closed in order.
     * \return whether the answer is complete with that */
    bool finish();

    bool has_head() const;
    bool is_complete() const;
    int status() const;
    const header_list& headers() const { return headers_; }
    /** \return whether the endpoint will read another request on this connection. */
    bool keeps_alive() const;

private:
    struct state;
    std::unique_ptr<state> state_;
    header_list headers_;
    bool is_for_head_;
};

/** \return whether \p name concerns one connection only and is never passed on. */
bool is_hop_by_hop(std::string_view name, const header_list& headers);
/** Appends `name: value` and the line's end to \p head. */
void append_header(std::string& head, std::string_view name, std::string_view value);
/** \return `HTTP/1.1 status reason` with the line's end. */
std::string status_line(int status);
/** Appends \p bytes to \p out as one chunk of a chunked body. */
void append_chunk(std::string& out, std::string_view bytes);
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace laurelhoist
