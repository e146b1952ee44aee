/** \file
 * Decides when the memory of a host is worth a line in the log, so that a kill by the platform for too much
 * memory has a cause that can be found.
 */
#pragma once

#include <cstdint>
#include <optional>

namespace laurelhoist {

/** Reports each level that the memory in use passes on its way up, once, until it has fallen well below. */
class memory_watch {
public:
    /** \param limit_bytes memory that the host may use; 0: unknown, nothing is reported */
    explicit memory_watch(std::uint64_t limit_bytes) : limit_bytes_{limit_bytes} {}

    /** \param resident_bytes memory that the process uses now
     * \return the highest level passed since the last call, in percent of the limit; nothing if none was */
    std::optional<int> note(std::uint64_t resident_bytes);

    std::uint64_t limit_bytes() const { return limit_bytes_; }

private:
    std::uint64_t limit_bytes_;
    int reported_percent_ = 0;
};

} // namespace laurelhoist
