/** \file
 * Defines hashes of text: SHA-256 for content and keys, HMAC for tokens, XXH64 for placement.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace laurelhoist {

/** \return the SHA-256 of \p text as 64 lower-case hexadecimal digits. */
std::string sha256_hex(std::string_view text);
/** \return the HMAC-SHA-256 of \p text under \p key as lower-case hexadecimal digits. */
std::string hmac_hex(std::string_view key, std::string_view text);
/** \return whether two strings are equal, in a time that does not depend on where they differ. */
bool equal_in_constant_time(std::string_view left, std::string_view right);
/** \return \p text in the URL-safe base-64 alphabet without padding. */
std::string base64url_encode(std::string_view text);
/** \return the bytes encoded in \p text, or an empty string if it is not base64url. */
std::string base64url_decode(std::string_view text);
/** \return a uniformly distributed 64-bit hash of \p text; not cryptographic. */
std::uint64_t placement_hash(std::string_view text, std::uint64_t seed = 0);
/** \return a hash of \p text, uniformly distributed in [0, 1). */
double unit_hash(std::string_view text);

} // namespace laurelhoist
