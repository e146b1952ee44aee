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

} // namespace laurelhoist
