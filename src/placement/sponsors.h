/** \file
 * Chooses the sponsors of an endpoint that takes few requests: the few hosts that may send to it. Hosts that
 * know the same live hosts choose the same sponsors without communicating.
 */
#pragma once

#include "membership/host_gossip.h"
#include "membership/host_list.h"

namespace laurelhoist {

/** The live hosts as one host knows them. */
struct host_view {
    std::vector<host_status> hosts;
    bool has_full_view = false; ///< this host has run long enough to have heard of every live host
};

/** Chooses sponsors among the serving hosts by rendezvous hashing: from the endpoint's failure domain if it
 * has at least \p max_count of them, otherwise from all domains. As long as the choice stays within the same
 * domains, at most one sponsor changes when a host joins or leaves.
 * \return at most \p max_count names */
std::vector<std::string> sponsors_of(const endpoint_record& endpoint, const std::vector<host_status>& hosts,
                                     std::size_t max_count);

} // namespace laurelhoist
