#include "membership/endpoint_roster.h"

#include <algorithm>
#include <set>

namespace laurelhoist {

void endpoint_roster::on_store_regained(time_point now) {
    is_store_lost_ = false;
    regained_at_ = now;
}

void endpoint_roster::keep_lapsed_until(time_point until) {
    const time_point regained = until - reregistration_time;
    regained_at_ = regained_at_ ? std::max(*regained_at_, regained) : regained;
}

duration endpoint_roster::grace_left(time_point now) const {
    if (is_store_lost_) {
        return reregistration_time;
    }
    return regained_at_ ? std::max<duration>(duration::zero(), *regained_at_ + reregistration_time - now)
                        : duration::zero();
}

bool endpoint_roster::is_in_grace(time_point now) const {
    return grace_left(now) > duration::zero();
}

endpoint_record endpoint_roster::resolve_stale_entry(const endpoint_record& listed, time_point now) {
    const auto held = std::find_if(listed_.begin(), listed_.end(),
                                   [&](const endpoint_record& each) { return each.name == listed.name; });
    if (held == listed_.end() || !is_restart_of(*held, listed) || listed.started_at_ms == 0) {
        stale_entries_.erase(listed.name);
        return listed;
    }
    const bool is_first = stale_entries_.count(listed.name) == 0;
    stale_entry& stale = stale_entries_[listed.name];
    stale.record = listed;
    if (is_first) {
        stale.since = now;
        log_warning("late_endpoint_entry", {{"endpoint", listed.name},
                                            {"started_at_ms", listed.started_at_ms},
                                            {"believed_start_ms", held->started_at_ms}});
    }
    return now - stale.since < stale_entry_timeout ? *held : listed;
}

void endpoint_roster::update(const std::vector<endpoint_record>& listed, time_point now) {
    std::set<std::string> names;
    for (const endpoint_record& endpoint : listed) {
        names.insert(endpoint.name);
    }
    std::vector<endpoint_record> kept;
    const auto keep_if_missing = [&](const std::vector<endpoint_record>& endpoints) {
        for (const endpoint_record& endpoint : endpoints) {
            // An endpoint that announced that it is leaving has left.
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
    std::vector<endpoint_record> taken;
    for (const endpoint_record& endpoint : listed) {
        taken.push_back(resolve_stale_entry(endpoint, now));
    }
    listed_ = std::move(taken);
}

std::vector<endpoint_record> endpoint_roster::current(time_point now) const {
    std::vector<endpoint_record> endpoints = listed_;
    for (endpoint_record& endpoint : endpoints) {
        const auto stale = stale_entries_.find(endpoint.name);
        if (stale != stale_entries_.end() && now - stale->second.since >= stale_entry_timeout) {
            endpoint = stale->second.record;
        }
    }
    if (is_in_grace(now)) {
        endpoints.insert(endpoints.end(), lapsed_.begin(), lapsed_.end());
    }
    return endpoints;
}

} // namespace laurelhoist
