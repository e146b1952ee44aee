/** \file
 * Decides which requests a host still sends to endpoints while it stops. The decisions are pure; the time is
 * an argument.
 *
 * Load pattern: a host stops while requests wait for endpoints. A request that leaves the waiting room late
 * in the stop is cut off when the process ends, and one that may not be repeated is then lost. Others that
 * wait could be answered in time, so that the host cannot simply refuse them all.
 */
#pragma once

#include "traffic/traffic.h"

#include <deque>
#include <optional>

namespace laurelhoist {

/** How long answers on one route take, from being sent to an endpoint until they are complete. */
class answer_times {
public:
    /** Records a complete answer. */
    void observe(duration took, time_point now);
    /** \return a time that 19 of 20 recent answers did not exceed, or nothing if there are too few of them.
     */
    std::optional<duration> high(time_point now) const;
    /** \return whether no answer is recent. */
    bool is_old(time_point now) const;

private:
    struct sample {
        time_point at;
        duration took{};
    };
    std::deque<sample> samples_; ///< the last ones, oldest first
};

/** What decides whether a request can be answered before the process ends. */
struct stop_prospect {
    route_kind kind = route_kind::non_idempotent;
    /// The request has just arrived. Its caller loses nothing by going to another host.
    bool is_arriving = false;
    duration until_stop{};   ///< until the process ends
    duration until_expiry{}; ///< until the time limit of the request
    duration wait{};         ///< expected wait for an endpoint; 0 if it has one or if the wait is unknown
    duration answer_time{};  ///< expected time from being sent to the end of the answer
};

/** \return the time that an answer on \p route takes if no recent one is known. */
duration usual_answer_time(const traffic_route& route);

/** \return whether the request ends before the process does. Its time limit guarantees this if it is earlier.
 * Otherwise the expected time decides, but not for a request other than a stream that has just arrived:
 * cut off, it would be unknown whether it ran. A stream that has just arrived needs the usual time of a
 * stream at least, even if recent ones took less. */
bool can_finish_before_stop(const stop_prospect& prospect);

} // namespace laurelhoist
