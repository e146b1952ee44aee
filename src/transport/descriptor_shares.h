/** \file
 * Divides the descriptors that the process may open, so that none of its peers can take those that it needs
 * for its other work.
 */
#pragma once

#include <cstddef>
#include <limits>

namespace laurelhoist {

/** How many connections of each kind an entry host holds open at most. What is left of the descriptors is for
 * its own connections: one to an endpoint for each caller and each forwarded request, those to the store and
 * to other hosts, and its files. */
struct descriptor_shares {
    static constexpr std::size_t no_bound = std::numeric_limits<std::size_t>::max();

    std::size_t callers = no_bound;
    std::size_t peers = no_bound; ///< on which other hosts forward requests
    std::size_t page = no_bound;  ///< of each server of the host's own pages
};

/** \return the shares of \p limit descriptors. */
descriptor_shares share_descriptors(std::size_t limit);

/** Raises the number of descriptors that this process may open as far as its system allows.
 * \return that number */
std::size_t raise_descriptor_limit();

} // namespace laurelhoist
