#include "placement/rate_limits.h"

#include <algorithm>

namespace laurelhoist {

void rate_limits::update(const std::vector<endpoint_record>& endpoints) {
    std::map<std::string, belief> kept;
    for (const endpoint_record& endpoint : endpoints) {
        const auto found = beliefs_.find(endpoint.name);
        if (found != beliefs_.end() && !is_restart_of(endpoint, found->second.endpoint)) {
            kept.insert(*found);
        }
    }
    beliefs_ = std::move(kept);
}

bool rate_limits::take(limit_statement& held, const limit_statement& said) {
    const bool is_newer = said.sent_at > held.heard_at;
    const bool is_older = said.heard_at < held.sent_at;
    const bool is_same = said.requests_per_s == held.requests_per_s;
    const bool is_stricter =
        said.requests_per_s && (!held.requests_per_s || *said.requests_per_s < *held.requests_per_s);
    if (is_older || !(is_newer || is_same || is_stricter)) {
        return false;
    }
    held.requests_per_s = said.requests_per_s;
    held.sent_at = std::max(held.sent_at, said.sent_at);
    held.heard_at = std::max(held.heard_at, said.heard_at);
    return !is_same;
}

bool rate_limits::note(const endpoint_record& endpoint, const limit_statement& said) {
    const auto found = beliefs_.find(endpoint.name);
    if (found != beliefs_.end()) {
        return take(found->second.said, said);
    }
    if (!said.requests_per_s) {
        return false;
    }
    beliefs_.insert({endpoint.name, {endpoint, said}});
    return true;
}

std::optional<double> rate_limits::limit_of(const std::string& endpoint) const {
    const auto found = beliefs_.find(endpoint);
    return found == beliefs_.end() ? std::nullopt : found->second.said.requests_per_s;
}

} // namespace laurelhoist
