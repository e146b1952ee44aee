#include "membership/host_gossip.h"

#include "base/base.h"
#include "membership/reader_order.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace laurelhoist {

namespace {

constexpr std::size_t targets_per_round = 3;
constexpr std::size_t own_domain_targets = 2; ///< targets in the own failure domain, on a large fleet
constexpr std::size_t speaker_targets = 3; ///< targets in other domains of a host that speaks for a large one
constexpr std::size_t max_statuses_per_message = 12; ///< fits one or two packets of 1,400 bytes
/// On a small fleet a message carries the status of one in this many hosts, which is enough for a heartbeat
/// to reach all hosts within three rounds. With all hosts in each message, gossip made up a quarter of the
/// bytes between the failure domains of an 8-host fleet.
constexpr std::size_t hosts_per_status = 6;
constexpr std::size_t min_statuses_per_message = 4;
/// On a large fleet a host forwards a changed status in at most this many messages before other statuses take
/// precedence. With three messages a round, each forwarded by its recipients, all of 400 hosts have received
/// the change well before.
constexpr std::size_t max_times_sent = 24;
constexpr std::size_t heartbeat_bytes = 8;
/// While hosts come and go, a list with more hosts than this is renewed only so often.
constexpr std::size_t large_list = 100;
constexpr duration large_list_cache_time = milliseconds(50);
constexpr std::uint64_t rounds_between_seeds = 8;     ///< every so many rounds a seed is contacted as well
constexpr duration dead_host_retention = seconds(30); ///< how long a silent host is remembered

bool is_newer(const host_status& left, const host_status& right) {
    return std::tie(left.incarnation, left.beat) > std::tie(right.incarnation, right.beat);
}

template <class T>
void shuffle(std::vector<T>& items, random_source& random) {
    for (std::size_t i = items.size(); i > 1; --i) {
        std::swap(items[i - 1], items[random.below(i)]);
    }
}

/** \return a rank such that each item is among the lowest ranks with a probability that grows with its
 * weight. Weighted rendezvous hashing: the result of an item does not depend on the others. */
double weighted_rank(const std::string& item, int weight) {
    return -std::log(1.0 - unit_hash(item)) / std::max(1, weight);
}

/** \return the names of the hosts among \p hosts that speak for their domains; empty if \p own_domain is not
 * large. As many are named of each other domain, which may itself be small. */
std::set<std::string> choose_speakers(const std::vector<host_status>& hosts, const std::string& own_domain) {
    std::map<std::string, std::vector<domain_rank>> by_domain;
    for (const host_status& host : hosts) {
        by_domain[host.domain].push_back(rank_in_domain(host));
    }
    const std::size_t own_hosts = by_domain[own_domain].size();
    if (own_hosts <= max_flat_domain_hosts) {
        return {};
    }
    std::set<std::string> names;
    for (auto& [domain, ranked] : by_domain) {
        const std::size_t count = std::min(ranked.size(), whole_list_holders(own_hosts));
        const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(ranked.begin(), last, ranked.end());
        std::for_each(ranked.begin(), last, [&](const domain_rank& each) { names.emplace(each.name); });
    }
    return names;
}

constexpr int bits_per_byte = 8;

void append_number(std::string& bytes, std::uint32_t value, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) {
        bytes.push_back(static_cast<char>(value & 0xFFU));
        value >>= bits_per_byte;
    }
}

std::uint32_t read_number(const std::string& bytes, std::size_t at, std::size_t size) {
    std::uint32_t value = 0;
    for (std::size_t i = size; i-- > 0;) {
        value = (value << bits_per_byte) | static_cast<unsigned char>(bytes[at + i]);
    }
    return value;
}

} // namespace

std::uint32_t host_name_hash(const std::string& name) {
    return static_cast<std::uint32_t>(placement_hash("beat/" + name));
}

std::string encode_heartbeats(const std::vector<host_heartbeat>& beats) {
    std::string bytes;
    bytes.reserve(beats.size() * heartbeat_bytes);
    for (const host_heartbeat& beat : beats) {
        append_number(bytes, beat.host, sizeof beat.host);
        append_number(bytes, beat.incarnation, sizeof beat.incarnation);
        append_number(bytes, beat.beat, sizeof beat.beat);
    }
    return bytes;
}

