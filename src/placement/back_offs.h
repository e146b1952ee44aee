/** \file
 * Tracks the backoff periods that endpoints have requested from this host.
 *
 * An endpoint that rejects a request may state for how long it wants no further requests from the host that
 * sent it. The period binds that host only: other hosts may go on sending and are not told.
 *
 * Load pattern: five of 18 engines reject every request and ask for three seconds. Each rejects at once and
 * therefore looks idle, so without backoff it gets three requests before its failures eject it.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <optional>
#include <string>

namespace laurelhoist {

/** The endpoints to which this host sends nothing for a time. No I/O; the time is an argument. */
class back_offs {
public:
    /** Takes the endpoints as the store lists them and drops the backoff periods that are over or that an
     * earlier process under the same name requested. The period of an endpoint that is not listed is kept:
     * it may be listed again before the period ends. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Records that \p endpoint wants no requests for \p back_off from \p now on. A later call can extend the
     * period and never shortens it; no later answer of the same process lifts it. */
    void note(const endpoint_record& endpoint, duration back_off, time_point now);

    /** \return whether requests may go to \p endpoint within \p max_wait. */
    bool may_send_within(const std::string& endpoint, duration max_wait, time_point now) const;
    /** \return whether \p endpoint asked for a backoff at or after \p chosen_at. */
    bool has_begun_since(const std::string& endpoint, time_point chosen_at) const;
    /** \return the time until the first backoff period among the endpoints of \p service ends, or nothing if
     * none is in force */
    std::optional<duration> time_until_available(const std::string& service, time_point now) const;

private:
    struct back_off_period {
        endpoint_record endpoint;
        time_point asked_at;
        time_point until;
    };
    const back_off_period* find(const std::string& endpoint) const;

    std::map<std::string, back_off_period> periods_; ///< by endpoint name
};

} // namespace laurelhoist
