/** \file
 * Defines the endpoints that a host may use, computed from the store's list and the store's availability.
 *
 * An endpoint that is missing from the list has left and gets no new requests, with one exception: during a
 * store outage registrations expire although their endpoints are alive, and the endpoints register again
 * within about two seconds of the store's return. A host that used the returned store's list as it is would
 * have no endpoints and refuse all requests. An endpoint that disappears during an outage or within
 * \ref reregistration_time after it is therefore kept until that time is over.
 *
 * An endpoint may restart under its name. A delayed write of its earlier process could then mark it as
 * leaving or restore its old address, so such an entry is ignored for \ref stale_entry_timeout.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <optional>

namespace laurelhoist {

/// The platform guarantees that registrations that expired in an outage are back this long after it.
constexpr duration reregistration_time = milliseconds(2000);
/// Endpoints rewrite their entry about every 1.2 s, which replaces what an earlier process wrote late. An
/// entry that is still there after this time is that of the current process, whose wall clock jumped back
/// between the two starts.
constexpr duration stale_entry_timeout = milliseconds(1500);

class endpoint_roster {
public:
    /** Replaces the list by the one that the store returns now. */
    void update(const std::vector<endpoint_record>& listed, time_point now);
    void on_store_lost() { is_store_lost_ = true; }
    void on_store_regained(time_point now);
    /** Notes that this host stops reading the store and uses copies of other hosts, which say how long to
     * keep endpoints that disappeared. Without this call, a host that stops reading during an outage would
     * keep them for ever. */
    void on_reading_ended() { is_store_lost_ = false; }
    /** \return the endpoints to use: the listed ones, and those kept within their grace period. */
    std::vector<endpoint_record> current(time_point now) const;
    /** \return whether an endpoint is kept that the store does not list. */
    bool has_lapsed() const { return !lapsed_.empty(); }

    /** Keeps endpoints that disappeared until \p until, as the host does whose copy of the store is used. */
    void keep_lapsed_until(time_point until);
    /** \return for how long from now endpoints that disappeared are still kept. */
    duration grace_left(time_point now) const;

private:
    bool is_in_grace(time_point now) const;

    /// A listed entry with an earlier process start than the entry in use.
    struct stale_entry {
        endpoint_record record;
        time_point since;
    };
    /** \return the entry to use for \p listed: the one in use while \p listed counts as stale. */
    endpoint_record resolve_stale_entry(const endpoint_record& listed, time_point now);

    std::vector<endpoint_record> listed_;
    std::map<std::string, stale_entry> stale_entries_; ///< by endpoint name
    std::vector<endpoint_record> lapsed_;              ///< not listed any more, kept within the grace period
    bool is_store_lost_ = false;
    std::optional<time_point> regained_at_;
};

} // namespace laurelhoist
