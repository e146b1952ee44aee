#include "placement/back_offs.h"

#include "base/base.h"

#include <algorithm>

namespace laurelhoist {

void back_offs::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    if (periods_.empty()) {
        return;
    }
    for (const endpoint_record& endpoint : endpoints) {
        const auto found = periods_.find(endpoint.name);
        if (found != periods_.end() && is_restart_of(endpoint, found->second.endpoint)) {
            periods_.erase(found);
        }
    }
    for (auto item = periods_.begin(); item != periods_.end();) {
        item = now < item->second.until ? std::next(item) : periods_.erase(item);
    }
}

void back_offs::note(const endpoint_record& endpoint, duration back_off, time_point now) {
    back_off_period& period = periods_[endpoint.name];
    const time_point before = is_restart_of(endpoint, period.endpoint) ? now : period.until;
    period = {endpoint, now, std::max(before, now + back_off)};
}

const back_offs::back_off_period* back_offs::find(const std::string& endpoint) const {
    const auto found = periods_.find(endpoint);
    return found == periods_.end() ? nullptr : &found->second;
}

bool back_offs::may_send_within(const std::string& endpoint, duration max_wait, time_point now) const {
    const back_off_period* period = find(endpoint);
    return period == nullptr || period->until <= now + max_wait;
}

bool back_offs::has_begun_since(const std::string& endpoint, time_point chosen_at) const {
    const back_off_period* period = find(endpoint);
    return period != nullptr && period->asked_at >= chosen_at;
}

std::optional<duration> back_offs::time_until_available(const std::string& service, time_point now) const {
    std::optional<duration> first;
    for (const auto& [name, period] : periods_) {
        if (period.endpoint.pool == service && now < period.until) {
            const duration left = period.until - now;
            first = first ? std::min(*first, left) : left;
        }
    }
    return first;
}

} // namespace laurelhoist
