/** \file
 * Tracks the endpoints that have announced in an answer that they are leaving.
 *
 * The store may go on listing such an endpoint as ready: some endpoints never write that they are leaving,
 * and an entry written earlier may be read late. An announcement therefore holds until the process is gone.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <string>

namespace laurelhoist {

/** The endpoints that get no new requests because they are leaving. No I/O; the time is an argument. */
class leaving_endpoints {
public:
    /** Takes the endpoints as the store lists them and drops announcements of processes that are gone. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Records that \p endpoint announced in an answer that it is leaving.
     * \return whether this was not known before */
    bool note(const endpoint_record& endpoint, time_point now);
    bool is_leaving(const endpoint_record& endpoint) const;
    /** \return whether \p endpoint announced at or after \p chosen_at that it is leaving. */
    bool has_begun_since(const endpoint_record& endpoint, time_point chosen_at) const;

private:
    struct departure {
        time_point announced_at;
        time_point listed_at; ///< when the store last listed the process
    };
    std::map<std::uint32_t, departure> departures_; ///< by \ref process_hash
};

} // namespace laurelhoist
