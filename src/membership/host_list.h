/** \file
 * Defines the endpoints as the platform lists them, with a delay, and the subset of them that one entry uses.
 */
#pragma once

#include "base/base.h"

#include <vector>

namespace laurelhoist {

/** An endpoint: an engine or a plain service. */
struct endpoint_record {
    std::string name;
    std::string address;
    std::string domain;
    std::string pool;
    std::string state = "live"; ///< "live" or "leaving"
    std::string release{};      ///< of the software it runs; empty: unknown
    /// Wall clock time at which its process started, in ms; 0: unknown. A higher value under the same name
    /// denotes another process, which has none of the earlier one's state.
    std::int64_t started_at_ms = 0;
    /// Remaining warm-up time when it wrote this entry, in ms. Until then it is cold: slow, and able to take
    /// only a few requests a second.
    std::int64_t cold_ms = 0;
    bool is_common = true; ///< every host holds it, see \ref endpoint_division
};
LAUREL_VALUE_TYPE(endpoint_record, name, address, domain, pool, state, release, started_at_ms, cold_ms,
                  is_common)

/** \return whether \p later names a newer process of the same endpoint than \p earlier; false for two
 * endpoints, whichever of them started first. */
inline bool is_restart_of(const endpoint_record& later, const endpoint_record& earlier) {
    return later.name == earlier.name && earlier.started_at_ms != 0 &&
           later.started_at_ms > earlier.started_at_ms;
}

/** \return a hash that identifies one process of an endpoint; it changes when the endpoint restarts. */
std::uint32_t process_hash(const std::string& endpoint, std::int64_t started_at_ms);

/** Picks the endpoints of one pool that \p entry uses. The choice is deterministic, spreads entries evenly
 * over endpoints, and takes one endpoint from each failure domain in turn while the domain has any left.
 * \return \p size endpoints, or all of them if there are no more than that */
std::vector<endpoint_record> choose_subset(const std::string& entry,
                                           const std::vector<endpoint_record>& endpoints, std::size_t size);

} // namespace laurelhoist
