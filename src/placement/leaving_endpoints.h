/** \file
 * Defines which endpoints have said themselves that they are leaving.
 *
 * Their entries in the store may go on to say that they are ready: some never write that they leave, and what
 * they wrote before may be read late. What a process has said of its own end holds until it is gone.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <string>

namespace laurelhoist {

/** The endpoints that get nothing new because they said so. No I/O; the time is an argument. */
class leaving_endpoints {
public:
    /** Takes the endpoints as the store lists them. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** \p endpoint says in an answer that it is leaving. \return whether that is news */
    bool note(const endpoint_record& endpoint, time_point now);
    bool is_leaving(const endpoint_record& endpoint) const;
    /** \return whether \p endpoint said so after \p chosen_at. */
    bool has_begun_since(const endpoint_record& endpoint, time_point chosen_at) const;

private:
    struct departure {
        time_point said_at;
        time_point listed_at; ///< when the store last listed it
    };
    std::map<std::uint32_t, departure> departures_; ///< by process
};

} // namespace laurelhoist
