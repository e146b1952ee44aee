/** \file
 * Defines the text that a sequence of blocks holds, for comparisons.
 */
#pragma once

#include "relay/byte_blocks.h"

#include <string>

namespace laurelhoist {

/** \return all bytes of \p blocks. */
inline std::string content_of(const byte_blocks& blocks) {
    std::string all;
    for (const std::string_view part : blocks.front(blocks.size() + 1)) {
        all += part;
    }
    return all;
}

} // namespace laurelhoist
