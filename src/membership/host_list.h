/** \file
 * Defines the hosts as the platform lists them, late, and the subset of endpoints that one entry uses.
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
    std::string release{};      ///< of the software it runs; empty: not said
    /// Time of day at which its process started, in ms; 0: not said. A higher one under the same name is
    /// another process, which holds and knows nothing of what the one before did.
    std::int64_t started_at_ms = 0;
    /// For how much longer it was cold when it wrote this, in ms: slow, and taking few requests a second.
    std::int64_t cold_ms = 0;
};
LAUREL_VALUE_TYPE(endpoint_record, name, address, domain, pool, state, release, started_at_ms, cold_ms)

/** \return whether \p later is a process that has taken the place of the one that \p earlier names. */
inline bool is_restart_of(const endpoint_record& later, const endpoint_record& earlier) {
    return earlier.started_at_ms != 0 && later.started_at_ms > earlier.started_at_ms;
}

/** \return by what the process of an endpoint is known: a start under the same name is another process. */
std::uint32_t process_code(const std::string& endpoint, std::int64_t started_at_ms);

/** Picks the endpoints of one pool that \p entry uses: at most \p size, the same on every call, evenly
 * shared out over entries, and over the failure domains as far as each has any.
 * \return all of them if there are no more than \p size */
std::vector<endpoint_record> choose_subset(const std::string& entry,
                                           const std::vector<endpoint_record>& endpoints, std::size_t size);

} // namespace laurelhoist
