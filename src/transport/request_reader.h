/** \file
 * Defines the incremental reader of the HTTP/1.1 requests of one connection. It works on byte buffers and
 * does no I/O.
 */
#pragma once

#include "transport/header_list.h"
#include "transport/request_room.h"

#include <memory>
#include <string>
#include <string_view>

namespace laurelhoist {

/** A complete request. */
struct received_request {
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    bool keeps_alive = true;
    bool accepts_chunks = true;   ///< the caller speaks HTTP/1.1
    bool is_body_dropped = false; ///< the body has arrived and there was no room for it

    std::string path() const { return target.substr(0, target.find('?')); }
    /** \return about how much memory the request takes. */
    request_holding holding() const { return {target.size() + headers.held_bytes(), body.size()}; }
};

/** Reads one request after another from a connection. What it holds of a request is bounded by the limits,
 * however the request is divided into fields, chunks and trailers. */
class request_reader {
public:
    enum class progress {
        needs_more,
        needs_continue, ///< the caller expects "100 Continue" before it sends the body
        complete,
        malformed,
        header_too_large, ///< the head, a chunk's size and extensions, or the trailers
        body_too_large,
    };

    /** \param header_bytes limit of the header fields, and of the first line, the size and extensions of a
     * chunk, and the trailers, each \param body_bytes limit of the body */
    request_reader(std::size_t header_bytes, std::size_t body_bytes);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    /** Adds received bytes. */
    void feed(std::string_view bytes) { pending_.append(bytes); }
    /** Parses the bytes fed so far. After \c complete, \ref take returns the request. */
    progress advance();
    /** \return the request that \ref advance completed, and prepares the reader for the next request. */
    received_request take();
    /** \return whether bytes of a request that has not been taken have arrived. Empty lines before a request
     * are no part of it. */
    bool has_partial_request() const;
    /** \return what is held of the present request and of what follows it. */
    request_holding holding() const;
    /** \return the bytes fed that have not been parsed. */
    std::size_t unparsed_bytes() const { return pending_.size(); }
    /** Forgets the present request's body, and what is still to come of it. */
    void drop_body();

private:
    bool skip_empty_lines();
    progress parse();
    std::size_t max_head_bytes() const;
    bool has_too_much_unparsed() const;

    struct state;
    std::unique_ptr<state> state_;
    std::string pending_;
    std::size_t header_bytes_;
    std::size_t body_bytes_;
};

} // namespace laurelhoist
