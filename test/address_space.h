/** \file
 * Measures how much address space this process has, which also shows memory that is set aside and not used.
 */
#pragma once

#include <unistd.h>

#include <cstdint>
#include <fstream>

namespace laurelhoist {

/** \return this process's address space in bytes. */
inline std::int64_t address_space_bytes() {
    std::ifstream file("/proc/self/statm");
    std::int64_t pages = 0;
    file >> pages;
    return pages * sysconf(_SC_PAGESIZE);
}

} // namespace laurelhoist
