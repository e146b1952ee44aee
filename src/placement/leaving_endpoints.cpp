#include "placement/leaving_endpoints.h"

#include "base/base.h"

namespace laurelhoist {

namespace {

/// An entry that lapsed in an outage of the store may be back for a moment; after this it is gone for good.
constexpr duration farewell_memory = seconds(60);

std::uint32_t code_of(const endpoint_record& endpoint) {
    return process_code(endpoint.name, endpoint.started_at_ms);
}

} // namespace

void leaving_endpoints::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    if (farewells_.empty()) {
        return;
    }
    for (const endpoint_record& endpoint : endpoints) {
        const auto found = farewells_.find(code_of(endpoint));
        if (found != farewells_.end()) {
            found->second.listed_at = now;
        }
    }
    for (auto item = farewells_.begin(); item != farewells_.end();) {
        const bool is_gone = now - item->second.listed_at > farewell_memory;
        item = is_gone ? farewells_.erase(item) : std::next(item);
    }
}

bool leaving_endpoints::note(const endpoint_record& endpoint, time_point now) {
    return farewells_.insert({code_of(endpoint), {now, now}}).second;
}

bool leaving_endpoints::is_leaving(const endpoint_record& endpoint) const {
    return !farewells_.empty() && farewells_.count(code_of(endpoint)) > 0;
}

bool leaving_endpoints::has_begun_since(const endpoint_record& endpoint, time_point chosen_at) const {
    const auto found = farewells_.find(code_of(endpoint));
    return found != farewells_.end() && found->second.said_at >= chosen_at;
}

} // namespace laurelhoist
