// The part of an exchange that decides under load: whether a request may be placed, how urgent it is, and
// when a refused caller may return.
#include "relay/exchange.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration retry_after_full = milliseconds(700);

} // namespace

bool exchange::admit_load() {
    return true;
}

int exchange::priority() const {
    return team_ != nullptr && team_->priority ? *team_->priority : route_->priority;
}

int exchange::urgency() const {
    constexpr int base_urgency = 3;
    constexpr int least_urgent = 9;
    return std::clamp(base_urgency + priority(), 0, least_urgent);
}

duration exchange::time_to_room(time_point) const {
    return retry_after_full;
}

} // namespace laurelhoist
