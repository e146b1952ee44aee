/** \file
 * Defines what the C library's allocator says of the memory that it manages.
 */
#pragma once

#include <cstdint>

namespace laurelhoist {

/** Memory that the allocator has taken from the system, in bytes. */
struct allocator_memory {
    std::uint64_t in_use = 0; ///< handed out
    std::uint64_t kept = 0;   ///< released by the program, and not returned to the system
};

/** \return what the allocator manages now. It looks at each free block, so this is for reports. */
allocator_memory allocated_memory();

} // namespace laurelhoist