std::vector<host_heartbeat> decode_heartbeats(const std::string& bytes) {
    std::vector<host_heartbeat> beats;
    for (std::size_t at = 0; at + heartbeat_bytes <= bytes.size(); at += heartbeat_bytes) {
        host_heartbeat beat;
        beat.host = read_number(bytes, at, sizeof beat.host);
        beat.incarnation =
            static_cast<std::uint16_t>(read_number(bytes, at + sizeof beat.host, sizeof beat.incarnation));
        beat.beat = static_cast<std::uint16_t>(
            read_number(bytes, at + sizeof beat.host + sizeof beat.incarnation, sizeof beat.beat));
        beats.push_back(beat);
    }
    return beats;
}

host_gossip::host_gossip(host_status self, std::uint64_t seed) : self_{std::move(self)}, random_{seed} {}

std::vector<gossip_target> host_gossip::next_targets(time_point now) {
    ++self_.beat;
    ++rounds_;
    const bool is_large_domain = is_in_large_domain(now);
    const bool is_speaker = speaks_for_domain(now);
    const std::size_t own_domain = is_large_domain && !is_speaker ? targets_per_round : own_domain_targets;
    const std::size_t others = is_speaker ? speaker_targets : targets_per_round - own_domain;
    std::vector<gossip_target> targets;
    for (const host_status& peer : random_peers_by_domain(own_domain, others, now)) {
        const bool is_other = is_large_domain && peer.domain != self_.domain;
        targets.push_back({peer.gossip_address, is_other ? gossip_scope::other_domains : gossip_scope::all});
    }
    // A seed is contacted in every few rounds as well, so that two groups that a partition has separated find
    // each other again.
    const bool is_alone = targets.size() < targets_per_round;
    // Of a large domain only the speakers do so: the seed's domain would otherwise come to know all its
    // hosts.
    const bool contacts_seeds = !is_large_domain || is_speaker;
    if (!seeds_.empty() && (is_alone || (contacts_seeds && rounds_ % rounds_between_seeds == 0))) {
        const std::string& seed = seeds_[random_.below(seeds_.size())];
        const bool is_target = std::any_of(targets.begin(), targets.end(),
                                           [&](const gossip_target& each) { return each.address == seed; });
        if (seed != self_.gossip_address && !is_target) {
            targets.push_back({seed, is_large_domain ? gossip_scope::other_domains : gossip_scope::all});
        }
    }
    return targets;
}

std::vector<host_status> host_gossip::statuses_to_send(time_point now, gossip_scope scope) {
    const bool is_large = is_large_fleet(now);
    std::vector<peer_status*> candidates;
    for (auto& [name, peer] : others_) {
        if (is_live(peer, now) && is_covered(peer.status, scope)) {
            candidates.push_back(&peer);
        }
    }
    shuffle(candidates, random_);
    if (is_large) {
        // Statuses that were sent often enough rank equally, so that they alternate at random.
        const auto capped_times_sent = [](const peer_status* peer) {
            return std::min(peer->times_sent, max_times_sent);
        };
        std::stable_sort(candidates.begin(), candidates.end(), [&](const auto* l, const auto* r) {
            return capped_times_sent(l) < capped_times_sent(r);
        });
    }
    const std::size_t share = (others_.size() + 1) / hosts_per_status;
    const std::size_t limit = is_large
                                  ? max_statuses_per_message
                                  : std::clamp(share, min_statuses_per_message, max_statuses_per_message);
    std::vector<host_status> statuses{self_};
    for (peer_status* peer : candidates) {
        const bool is_recent_change = peer->times_sent < max_times_sent;
        if (statuses.size() >= limit ||
            (is_large && !is_recent_change && statuses.size() >= min_statuses_per_message)) {
            break;
        }
        ++peer->times_sent;
        statuses.push_back(peer->status);
    }
    return statuses;
}

