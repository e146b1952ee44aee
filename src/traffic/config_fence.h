/** \file
 * Defines the freshness check of the configuration: when a host last knew its configuration to be current,
 * and whether that is recent enough to accept a request with an API key.
 *
 * A withdrawn key must not be accepted for longer than the revocation bound, even by a host that is
 * partitioned and does not learn of the withdrawal. Therefore a request with a key runs only if the
 * configuration was confirmed recently enough before the request arrived. Example: with a bound of 5 s, a
 * margin of 0.3 s and the last confirmation at 10.0 s, a request that arrives at 14.6 s runs. One that
 * arrives at 14.8 s is refused, because its key may have been withdrawn just after 10.0 s, and less than the
 * margin is left of the bound.
 */
#pragma once

#include "base/base.h"

#include <optional>

namespace laurelhoist {

/** The time up to which a host knows its configuration to be current. */
class config_freshness {
public:
    /** \param bound how long a key may still be accepted after its withdrawal
     * \param margin safety margin for the latency to the caller and for clock drift */
    config_freshness(duration bound, duration margin) : bound_{bound}, margin_{margin} {}

    /** Records that the configuration in force was the newest at \p as_of; earlier times have no effect. */
    void confirm(time_point as_of) {
        confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, as_of) : as_of;
    }
    /** \return whether a request with a key that arrived at \p arrival may run. */
    bool admits(time_point arrival) const {
        return confirmed_at_ && *confirmed_at_ + bound_ - margin_ > arrival;
    }
    /** \return the time since the last confirmation; the largest duration if there was none. */
    duration age(time_point now) const { return confirmed_at_ ? now - *confirmed_at_ : duration::max(); }

private:
    duration bound_;
    duration margin_;
    std::optional<time_point> confirmed_at_;
};

} // namespace laurelhoist
