/** \file
 * Defines which endpoints have asked this host to send nothing for a time.
 *
 * An endpoint that turns a request away may say for how long it wants nothing more from the host that sent
 * it. That is between the two: others may go on, and are not told.
 *
 * Load pattern: five of 18 engines turn away all that comes and ask for three seconds. Each refuses at once
 * and so looks idle, and requests go there three times over before its failures take it out.
 */
#pragma once

#include "membership/host_list.h"

#include <map>
#include <optional>
#include <string>

namespace laurelhoist {

/** The endpoints that this host leaves alone for a time. No I/O; the time is an argument. */
class back_offs {
public:
    /** Takes the endpoints as the store lists them; a new process under a known name has asked for nothing.
     * One that is missing may be back before its back_off_period is over. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** \p endpoint wants nothing for \p back_off_period from \p now on. A later request extends an earlier one and never
     * shortens it; nothing that comes meanwhile lifts it. */
    void note(const endpoint_record& endpoint, duration back_off, time_point now);

    /** \return whether requests may go to \p endpoint within \p max_wait. */
    bool may_send_within(const std::string& endpoint, duration max_wait, time_point now) const;
    /** \return whether \p endpoint has asked for back_off_period after \p chosen_at. */
    bool has_begun_since(const std::string& endpoint, time_point chosen_at) const;
    /** \return after what time the first endpoint of \p service that rests now may get a request, or nothing
     * if none rests */
    std::optional<duration> time_until_available(const std::string& service, time_point now) const;

private:
    struct back_off_period {
        endpoint_record endpoint;
        time_point asked_at;
        time_point until;
    };
    const back_off_period* find(const std::string& endpoint) const;

    std::map<std::string, back_off_period> periods_; ///< by endpoint
};

} // namespace laurelhoist