std::vector<host_heartbeat> host_gossip::heartbeats_to_send(time_point now, gossip_scope scope) const {
    std::vector<host_heartbeat> beats;
    if (!is_large_fleet(now)) {
        return beats;
    }
    for (const auto& [name, peer] : others_) {
        if (is_live(peer, now) && is_covered(peer.status, scope)) {
            beats.push_back({peer.name_hash, static_cast<std::uint16_t>(peer.status.incarnation),
                             static_cast<std::uint16_t>(peer.status.beat)});
        }
    }
    return beats;
}

// Load pattern: 295 hosts start at once and know three of them. When each message described twelve hosts,
// drawn without knowledge of what the recipient lacks, some hosts knew only 23 others after 16 s.
std::vector<host_status> host_gossip::statuses_missing_in(const std::vector<host_heartbeat>& beats,
                                                          const std::string& recipient, time_point now) {
    if (!is_large_fleet(now)) {
        return {};
    }
    std::unordered_set<std::uint32_t> known{host_name_hash(recipient)};
    for (const host_heartbeat& beat : beats) {
        known.insert(beat.host);
    }
    const auto sender = others_.find(recipient);
    const bool is_other_domain =
        is_in_large_domain(now) && sender != others_.end() && sender->second.status.domain != self_.domain;
    const gossip_scope scope = is_other_domain ? gossip_scope::other_domains : gossip_scope::all;
    std::vector<const host_status*> missing;
    for (const auto& [name, peer] : others_) {
        if (is_live(peer, now) && is_covered(peer.status, scope) && known.count(peer.name_hash) == 0) {
            missing.push_back(&peer.status);
        }
    }
    std::vector<host_status> statuses = random_sample(missing, max_statuses_per_message - 1);
    if (!statuses.empty()) {
        statuses.insert(statuses.begin(), self_);
    }
    return statuses;
}

// Guards against a wall clock that jumped back before a restart. The new process would count as older than
// the one that has ended, and its statuses would be ignored until the peers forget that one. When a peer
// sends the status of the earlier process, the new one raises its incarnation above it.
void host_gossip::raise_incarnation_above(const host_status& earlier_process) {
    if (earlier_process.incarnation > self_.incarnation) {
        log_warning("incarnation_raised",
                    {{"from", self_.incarnation}, {"past", earlier_process.incarnation}});
        self_.incarnation = std::min(earlier_process.incarnation, max_incarnation - 1) + 1;
    }
}

void host_gossip::merge(const std::vector<host_status>& statuses, time_point now) {
    for (const host_status& status : statuses) {
        if (status.name == self_.name) {
            raise_incarnation_above(status);
            continue;
        }
        const auto found = others_.find(status.name);
        const bool is_silent = found != others_.end() && !is_live(found->second, now);
        const bool is_new_process = is_silent && status.incarnation != found->second.status.incarnation;
        if (found == others_.end() || is_new_process || is_newer(status, found->second.status)) {
            update_peer(status, now);
        }
    }
    forget_dead(now);
}

bool host_gossip::has_changed(const host_status& held, const host_status& later) {
    return held.incarnation != later.incarnation || held.state != later.state ||
           held.has_lost_store != later.has_lost_store || held.lost_pools != later.lost_pools;
}

void host_gossip::update_peer(const host_status& status, time_point now) {
    const auto [item, is_new] = others_.try_emplace(status.name);
    peer_status& peer = item->second;
    if (is_new) {
        peer.name_hash = host_name_hash(status.name);
        by_name_hash_[peer.name_hash] = item;
    }
    if (is_new || has_changed(peer.status, status)) {
        peer.times_sent = 0;
        is_live_current_ = false;
    }
    if (!is_new && peer.status.incarnation != status.incarnation) {
        log_warning("host_restarted", {{"peer", status.name},
                                       {"announced_stop", peer.status.state == "leaving"},
                                       {"heard_ms_ago", to_ms(now - peer.heard_at)}});
    }
    peer.status = status;
    mark_heard(peer, now);
}

void host_gossip::mark_heard(peer_status& peer, time_point now) {
    is_live_current_ = is_live_current_ && is_live(peer, now);
    peer.heard_at = now;
}

