/** \file
 * Defines the order in which the hosts of a failure domain take on duties for the others.
 */
#pragma once

#include "membership/host_gossip.h"

namespace laurelhoist {

/** \return the position hash of a host among those of the same capacity. */
std::uint64_t reader_rank(const host_status& host);
/** \return whether \p left precedes \p right in their failure domain. Hosts with more capacity come first,
 * and hosts of the same capacity are ordered by a hash of their names. */
bool precedes_in_domain(const host_status& left, const host_status& right);

/** \return how many hosts of a failure domain with \p hosts hosts serve the others: the first ones of its
 * order. They hold the whole list of endpoints when it is divided, and speak for a large domain to the
 * others.
 */
std::size_t whole_list_holders(std::size_t hosts);

} // namespace laurelhoist
