/** \file
 * Defines the endpoints that a host believes in, from what the store lists and how the store has fared.
 *
 * An endpoint that is missing from the list has left and gets nothing new. The exception: while the store is
 * away, registrations lapse although their endpoints live, and they return within about two seconds of it.
 * Taken at its word, a store that comes back would empty the list and turn every caller away. So an endpoint
 * that vanishes during an outage or within \ref reregistration_time after it is kept for that long.
 *
 * An endpoint may start again under its name. A write of its earlier process that took effect late would then
 * say that it is leaving, or where it was: for \ref stale_entry_timeout such an entry changes nothing.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <optional>

namespace laurelhoist {

/// Registrations that lapsed during an outage are back this long after it (the platform's promise).
constexpr duration reregistration_time = milliseconds(2000);
/// Endpoints write their entry about every 1.2 s: what an earlier process left in their place is gone by
/// then. An entry that stays is true: the time of day has jumped back between the two starts.
constexpr duration stale_entry_timeout = milliseconds(1500);

class endpoint_roster {
public:
    /** Takes the list as the store gives it now. */
    void update(const std::vector<endpoint_record>& listed, time_point now);
    void on_store_lost() { is_store_lost_ = true; }
    void on_store_regained(time_point now);
    /** This host reads the store no longer and goes by other hosts' copies, which say how long to keep what
     * vanished. Without this, one that stopped reading in an outage would keep it for ever. */
    void on_reading_ended() { is_store_lost_ = false; }
    /** \return the endpoints to use; those whose return time is over are left out. */
    std::vector<endpoint_record> current(time_point now) const;
    /** \return whether an endpoint is kept that the store does not list. */
    bool has_lapsed() const { return !lapsed_.empty(); }

    /** Keeps vanished endpoints until \p until, as another host that reads the store does. */
    void keep_lapsed_until(time_point until);
    /** \return for how long from now vanished endpoints are still kept. */
    duration grace_left(time_point now) const;

private:
    bool is_in_grace(time_point now) const;

    /// An entry that names an earlier start than the one that is resolve_stale_entry.
    struct stale_entry {
        endpoint_record record;
        time_point since;
    };
    endpoint_record resolve_stale_entry(const endpoint_record& listed, time_point now);

    std::vector<endpoint_record> listed_;
    std::map<std::string, stale_entry> stale_entries_; ///< by name
    std::vector<endpoint_record> lapsed_;
    bool is_store_lost_ = false;
    std::optional<time_point> regained_at_;
};

} // namespace laurelhoist
