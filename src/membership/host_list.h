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
};
LAUREL_VALUE_TYPE(endpoint_record, name, address, domain, pool, state, release)

/** Picks the endpoints of one pool that \p entry uses: at most \p size, the same on every call, evenly
 * shared out over entries, and over the failure domains as far as each has any.
 * \return all of them if there are no more than \p size */
std::vector<endpoint_record> choose_subset(const std::string& entry,
                                           const std::vector<endpoint_record>& endpoints, std::size_t size);

} // namespace laurelhoist
