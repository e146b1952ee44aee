/** \file
 * Defines the one place that decides whether a host may send a request of a service to one more endpoint.
 */
#pragma once

#include "base/mechanisms.h"
#include "recovery/recovery.h"
#include "routing/retry_budget.h"

namespace laurelhoist {

/** The repeats of one service's requests by this host: retries after failures, streams that are resumed, and
 * steps up to a larger model. */
class repeat_allowance {
public:
    repeat_allowance(const repeat_bound& bound, const mechanisms& in_use, time_point now)
        : in_use_{in_use}, shared_{bound, now} {}

    void set_hosts(std::size_t hosts) { shared_.set_hosts(hosts); }
    /** Records a request of a caller. */
    void on_request(time_point now);
    /** Takes back a request that another host handles. */
    void on_handed_over(time_point now) { shared_.on_handed_over(now); }
    /** Takes one retry, or one stream that is resumed. \return whether it may be made now */
    bool try_retry(time_point now);
    /** \return whether \ref try_retry would succeed. */
    bool has_retry(time_point now);
    /** Takes one step up to a larger model. \return whether it may be made now */
    bool try_step_up(time_point now);

private:
    bool try_take(retry_budget& kind, time_point now);

    mechanisms in_use_;
    repeat_bucket shared_;
    /// Keep retries from multiplying the load of a service that is overloaded, and leave room for them beside
    /// the steps up, which are many at any load.
    retry_budget retries_;
    retry_budget steps_up_{retry_allowance{0.65, 6.0}};
};

} // namespace laurelhoist
