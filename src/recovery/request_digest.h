/** \file
 * Computes the digest by which a repeated request is recognized. Callers give each attempt a new id, so two
 * attempts are the same request if they have the same method, target, team and body.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelhoist {

/** Identifies a request independently of its id and of the host that received it. */
using request_digest = std::uint64_t;

/** The fields that all attempts of one request have in common. */
struct request_identity {
    std::string_view method;
    std::string_view target; ///< path and query
    std::string_view team;   ///< empty: an anonymous caller
    std::string_view body;
};

/** \return the digest of \p request: 64 bits of a SHA-256. A weaker hash would let a caller choose a body
 * with the digest of another team's request and have that request quarantined. */
request_digest digest_of(const request_identity& request);

/** \return the digest in \p text, or nothing if it is not 16 hexadecimal digits as in \ref to_text. */
std::optional<request_digest> digest_from_text(std::string_view text);

/** \return \p digest as 16 hexadecimal digits, the form used in logs and by operators. */
std::string to_text(request_digest digest);

} // namespace laurelhoist
