/** \file
 * Defines by what a request is known again when it comes back: callers give each try a new id, so two tries
 * are the same request if they ask for the same thing, for the same team, with the same body.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelhoist {

/** Names a request whatever its id and the host that it came to. */
using request_digest = std::uint64_t;

/** What two tries of one request have in common. */
struct request_identity {
    std::string_view method;
    std::string_view target; ///< path and query
    std::string_view team;   ///< empty: an anonymous caller
    std::string_view body;
};

/** \return the digest of \p request: 64 bits of its SHA-256, since a caller who could choose a body with the
 * digest of another team's request could have that turned away */
request_digest digest_of(const request_identity& request);

/** \return the digest that \p text names, or nothing if it is not what \ref to_text gives. */
std::optional<request_digest> digest_from_text(std::string_view text);

/** \return \p digest as 16 hexadecimal digits, as logs and operators name it. */
std::string to_text(request_digest digest);

} // namespace laurelhoist