void host_gossip::forget_dead(time_point now) {
    for (auto item = others_.begin(); item != others_.end();) {
        if (now - item->second.heard_at <= dead_host_retention) {
            ++item;
            continue;
        }
        log_warning("host_ended", {{"peer", item->first},
                                   {"announced_stop", item->second.status.state == "leaving"},
                                   {"heard_ms_ago", to_ms(now - item->second.heard_at)}});
        by_name_hash_.erase(item->second.name_hash);
        item = others_.erase(item);
    }
}

void host_gossip::merge_heartbeats(const std::vector<host_heartbeat>& beats, time_point now) {
    for (const host_heartbeat& heartbeat : beats) {
        const auto found = by_name_hash_.find(heartbeat.host);
        if (found == by_name_hash_.end()) {
            continue;
        }
        peer_status& peer = found->second->second;
        const bool is_same_process =
            static_cast<std::uint16_t>(peer.status.incarnation) == heartbeat.incarnation;
        // The counter wraps around: the newer value is ahead by less than half of the range.
        const auto ahead =
            static_cast<std::int16_t>(heartbeat.beat - static_cast<std::uint16_t>(peer.status.beat));
        if (is_same_process && ahead > 0) {
            peer.status.beat = std::min(peer.status.beat, max_beat - ahead) + ahead;
            mark_heard(peer, now);
        }
    }
}

bool host_gossip::knows(const host_status& status) const {
    const auto found = others_.find(status.name);
    return found != others_.end() && found->second.status.incarnation == status.incarnation;
}

std::vector<std::vector<host_status>> host_gossip::introduction_messages(time_point now) const {
    std::vector<std::vector<host_status>> messages;
    for (const host_status& host : live(now)) {
        if (messages.empty() || messages.back().size() == max_statuses_per_message) {
            messages.push_back({self_});
        }
        if (host.name != self_.name) {
            messages.back().push_back(host);
        }
    }
    return messages;
}

bool host_gossip::is_live(const peer_status& peer, time_point now) const {
    return now - peer.heard_at < timeout_of(peer);
}

duration host_gossip::timeout_of(const peer_status& peer) const {
    const bool is_other_domain = !speakers_.empty() && peer.status.domain != self_.domain;
    return is_other_domain ? other_domain_failure_timeout : failure_timeout;
}

bool host_gossip::is_covered(const host_status& host, gossip_scope scope) const {
    const bool is_own_domain = scope == gossip_scope::all && host.domain == self_.domain;
    return speakers_.empty() || is_own_domain || speakers_.count(host.name) > 0;
}

bool host_gossip::is_in_large_domain(time_point now) const {
    (void)live(now);
    return !speakers_.empty();
}

std::size_t host_gossip::count_hosts(time_point now) const {
    const std::vector<host_status>& hosts = live(now);
    if (!is_in_large_domain(now)) {
        return hosts.size();
    }
    std::set<std::string> domains;
    std::size_t own = 0;
    for (const host_status& host : hosts) {
        domains.insert(host.domain);
        own += host.domain == self_.domain ? 1 : 0;
    }
    return own * domains.size();
}

bool host_gossip::speaks_for_domain(time_point now) const {
    (void)live(now);
    return speakers_.count(self_.name) > 0;
}

const std::vector<host_status>& host_gossip::live(time_point now) const {
    const bool is_known_to_hold = is_live_current_ && now < live_until_;
    const bool is_recent_enough = live_.size() > large_list && now < live_at_ + large_list_cache_time;
    if (now >= live_at_ && (is_known_to_hold || is_recent_enough)) {
        live_[own_index_] = self_;
        return live_;
    }
    live_.clear();
    live_until_ = now + failure_timeout;
    for (const auto& [name, peer] : others_) {
        if (is_live(peer, now)) {
            live_.push_back(peer.status);
            live_until_ = std::min(live_until_, peer.heard_at + timeout_of(peer));
        }
    }
    const auto by_name = [](const host_status& host, const std::string& name) { return host.name < name; };
    live_.insert(std::lower_bound(live_.begin(), live_.end(), self_.name, by_name), self_);
    live_at_ = now;
    is_live_current_ = true;
    speakers_ = choose_speakers(live_, self_.domain);
    // While a fleet starts, hosts that do not know the size of their domain yet spread the names of all
    // hosts.
    live_.erase(
        std::remove_if(live_.begin(), live_.end(),
                       [this](const host_status& host) { return !is_covered(host, gossip_scope::all); }),
        live_.end());
    const auto own = std::lower_bound(live_.begin(), live_.end(), self_.name, by_name);
    own_index_ = static_cast<std::size_t>(own - live_.begin());
    return live_;
}

