#include "membership/endpoint_reach.h"

#include <algorithm>
#include <set>

namespace laurelhoist {

namespace {

/// Endpoints whose connections have to fail before a pool is lost; all of them if the pool has fewer. The
/// loss of one or two endpoints of a small pool is left to their ejection.
constexpr int min_unreachable = 3;
/// Unreachable endpoints for each reachable one from which on a pool is lost. A host with links loses at most
/// the endpoints of one failure domain at once, which is half of them in the smallest deployment.
constexpr int unreachable_per_reachable = 3;
/// How long a connection that was made shows that the endpoint is reachable: short, so that those made just
/// before the links were lost do not delay the decision.
constexpr duration reachable_for = seconds(1);
/// The same while the pool is lost, in which time the probes have tried each endpoint of a small pool.
constexpr duration reachable_for_when_lost = seconds(3);
/// A failure older than this does not show a present loss. Without traffic nothing refutes it.
constexpr duration unreachable_for = seconds(10);
constexpr duration time_between_probes = seconds(1); ///< of one endpoint
/// Probes for each call, a few times a second: to confirm a suspicion, to notice the return of the links, and
/// once one endpoint is reachable again.
constexpr std::size_t probes_when_suspected = 6;
constexpr std::size_t probes_when_lost = 2;
constexpr std::size_t probes_when_returning = 8;

} // namespace

void endpoint_reach::update(const std::vector<endpoint_record>& endpoints) {
    std::map<std::string, link> kept;
    std::set<std::string> pools;
    for (const endpoint_record& endpoint : endpoints) {
        if (endpoint.state != "live") {
            continue;
        }
        const auto known = links_.find(endpoint.name);
        link each =
            known == links_.end() || is_restart_of(endpoint, known->second.endpoint) ? link{} : known->second;
        each.endpoint = endpoint;
        kept.emplace(endpoint.name, std::move(each));
        pools.insert(endpoint.pool);
    }
    links_ = std::move(kept);
    for (auto item = lost_.begin(); item != lost_.end();) {
        item = pools.count(item->first) > 0 ? std::next(item) : lost_.erase(item);
    }
}

void endpoint_reach::observe(const std::string& endpoint, link_state state, time_point now) {
    const auto found = links_.find(endpoint);
    if (found != links_.end()) {
        found->second.state = state;
        found->second.seen_at = now;
        found->second.is_suspected = false;
    }
}

void endpoint_reach::on_connected(const std::string& endpoint, time_point now) {
    observe(endpoint, link_state::reachable, now);
}

void endpoint_reach::on_unreachable(const std::string& endpoint, time_point now) {
    observe(endpoint, link_state::unreachable, now);
}

void endpoint_reach::on_suspected(const std::string& endpoint) {
    const auto found = links_.find(endpoint);
    if (found != links_.end()) {
        found->second.is_suspected = true;
    }
}

// A connection made before the pool was lost does not show that it has returned.
bool endpoint_reach::is_counted(const link& observed, time_point now) const {
    const auto lost = lost_.find(observed.endpoint.pool);
    const duration age = now - observed.seen_at;
    if (lost == lost_.end()) {
        return age < (observed.state == link_state::reachable ? reachable_for : unreachable_for);
    }
    return observed.state == link_state::unreachable ||
           (observed.seen_at >= lost->second && age < reachable_for_when_lost);
}

endpoint_reach::counts_by_pool endpoint_reach::count(time_point now) const {
    counts_by_pool counts;
    for (const auto& [name, each] : links_) {
        pool_count& pool = counts[each.endpoint.pool];
        ++pool.listed;
        if (is_counted(each, now)) {
            pool.unreachable += each.state == link_state::unreachable ? 1 : 0;
            pool.reachable += each.state == link_state::reachable ? 1 : 0;
        }
    }
    return counts;
}

std::vector<reach_change> endpoint_reach::evaluate(time_point now) {
    std::vector<reach_change> changes;
    for (const auto& [pool, counts] : count(now)) {
        const bool was_lost = has_lost(pool);
        const bool is_lost = was_lost
                                 ? counts.unreachable > counts.reachable
                                 : counts.unreachable >= std::min(min_unreachable, counts.listed) &&
                                       counts.unreachable >= unreachable_per_reachable * counts.reachable;
        if (is_lost == was_lost) {
            continue;
        }
        if (is_lost) {
            lost_[pool] = now;
        } else {
            lost_.erase(pool);
        }
        changes.push_back({pool, is_lost, counts.unreachable, counts.reachable, counts.listed});
    }
    return changes;
}

std::size_t endpoint_reach::probe_limit(const std::string& pool, const pool_count& counts) const {
    if (has_lost(pool)) {
        return counts.reachable > 0 ? probes_when_returning : probes_when_lost;
    }
    const bool is_majority_lost = counts.unreachable > 0 && counts.unreachable >= counts.reachable;
    return is_majority_lost ? probes_when_suspected : 0;
}

std::vector<endpoint_record> endpoint_reach::next_probes(time_point now) {
    std::vector<endpoint_record> probes;
    for (const auto& [pool, counts] : count(now)) {
        std::vector<link*> candidates;
        for (auto& [name, each] : links_) {
            const bool is_due = now - std::max(each.seen_at, each.probed_at) >= time_between_probes;
            if (each.endpoint.pool == pool && (is_due || each.is_suspected)) {
                candidates.push_back(&each);
            }
        }
        std::sort(candidates.begin(), candidates.end(), [](const link* l, const link* r) {
            return std::make_pair(!l->is_suspected, l->probed_at) <
                   std::make_pair(!r->is_suspected, r->probed_at);
        });
        const auto suspected = static_cast<std::size_t>(std::count_if(
            candidates.begin(), candidates.end(), [](const link* each) { return each->is_suspected; }));
        const std::size_t limit =
            std::max(probe_limit(pool, counts), std::min(suspected, probes_when_suspected));
        for (std::size_t i = 0; i < std::min(limit, candidates.size()); ++i) {
            candidates[i]->probed_at = now;
            candidates[i]->is_suspected = false;
            probes.push_back(candidates[i]->endpoint);
        }
    }
    return probes;
}

std::vector<std::string> endpoint_reach::lost_pools() const {
    std::vector<std::string> pools;
    for (const auto& [pool, since] : lost_) {
        pools.push_back(pool);
    }
    return pools;
}

std::string endpoint_reach::pool_of(const std::string& endpoint) const {
    const auto found = links_.find(endpoint);
    return found == links_.end() ? std::string{} : found->second.endpoint.pool;
}

bool endpoint_reach::is_unreachable(const std::string& endpoint) const {
    const auto found = links_.find(endpoint);
    return found != links_.end() && found->second.state == link_state::unreachable;
}

} // namespace laurelhoist
