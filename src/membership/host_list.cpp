#include "membership/host_list.h"

#include <algorithm>
#include <map>

namespace laurelhoist {

namespace {

struct scored_endpoint {
    std::uint64_t score = 0;
    std::size_t domain_rank = 0; ///< rank within its failure domain
    const endpoint_record* endpoint = nullptr;
};

// Ranks endpoints within their failure domain, so that taking the lowest ranks takes from each domain in
// turn.
std::vector<scored_endpoint> rank_by_domain(const std::string& entry,
                                            const std::vector<endpoint_record>& endpoints) {
    std::vector<scored_endpoint> scored;
    for (const endpoint_record& endpoint : endpoints) {
        scored.push_back({placement_hash(entry + "/" + endpoint.name), 0, &endpoint});
    }
    std::sort(scored.begin(), scored.end(), [](const auto& l, const auto& r) { return l.score < r.score; });
    std::map<std::string, std::size_t> taken;
    for (scored_endpoint& candidate : scored) {
        candidate.domain_rank = taken[candidate.endpoint->domain]++;
    }
    return scored;
}

} // namespace

std::uint32_t process_hash(const std::string& endpoint, std::int64_t started_at_ms) {
    return static_cast<std::uint32_t>(placement_hash(endpoint, static_cast<std::uint64_t>(started_at_ms)));
}

std::vector<endpoint_record> choose_subset(const std::string& entry,
                                           const std::vector<endpoint_record>& endpoints, std::size_t size) {
    if (endpoints.size() <= size) {
        return endpoints;
    }
    std::vector<scored_endpoint> ranked = rank_by_domain(entry, endpoints);
    std::sort(ranked.begin(), ranked.end(), [](const scored_endpoint& l, const scored_endpoint& r) {
        return std::tie(l.domain_rank, l.score) < std::tie(r.domain_rank, r.score);
    });
    std::vector<endpoint_record> subset;
    for (std::size_t i = 0; i < size; ++i) {
        subset.push_back(*ranked[i].endpoint);
    }
    return subset;
}

} // namespace laurelhoist
