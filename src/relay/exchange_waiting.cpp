// The part of an exchange that waits for an endpoint with room.
#include "relay/exchange.h"

namespace laurelhoist {

duration exchange::max_queue_time() const {
    constexpr int share_of_objective = 2;
    return route_->latency_objective / share_of_objective;
}

// on_tick calls check_waiting every 50 ms.
void exchange::wait_for_room(time_point) {}

void exchange::check_waiting(time_point now) {
    if (now >= expires_at_ || now - waiting_since_ > max_queue_time()) {
        answer_failure(may_have_run_ ? status_gateway_timeout : status_unavailable, "no_room",
                       "retry later: every endpoint of the service is full", time_to_room(now));
    } else {
        dispatch();
    }
}

} // namespace laurelhoist
