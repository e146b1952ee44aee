/** \file
 * Defines what hosts know of the sessions that used the established release of a service lately.
 *
 * While a new release is on trial, a session that has just been answered by the established one must stay
 * there, and a session that is new may meet the new one. Callers connect to any host, so hosts tell one
 * another of the sessions that they have served. Only sessions whose hash falls into the trial group are
 * remembered: the others stay on the established release anyway.
 */
#pragma once

#include "base/base.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace laurelhoist {

/** One session's last use of the established release, as hosts tell one another. */
struct session_use {
    std::string service;
    std::uint64_t session = 0; ///< hash
    std::int64_t age_ms = 0;   ///< since its last request there ended; 0 while one is under way
};
LAUREL_VALUE_TYPE(session_use, service, session, age_ms)

class session_memory {
public:
    /** \param lifetime for how long after its last request a session still counts as the same one */
    explicit session_memory(duration lifetime) : lifetime_{lifetime} {}

    void on_started(const std::string& service, std::uint64_t session, time_point now);
    void on_finished(const std::string& service, std::uint64_t session, time_point now);
    /** Takes what another host has served. */
    void merge(const std::vector<session_use>& uses, time_point now);

    /** \return whether \p session used the established release so lately that it has to stay there. */
    bool is_recent(const std::string& service, std::uint64_t session, time_point now) const;
    /** \return this host's own uses that still count and that have changed since the last call. */
    std::vector<session_use> take_updates(time_point now);
    /** Drops what no longer counts; to be called a few times a second, with or without a roll-out. */
    void forget_old(time_point now);
    std::size_t size() const { return uses_.size(); }

private:
    using key = std::pair<std::string, std::uint64_t>;
    struct last_use {
        int under_way = 0; ///< requests at this host
        time_point at;     ///< when the last one began or ended, here or at another host
        bool is_unsent = false;
    };

    duration lifetime_;
    std::map<key, last_use> uses_;
};

} // namespace laurelhoist
