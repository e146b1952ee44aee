#include "placement/leaving_endpoints.h"

#include "base/base.h"

namespace laurelhoist {

namespace {

/// An announcement is kept for this long after the store last listed the process, because an entry that
/// expired in an outage of the store may be listed again.
constexpr duration departure_ttl = seconds(60);

std::uint32_t process_code_of(const endpoint_record& endpoint) {
    return process_hash(endpoint.name, endpoint.started_at_ms);
}

} // namespace

void leaving_endpoints::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    if (departures_.empty()) {
        return;
    }
    for (const endpoint_record& endpoint : endpoints) {
        const auto found = departures_.find(process_code_of(endpoint));
        if (found != departures_.end()) {
            found->second.listed_at = now;
        }
    }
    for (auto item = departures_.begin(); item != departures_.end();) {
        const bool is_gone = now - item->second.listed_at > departure_ttl;
        item = is_gone ? departures_.erase(item) : std::next(item);
    }
}

bool leaving_endpoints::note(const endpoint_record& endpoint, time_point now) {
    return departures_.insert({process_code_of(endpoint), {now, now}}).second;
}

bool leaving_endpoints::is_leaving(const endpoint_record& endpoint) const {
    return !departures_.empty() && departures_.count(process_code_of(endpoint)) > 0;
}

bool leaving_endpoints::has_begun_since(const endpoint_record& endpoint, time_point chosen_at) const {
    const auto found = departures_.find(process_code_of(endpoint));
    return found != departures_.end() && found->second.announced_at >= chosen_at;
}

} // namespace laurelhoist
