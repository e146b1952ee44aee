#include "membership/host_gossip.h"

#include "base/base.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr std::size_t targets_per_round = 3;
constexpr std::size_t most_statuses = 12; ///< in one message, so that it fits a packet of 1,400 bytes or two
/// Of all hosts, those that one message speaks of: enough for a beat to reach everybody within three rounds.
/// With all of them in each message, gossip was a quarter of the bytes between the domains of an 8-host
/// fleet.
constexpr std::size_t hosts_for_each_status = 6;
constexpr std::size_t least_statuses = 4;
constexpr std::uint64_t rounds_between_seeds = 8;
constexpr duration memory_of_dead = seconds(30);

bool is_newer(const host_status& left, const host_status& right) {
    return std::tie(left.incarnation, left.beat) > std::tie(right.incarnation, right.beat);
}

template <class T>
void shuffle(std::vector<T>& items, random_source& random) {
    for (std::size_t i = items.size(); i > 1; --i) {
        std::swap(items[i - 1], items[random.below(i)]);
    }
}

} // namespace

host_gossip::host_gossip(host_status self, std::uint64_t seed) : self_{std::move(self)}, random_{seed} {}

std::vector<std::string> host_gossip::next_targets(time_point now) {
    ++self_.beat;
    ++rounds_;
    std::vector<std::string> targets;
    for (const host_status& peer : random_peers(targets_per_round, now)) {
        targets.push_back(peer.gossip_address);
    }
    // Now and then a seed as well: two groups that have lost each other meet again there.
    const bool is_alone = targets.size() < targets_per_round;
    if (!seeds_.empty() && (is_alone || rounds_ % rounds_between_seeds == 0)) {
        const std::string& seed = seeds_[random_.below(seeds_.size())];
        if (seed != self_.gossip_address &&
            std::find(targets.begin(), targets.end(), seed) == targets.end()) {
            targets.push_back(seed);
        }
    }
    return targets;
}

std::vector<host_status> host_gossip::statuses_to_send(time_point now) {
    const std::size_t share = (others_.size() + 1) / hosts_for_each_status;
    const std::size_t most = std::clamp(share, least_statuses, most_statuses);
    std::vector<host_status> statuses = random_peers(most - 1, now);
    statuses.insert(statuses.begin(), self_);
    return statuses;
}

// Against a time of day that jumped back before a restart: the new process counts as older than the one that
// has ended, and nobody listens to it until that one is forgotten. Told of its own past, it moves beyond it.
void host_gossip::outdo(const host_status& past) {
    if (past.incarnation > self_.incarnation) {
        log_warning("incarnation_raised", {{"from", self_.incarnation}, {"past", past.incarnation}});
        self_.incarnation = past.incarnation + 1;
    }
}

void host_gossip::take(const std::vector<host_status>& statuses, time_point now) {
    for (const host_status& status : statuses) {
        if (status.name == self_.name) {
            outdo(status);
            continue;
        }
        const auto found = others_.find(status.name);
        const bool is_silent = found != others_.end() && now - found->second.heard_at > silence_of_dead;
        const bool is_another = is_silent && status.incarnation != found->second.status.incarnation;
        if (found == others_.end() || is_another || is_newer(status, found->second.status)) {
            others_[status.name] = {status, now};
        }
    }
    for (auto item = others_.begin(); item != others_.end();) {
        item = now - item->second.heard_at > memory_of_dead ? others_.erase(item) : std::next(item);
    }
}

bool host_gossip::knows(const host_status& status) const {
    const auto found = others_.find(status.name);
    return found != others_.end() && found->second.status.incarnation == status.incarnation;
}

std::vector<std::vector<host_status>> host_gossip::introduction(time_point now) const {
    std::vector<std::vector<host_status>> messages;
    for (const host_status& host : live(now)) {
        if (messages.empty() || messages.back().size() == most_statuses) {
            messages.push_back({self_});
        }
        if (host.name != self_.name) {
            messages.back().push_back(host);
        }
    }
    return messages;
}

std::vector<host_status> host_gossip::live(time_point now) const {
    std::vector<host_status> hosts{self_};
    for (const auto& [name, held] : others_) {
        if (now - held.heard_at < silence_of_dead) {
            hosts.push_back(held.status);
        }
    }
    std::sort(hosts.begin(), hosts.end(), [](const auto& l, const auto& r) { return l.name < r.name; });
    return hosts;
}

std::vector<host_status> host_gossip::random_peers(std::size_t most, time_point now) {
    std::vector<host_status> peers = live(now);
    peers.erase(std::remove_if(peers.begin(), peers.end(),
                               [this](const host_status& host) { return host.name == self_.name; }),
                peers.end());
    shuffle(peers, random_);
    peers.resize(std::min(peers.size(), most));
    return peers;
}

std::vector<std::string> entries_for(const std::string& domain, const std::vector<host_status>& hosts,
                                     std::size_t most) {
    constexpr std::size_t enough_near = 2;
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const host_status& host : hosts) {
        if (host.state != "serving") {
            continue;
        }
        all.push_back(host.entry_address);
        if (host.domain == domain) {
            near.push_back(host.entry_address);
        }
    }
    std::vector<std::string> chosen = near.size() >= enough_near ? near : all;
    chosen.resize(std::min(chosen.size(), most));
    return chosen;
}

} // namespace laurelhoist
