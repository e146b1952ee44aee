/** \file
 * Decides whether a host may hold the bytes of a request, beside those that it holds for other connections.
 */
#pragma once

#include <cstddef>

namespace laurelhoist {

/** Bytes of one connection's request, besides its body, that are not counted and may always be held, so that
 * ordinary requests are read beside a crowd of large ones. */
constexpr std::size_t uncounted_request_bytes = 4 << 10;

/** What is held of one request, in bytes. */
struct request_holding {
    std::size_t head_bytes = 0; ///< all that is no body: fields, and what has not been parsed
    std::size_t body_bytes = 0;

    std::size_t counted_head_bytes() const {
        return head_bytes > uncounted_request_bytes ? head_bytes - uncounted_request_bytes : 0;
    }
    std::size_t counted_bytes() const { return counted_head_bytes() + body_bytes; }
};

/** What a host holds of requests, in bytes. */
struct request_buffer {
    std::size_t held_bytes = 0; ///< counted of all requests, the one in question included
    std::size_t limit_bytes = 0;
};

/** \return whether the body of \p own may be held: the others do not exceed the limit. */
inline bool has_room_for_body(const request_holding& own, const request_buffer& buffer) {
    return own.body_bytes == 0 || buffer.held_bytes - own.counted_bytes() <= buffer.limit_bytes;
}

/** \return whether what \p own has besides its body may be held. It may take half of the limit, so that a
 * crowd of long heads leaves room for the bodies of others. */
inline bool has_room_for_head(const request_holding& own, const request_buffer& buffer) {
    return own.counted_head_bytes() == 0 || buffer.held_bytes - own.counted_bytes() <= buffer.limit_bytes / 2;
}

} // namespace laurelhoist
