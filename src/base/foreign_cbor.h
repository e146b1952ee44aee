/** \file
 * Reads CBOR of peers, whose bytes may be damaged or come from another program.
 */
#pragma once

#include "base/json_text.h"

#include <string>

namespace laurelhoist {

/** Levels of arrays, objects and texts in parts that are read of a peer's bytes: what a host has read of
 * another writer, inside a message. */
constexpr std::size_t max_cbor_depth = max_foreign_depth + 8;

/** Parses CBOR of another process. Its nesting and declared lengths are checked without recursion before it
 * is parsed, as the parser recurses once for each level. \return the document \throws std::exception if \p
 * bytes are not one CBOR item, are nested deeper than \ref max_cbor_depth, declare more than they hold, or
 * have a tag */
json parse_foreign_cbor(const std::string& bytes);

} // namespace laurelhoist
