#include "relay/repeat_allowance.h"

namespace laurelhoist {

void repeat_allowance::on_request(time_point now) {
    shared_.on_request(now);
    retries_.on_first_attempt();
    steps_up_.on_first_attempt();
}

bool repeat_allowance::try_retry(time_point now) {
    return (!in_use_.bounds_repeats || shared_.has_repeat(now)) && try_take(retries_, now);
}

bool repeat_allowance::has_retry(time_point now) {
    return (!in_use_.bounds_repeats || shared_.has_repeat(now)) && retries_.has_token();
}

bool repeat_allowance::try_step_up(time_point now) {
    return (!in_use_.bounds_repeats || shared_.has_spare_repeat(now)) && try_take(steps_up_, now);
}

bool repeat_allowance::try_take(retry_budget& kind, time_point now) {
    if (!kind.try_take()) {
        return false;
    }
    shared_.on_repeat(now);
    return true;
}

} // namespace laurelhoist
