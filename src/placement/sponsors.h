/** \file
 * Defines which hosts send to an endpoint that takes few requests: the same few on every host that knows the
 * same others, without a word between them.
 */
#pragma once

#include "membership/host_gossip.h"
#include "membership/host_list.h"

namespace laurelhoist {

/** The live hosts, as one of them knows them. */
struct host_view {
    std::vector<host_status> hosts;
    bool has_full_view = false; ///< this host has run for long enough to have heard of all
};

/** Picks sponsors by rendezvous hash: hosts of the endpoint's failure domain if it has enough, otherwise of
 * all. If a host comes or goes, at most one of them changes.
 * \return at most \p most names */
std::vector<std::string> sponsors_of(const endpoint_record& endpoint, const std::vector<host_status>& hosts,
                                     std::size_t most);

} // namespace laurelhoist
