/** \file
 * Defines what the C library's allocator says of the memory that it manages, and how it returns memory to the
 * system.
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

/** Makes the allocator return the memory of each long block as soon as it is released. By default it keeps up
 * to 64 MiB for later, once such a block has been released. */
void return_long_blocks_to_system();

} // namespace laurelhoist
