#include "relay/peer_forwarding.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// How long a host that could not be reached gets no forwarded requests. It is dropped from the live hosts
/// after 2.5 s.
constexpr duration unreached_peer_rest = seconds(1);

} // namespace

// Hosts of the own failure domain come first, because traffic between domains costs money, unless most of
// them have lost the pool too: then the few that are left would have to carry the whole domain.
std::vector<const host_status*> peer_forwarding::candidates(const std::string& pool,
                                                            const std::set<std::string>& avoided,
                                                            const std::set<std::string>& allowed,
                                                            time_point now) const {
    std::vector<const host_status*> own_domain;
    std::vector<const host_status*> all;
    std::size_t own_domain_hosts = 0;
    for (const host_status& peer : hosts_) {
        const bool is_own_domain = peer.domain == domain_;
        own_domain_hosts += is_own_domain ? 1 : 0;
        const auto load = loads_.find(peer.name);
        const bool is_resting = load != loads_.end() && now < load->second.avoided_until;
        if (peer.name == host_ || peer.state != "serving" || peer.has_lost(pool) || is_resting ||
            avoided.count(peer.name) > 0 || (!allowed.empty() && allowed.count(peer.name) == 0)) {
            continue;
        }
        all.push_back(&peer);
        if (is_own_domain) {
            own_domain.push_back(&peer);
        }
    }
    return own_domain.size() * 2 >= own_domain_hosts && !own_domain.empty() ? own_domain : all;
}

std::optional<forwarding_peer> peer_forwarding::choose(const std::string& pool,
                                                       const std::set<std::string>& avoided,
                                                       const std::set<std::string>& allowed, time_point now) {
    const std::vector<const host_status*> peers = candidates(pool, avoided, allowed, now);
    if (peers.empty() || port_ == 0) {
        return std::nullopt;
    }
    const auto relative_load = [this](const host_status& peer) {
        const auto found = loads_.find(peer.name);
        const int in_flight = found == loads_.end() ? 0 : found->second.in_flight;
        return (in_flight + 1.0) / std::max(1, peer.capacity);
    };
    // Starts at a random one, so that hosts with equal load share the requests.
    const std::size_t first = random_.below(peers.size());
    const host_status* best = peers[first];
    for (std::size_t i = 1; i < peers.size(); ++i) {
        const host_status* peer = peers[(first + i) % peers.size()];
        best = relative_load(*peer) < relative_load(*best) ? peer : best;
    }
    const std::string& gossip = best->gossip_address;
    return forwarding_peer{best->name, gossip.substr(0, gossip.rfind(':') + 1) + std::to_string(port_)};
}

void peer_forwarding::on_ended(const std::string& host, bool has_answered, time_point now) {
    peer_load& load = loads_[host];
    --load.in_flight;
    if (!has_answered) {
        load.avoided_until = now + unreached_peer_rest;
    }
    if (load.in_flight <= 0 && load.avoided_until <= now) {
        loads_.erase(host);
    }
}

} // namespace laurelhoist
