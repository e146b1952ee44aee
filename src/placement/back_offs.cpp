#include "placement/back_offs.h"

#include "base/base.h"

#include <algorithm>

namespace laurelhoist {

void back_offs::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    if (rests_.empty()) {
        return;
    }
    for (const endpoint_record& endpoint : endpoints) {
        const auto found = rests_.find(endpoint.name);
        if (found != rests_.end() && is_restart_of(endpoint, found->second.endpoint)) {
            rests_.erase(found);
        }
    }
    for (auto item = rests_.begin(); item != rests_.end();) {
        item = now < item->second.until ? std::next(item) : rests_.erase(item);
    }
}

void back_offs::note(const endpoint_record& endpoint, duration rest_time, time_point now) {
    rest& held = rests_[endpoint.name];
    const time_point before = is_restart_of(endpoint, held.endpoint) ? now : held.until;
    held = {endpoint, now, std::max(before, now + rest_time)};
}

const back_offs::rest* back_offs::find(const std::string& endpoint) const {
    const auto found = rests_.find(endpoint);
    return found == rests_.end() ? nullptr : &found->second;
}

bool back_offs::may_send_within(const std::string& endpoint, duration patience, time_point now) const {
    const rest* held = find(endpoint);
    return held == nullptr || held->until <= now + patience;
}

bool back_offs::has_begun_since(const std::string& endpoint, time_point chosen_at) const {
    const rest* held = find(endpoint);
    return held != nullptr && held->asked_at >= chosen_at;
}

std::optional<duration> back_offs::room_in(const std::string& service, time_point now) const {
    std::optional<duration> first;
    for (const auto& [name, held] : rests_) {
        if (held.endpoint.pool == service && now < held.until) {
            const duration left = held.until - now;
            first = first ? std::min(*first, left) : left;
        }
    }
    return first;
}

} // namespace laurelhoist
