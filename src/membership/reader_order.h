/** \file
 * Defines the order in which the hosts of a failure domain take on duties for the others.
 */
#pragma once

#include "membership/host_gossip.h"

#include <string_view>
#include <tuple>

namespace laurelhoist {

/** The key by which the hosts of a failure domain are ordered: hosts with more capacity come first, and hosts
 * of the same capacity are ordered by a hash of their names. Refers to the name of the host. */
struct domain_rank {
    int capacity = 0;
    std::uint64_t name_hash = 0;
    std::string_view name;
    friend bool operator<(const domain_rank& l, const domain_rank& r) {
        return std::tie(r.capacity, l.name_hash, l.name) < std::tie(l.capacity, r.name_hash, r.name);
    }
};

domain_rank rank_in_domain(const host_status& host);
/** \return whether \p left precedes \p right in their failure domain. */
bool precedes_in_domain(const host_status& left, const host_status& right);

/** \return how many hosts of a failure domain with \p hosts hosts serve the others: the first ones of its
 * order. They hold the whole list of endpoints when it is divided, and speak for a large domain to the
 * others.
 */
std::size_t whole_list_holders(std::size_t hosts);

} // namespace laurelhoist
