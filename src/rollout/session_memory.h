/** \file
 * Defines the record of the sessions that have recently used the established release of a service.
 *
 * While a new release is on trial, a session that the established release has just served stays there, and a
 * new session may use the new release. Callers connect to any host, so hosts send one another the sessions
 * that they have served. The tracker records only sessions whose hash falls into the trial group: the others
 * stay on the established release anyway.
 */
#pragma once

#include "base/base.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace laurelhoist {

/** One session's last use of the established release, in the form that hosts exchange. */
struct session_use {
    std::string service;
    std::uint64_t session = 0; ///< hash of the session id
    std::int64_t age_ms = 0;   ///< time since its last request there ended; 0 while one is in flight
};
LAUREL_VALUE_TYPE(session_use, service, session, age_ms)

/** Recent sessions of this host and of those it hears from. */
class session_memory {
public:
    /** \param lifetime how long after its last request a session still counts as the same one */
    explicit session_memory(duration lifetime) : lifetime_{lifetime} {}

    void on_started(const std::string& service, std::uint64_t session, time_point now);
    void on_finished(const std::string& service, std::uint64_t session, time_point now);
    /** Merges sessions that another host has served. */
    void merge(const std::vector<session_use>& uses, time_point now);

    /** \return whether \p session used the established release so recently that it has to stay there. */
    bool is_recent(const std::string& service, std::uint64_t session, time_point now) const;
    /** \return up to one message of this host's own uses that have changed since they were last returned. A
     * session with a request in flight is returned each time. */
    std::vector<session_use> take_updates(time_point now);
    /** Drops expired sessions; to be called a few times a second, with or without a roll-out. */
    void forget_old(time_point now);
    std::size_t size() const { return uses_.size(); }

private:
    using key = std::pair<std::string, std::uint64_t>;
    struct last_use {
        int in_flight = 0;      ///< requests in flight at this host
        time_point at;          ///< when the last request began or ended, here or at another host
        bool is_unsent = false; ///< changed since it was last sent to the other hosts
    };

    duration lifetime_;
    std::map<key, last_use> uses_;
    key last_sent_; ///< last key that \ref take_updates returned
};

} // namespace laurelhoist
