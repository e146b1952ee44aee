/** \file
 * Tells ends of endpoints' processes that come together, which one external cause explains, from single ones.
 *
 * Load pattern: a quarter of the engines of a service ends in one moment. Hosts learn of it at different
 * times: at once from reset connections, seconds later from a restart in the list. Each end by itself looks
 * like that of an engine that a request ended, and what many requests share was in flight at most of them.
 *
 * An end is joint if at least \ref min_joint_ends other processes of its pool ended within \ref
 * joint_window of it. Since an end may be learned late, an attempt that was in flight while such ends
 * happened may have ended with them.
 */
#pragma once

#include "membership/host_list.h"
#include "recovery/crash_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/// Ends that happen at most this far apart may have one cause: reset connections show them within this time.
/// In a longer one, the ends under several crashing requests would hide one another.
constexpr duration joint_window = milliseconds(100);
/// An end learned later than this is not attributed to earlier ends that came together.
constexpr duration max_end_delay = seconds(3);

/** \return how many other ends make one joint in a pool of \p listed endpoints: fewer happen by chance where
 * engines end three times a second. */
int min_joint_ends(int listed);

/** Ends that came together. */
struct joint_ends {
    std::string pool;
    time_point first;
    time_point last;
    int count = 0;
};

/** The processes known to have ended in the last seconds, with the earliest time known. No I/O; the time is
 * an argument. */
class ended_processes {
public:
    /** Takes the endpoints as the store lists them. A restart in the list is an end of the earlier process.
     * \return whether an end was learned */
    bool update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Records that \p process had ended at \p ended_at. \return whether that is news: reports of an end may
     * arrive repeatedly, and the earliest is the truest */
    bool on_ended(std::uint32_t process, time_point ended_at, time_point now);
    /** Records that \p endpoint refused a connection at \p refused_at. \return whether that is news */
    bool on_refused(const std::string& endpoint, time_point refused_at, time_point now);
    /** Drops ends that are too old to matter. */
    void forget_old(time_point now);

    /** \return whether the attempt was sent to a process known to have ended, and too soon after that end
     * for a restarted one. */
    bool was_sent_to_ended(const endpoint_end& end) const;
    /** \return the most numerous ends that came together in the pool of the process of \p end while the
     * attempt was in flight there, or nothing */
    std::optional<joint_ends> joint_with(const endpoint_end& end) const;
    /** \return the ends that came together and are complete, each once. */
    std::vector<joint_ends> take_joint(time_point now);

private:
    struct listed_process {
        std::string pool;
        time_point listed_since;
        bool is_listed = true;
        std::optional<time_point> ended_at;
    };
    struct listed_pool {
        int listed = 0;
        std::vector<time_point> ends; ///< in order; bounded
    };

    const listed_process* find(std::uint32_t process) const;
    void rebuild_pools();
    /** \return the ends of \p pool within \ref joint_window of \p at, or nothing if they are few. */
    static std::optional<joint_ends> joint_at(const std::string& name, const listed_pool& pool,
                                              time_point at);

    bool has_list_ = false;
    std::map<std::uint32_t, listed_process> processes_; ///< those listed, and those that ended lately
    std::map<std::string, std::uint32_t> current_;      ///< the listed process of each endpoint
    std::map<std::string, listed_pool> pools_;
    std::map<std::string, time_point> taken_until_; ///< by pool, \ref take_joint
};

} // namespace laurelhoist
