/** \file
 * Defines the bound on the repeats of a service's requests that keeps the sum over all hosts within the
 * platform's budget.
 *
 * The budget counts all arrivals at a service beyond the first of each request: in any window, at most a
 * ratio of the requests and a slack, over all hosts together. Hosts do not add up their repeats. Each has a
 * token bucket that its own requests fill, so that in a window it makes at most as many repeats as the bucket
 * held at its beginning and the requests have earned since. What the bucket holds is bounded by the requests
 * of the last window, which the budget counts as well, and by this host's part of the slack. The bucket
 * starts nearly empty, so that restarts earn next to nothing. Half of what it may hold is kept for
 * retries: a request that is denied one is lost, while one that is denied a step up is answered.
 *
 * Example: 60 hosts, a ratio of 0.9 and a slack of 160 in ten seconds. A host with 80 requests in the last
 * ten seconds holds at most 0.18 x 80 + 0.5 x 160 / 60 = 15 repeats, and earns 0.68 with each request.
 */
#pragma once

#include "base/base.h"

#include <array>

namespace laurelhoist {

/** The budget of all hosts for the repeats at one service. */
struct repeat_bound {
    double ratio = 0.9; ///< repeats allowed for each request
    duration window = seconds(10);
    double slack = 50; ///< repeats allowed in a window beyond the ratio
};

/** Token bucket for all repeats that this host makes at one service. */
class repeat_bucket {
public:
    repeat_bucket(const repeat_bound& bound, time_point now) : bound_{bound}, since_{now} {}

    /** Sets the number of hosts that share the slack. The largest number counts: hosts that cannot hear one
     * another must not share the slack among fewer. */
    void set_hosts(std::size_t hosts);
    void on_request(time_point now);
    /** Takes back what a request has earned, because another host handles it and earns it there. */
    void on_handed_over(time_point now);
    /** \return whether the bucket holds a repeat. */
    bool has_repeat(time_point now);
    /** \return whether the bucket holds a repeat beyond those that are kept for retries. */
    bool has_spare_repeat(time_point now);
    /** Takes a repeat. */
    void on_repeat(time_point now);

private:
    static constexpr std::size_t steps = 20; ///< the window is divided into this many

    double part_of_slack() const;
    /// The most that the bucket may hold at present.
    double capacity() const;
    /// Drops the requests that have left the window, and what the bucket may not hold any more.
    void advance(time_point now);

    repeat_bound bound_;
    time_point since_;
    std::size_t hosts_ = 1;
    double tokens_ = 0;
    bool has_started_ = false; ///< a request has arrived
    std::int64_t step_ = 0;    ///< number of the present step
    std::array<int, steps> requests_by_step_{};
};

} // namespace laurelhoist
