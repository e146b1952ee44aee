/** \file
 * Tells a host that has lost its links to the endpoints of a pool from single endpoints that are down.
 *
 * A host that is partitioned from the endpoints sees each of them fail for itself: connections time out, or
 * are reset or refused. The pool counts as lost once the connections to nearly all endpoints that were tried
 * lately have failed. Whether the links of this host or the endpoints are the cause is told by the other
 * hosts, which announce the pools that they have lost, see \ref host_status::lost_pools.
 *
 * Load pattern: three of seven hosts lose the links to 17 of 18 engines. Each request tries up to eight of
 * them for a second each and is refused, while the four other hosts serve nearly all of theirs.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <string>
#include <vector>

namespace laurelhoist {

/** A pool whose endpoints this host has lost, or reaches again. */
struct reach_change {
    std::string pool;
    bool is_lost = false;
    int unreachable = 0; ///< endpoints to which the last connection failed
    int reachable = 0;   ///< endpoints to which a connection was made lately
    int listed = 0;      ///< endpoints that take work
};
LAUREL_VALUE_TYPE(reach_change, pool, is_lost, unreachable, reachable, listed)

/** Which endpoints this host reaches, by the outcome of its connections. No I/O; the time is an argument. */
class endpoint_reach {
public:
    /** Takes the endpoints as the store lists them and forgets those that are not listed. */
    void update(const std::vector<endpoint_record>& endpoints);
    /** Records that a new connection to \p endpoint was made. Connections that are already open do not count:
     * they may live on while new ones are refused. */
    void on_connected(const std::string& endpoint, time_point now);
    /** Records that a new connection to \p endpoint failed, or was not made within \ref slow_connect. */
    void on_unreachable(const std::string& endpoint, time_point now);
    /** Records that \p endpoint broke off or did not answer, so that the next probes include it. */
    void on_suspected(const std::string& endpoint);

    /** Decides again which pools are lost. \return those for which the decision has changed */
    std::vector<reach_change> evaluate(time_point now);
    /** \return the endpoints to which a connection should be opened now, only to see whether it is made. */
    std::vector<endpoint_record> next_probes(time_point now);

    bool has_lost(const std::string& pool) const { return lost_.count(pool) > 0; }
    /** \return whether the pool of \p endpoint is lost, so that its failures may show only lost links. */
    bool has_lost_pool_of(const std::string& endpoint) const { return has_lost(pool_of(endpoint)); }
    /** \return the pool of \p endpoint; empty if it is not listed. */
    std::string pool_of(const std::string& endpoint) const;
    /** \return the lost pools, sorted by name. */
    std::vector<std::string> lost_pools() const;
    /** \return whether the last connection to \p endpoint failed. */
    bool is_unreachable(const std::string& endpoint) const;

private:
    enum class link_state { unknown, reachable, unreachable };
    struct link {
        endpoint_record endpoint;
        link_state state = link_state::unknown;
        time_point seen_at;   ///< when \ref state was last observed
        time_point probed_at; ///< when it was last returned by \ref next_probes
        bool is_suspected = false;
    };
    struct pool_count {
        int unreachable = 0;
        int reachable = 0;
        int listed = 0;
    };
    using counts_by_pool = std::map<std::string, pool_count>;

    void observe(const std::string& endpoint, link_state state, time_point now);
    bool is_counted(const link& observed, time_point now) const;
    counts_by_pool count(time_point now) const;
    std::size_t probe_limit(const std::string& pool, const pool_count& counts) const;

    std::map<std::string, link> links_;      ///< by endpoint name
    std::map<std::string, time_point> lost_; ///< lost pools, and since when
};

/// A connection that is not made within this time counts as failed for \ref endpoint_reach. Connecting takes
/// a few ms.
constexpr duration slow_connect = milliseconds(500);

} // namespace laurelhoist
