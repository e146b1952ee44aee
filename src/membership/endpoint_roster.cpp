#include "membership/endpoint_roster.h"

#include <algorithm>
#include <set>

namespace laurelhoist {

void endpoint_roster::on_store_regained(time_point now) {
    is_store_lost_ = false;
    regained_at_ = now;
}

void endpoint_roster::keep_lapsed_until(time_point until) {
    const time_point regained = until - return_time;
    regained_at_ = regained_at_ ? std::max(*regained_at_, regained) : regained;
}

duration endpoint_roster::grace_left(time_point now) const {
    if (is_store_lost_) {
        return return_time;
    }
    return regained_at_ ? std::max<duration>(duration::zero(), *regained_at_ + return_time - now)
                        : duration::zero();
}

bool endpoint_roster::is_in_grace(time_point now) const {
    return grace_left(now) > duration::zero();
}

void endpoint_roster::update(const std::vector<endpoint_record>& listed, time_point now) {
    std::set<std::string> names;
    for (const endpoint_record& endpoint : listed) {
        names.insert(endpoint.name);
    }
    std::vector<endpoint_record> kept;
    const auto keep_if_missing = [&](const std::vector<endpoint_record>& endpoints) {
        for (const endpoint_record& endpoint : endpoints) {
            // One that had said it was leaving has left.
            if (endpoint.state == "live" && names.insert(endpoint.name).second) {
                kept.push_back(endpoint);
            }
        }
    };
    if (is_in_grace(now)) {
        keep_if_missing(listed_);
        keep_if_missing(lapsed_);
    }
    lapsed_ = std::move(kept);
    listed_ = listed;
}

std::vector<endpoint_record> endpoint_roster::current(time_point now) const {
    std::vector<endpoint_record> endpoints = listed_;
    if (is_in_grace(now)) {
        endpoints.insert(endpoints.end(), lapsed_.begin(), lapsed_.end());
    }
    return endpoints;
}

} // namespace laurelhoist
