#include "placement/sponsors.h"

#include "base/base.h"

#include <algorithm>

namespace laurelhoist {

namespace {

std::vector<const host_status*> candidates(const std::string& domain, const std::vector<host_status>& hosts,
                                           std::size_t wanted) {
    std::vector<const host_status*> local;
    std::vector<const host_status*> all;
    for (const host_status& host : hosts) {
        if (host.state != "serving") {
            continue;
        }
        all.push_back(&host);
        if (host.domain == domain) {
            local.push_back(&host);
        }
    }
    return local.size() >= wanted ? local : all;
}

} // namespace

std::vector<std::string> sponsors_of(const endpoint_record& endpoint, const std::vector<host_status>& hosts,
                                     std::size_t max_count) {
    std::vector<std::pair<std::uint64_t, const host_status*>> ranked;
    for (const host_status* host : candidates(endpoint.domain, hosts, max_count)) {
        ranked.emplace_back(placement_hash(endpoint.name + "/" + host->name), host);
    }
    const std::size_t count = std::min(ranked.size(), max_count);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(ranked[i].second->name);
    }
    return names;
}

} // namespace laurelhoist
