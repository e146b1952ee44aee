/** \file
 * Defines the fence against withdrawn keys: up to which moment a host knows the configuration, and whether
 * that suffices for a request.
 *
 * A key that was withdrawn must not be honoured longer than the revocation bound, also at a host that is
 * cut off and hears of no withdrawal. So a keyed request is run only if the configuration was confirmed
 * recently enough before it arrived. Example: bound 5 s, margin 0.3 s; last confirmed at 10.0 s. A request
 * that arrives at 14.6 s runs; one at 14.8 s is refused, because a key withdrawn at 10.0 s might by then
 * have been dead for longer than the bound when the request was sent.
 */
#pragma once

#include "base/base.h"

#include <optional>

namespace laurelhoist {

class config_freshness {
public:
    /** \param bound for how long after its withdrawal a key may still be honoured
     * \param margin kept for the caller's link and the rate of clocks */
    config_freshness(duration bound, duration margin) : bound_{bound}, margin_{margin} {}

    /** Notes that the configuration in force was the newest at \p as_of; never moves back. */
    void confirm(time_point as_of) {
        confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, as_of) : as_of;
    }
    /** \return whether a keyed request that arrived at \p arrival may run. */
    bool admits(time_point arrival) const {
        return confirmed_at_ && *confirmed_at_ + bound_ - margin_ > arrival;
    }
    /** \return how old the knowledge is at \p now; the largest duration if nothing was ever confirmed. */
    duration age(time_point now) const { return confirmed_at_ ? now - *confirmed_at_ : duration::max(); }

private:
    duration bound_;
    duration margin_;
    std::optional<time_point> confirmed_at_;
};

} // namespace laurelhoist
