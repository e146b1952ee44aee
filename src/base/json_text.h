/** \file
 * Converts between JSON values and text that may contain bytes of callers, endpoints and other writers, which
 * need not be valid UTF-8.
 */
#pragma once

#include "base/value_type.h"

#include <string>

namespace laurelhoist {

/** \return \p value as text. Bytes that are not part of a UTF-8 character become U+FFFD; plain
 * `json::dump` throws on them. */
std::string to_json_text(const json& value);

/** Parses a document of which parts come from other writers. What JSON's grammar allows but the parser
 * rejects affects only the value it stands in: bytes that are not UTF-8 become question marks, unpaired
 * surrogates U+FFFD, and numbers beyond the range of a double null.
 * \return the document
 * \throws json::exception if \p text is not JSON otherwise either */
json parse_foreign_json(const std::string& text);

} // namespace laurelhoist