std::vector<host_status> host_gossip::random_sample(const std::vector<const host_status*>& hosts,
                                                    std::size_t count) {
    std::vector<const host_status*> left = hosts;
    std::vector<host_status> chosen;
    while (chosen.size() < count && !left.empty()) {
        std::swap(left[random_.below(left.size())], left.back());
        chosen.push_back(*left.back());
        left.pop_back();
    }
    return chosen;
}

std::vector<host_status> host_gossip::random_peers(std::size_t count, time_point now) {
    std::vector<const host_status*> peers;
    for (const host_status& host : live(now)) {
        if (host.name != self_.name) {
            peers.push_back(&host);
        }
    }
    return random_sample(peers, count);
}

std::vector<host_status> host_gossip::random_peers_by_domain(std::size_t own_domain,
                                                             std::size_t other_domains, time_point now) {
    if (!is_large_fleet(now)) {
        return random_peers(own_domain + other_domains, now);
    }
    std::vector<const host_status*> own_domain_hosts;
    std::vector<const host_status*> other_hosts;
    for (const host_status& host : live(now)) {
        if (host.name != self_.name) {
            (host.domain == self_.domain ? own_domain_hosts : other_hosts).push_back(&host);
        }
    }
    std::vector<host_status> chosen = random_sample(own_domain_hosts, own_domain);
    // Hosts of other domains fill up the number if the own domain has too few.
    const std::vector<host_status> from_other_domains =
        random_sample(other_hosts, own_domain + other_domains - chosen.size());
    chosen.insert(chosen.end(), from_other_domains.begin(), from_other_domains.end());
    return chosen;
}

std::vector<host_status> without_lost_hosts(const std::vector<host_status>& hosts) {
    std::vector<host_status> kept;
    std::size_t serving = 0;
    std::size_t kept_serving = 0;
    for (const host_status& host : hosts) {
        const bool is_serving = host.state == "serving";
        serving += is_serving ? 1 : 0;
        if (host.lost_pools.empty()) {
            kept.push_back(host);
            kept_serving += is_serving ? 1 : 0;
        }
    }
    return kept_serving * 2 >= serving ? kept : hosts;
}

std::vector<std::string> entries_for(const std::string& domain, const std::vector<host_status>& hosts,
                                     std::size_t limit, const std::string& answering_host) {
    constexpr std::size_t min_own_domain_hosts = 2;
    std::vector<const host_status*> own_domain;
    std::vector<const host_status*> all;
    for (const host_status& host : hosts) {
        if (host.state != "serving") {
            continue;
        }
        all.push_back(&host);
        if (host.domain == domain) {
            own_domain.push_back(&host);
        }
    }
    std::vector<const host_status*>& chosen = own_domain.size() >= min_own_domain_hosts ? own_domain : all;
    if (chosen.size() > limit) {
        std::map<const host_status*, double> rank;
        for (const host_status* host : chosen) {
            rank[host] = weighted_rank(answering_host + "/" + host->name, host->capacity);
        }
        const auto middle = chosen.begin() + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(chosen.begin(), middle, chosen.end(),
                         [&](const host_status* l, const host_status* r) { return rank[l] < rank[r]; });
        chosen.resize(limit);
    }
    std::vector<std::string> addresses;
    for (const host_status* host : chosen) {
        addresses.push_back(host->entry_address);
    }
    return addresses;
}

} // namespace laurelhoist
