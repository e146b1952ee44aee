#include "membership/host_gossip.h"

#include "base/base.h"

#include <algorithm>
#include <unordered_set>

namespace laurelhoist {

namespace {

constexpr std::size_t targets_per_round = 3;
constexpr std::size_t near_targets = 2;   ///< of these, on a large fleet, in the own failure domain
constexpr std::size_t most_statuses = 12; ///< in one message, so that it fits a packet of 1,400 bytes or two
/// Of all hosts, those that one message speaks of: enough for a beat to reach everybody within three rounds.
/// With all of them in each message, gossip was a quarter of the bytes between the domains of an 8-host
/// fleet.
constexpr std::size_t hosts_for_each_status = 6;
constexpr std::size_t least_statuses = 4;
/// On a large fleet a host passes a change on in so many messages: with three to a round and each of them
/// going on from the next host, all 400 have heard of it well before.
constexpr std::size_t most_told = 24;
constexpr std::size_t bytes_of_beat = 8;
/// A host that has fallen silent may count as live for this much longer.
constexpr duration live_list_life = milliseconds(100);
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

constexpr int bits_of_byte = 8;

void append_number(std::string& bytes, std::uint32_t value, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) {
        bytes.push_back(static_cast<char>(value & 0xFFU));
        value >>= bits_of_byte;
    }
}

std::uint32_t read_number(const std::string& bytes, std::size_t at, std::size_t size) {
    std::uint32_t value = 0;
    for (std::size_t i = size; i-- > 0;) {
        value = (value << bits_of_byte) | static_cast<unsigned char>(bytes[at + i]);
    }
    return value;
}

} // namespace

std::uint32_t beat_code(const std::string& name) {
    return static_cast<std::uint32_t>(placement_hash("beat/" + name));
}

std::string encode_beats(const std::vector<host_beat>& beats) {
    std::string bytes;
    bytes.reserve(beats.size() * bytes_of_beat);
    for (const host_beat& beat : beats) {
        append_number(bytes, beat.host, sizeof beat.host);
        append_number(bytes, beat.incarnation, sizeof beat.incarnation);
        append_number(bytes, beat.beat, sizeof beat.beat);
    }
    return bytes;
}

std::vector<host_beat> decode_beats(const std::string& bytes) {
    std::vector<host_beat> beats;
    for (std::size_t at = 0; at + bytes_of_beat <= bytes.size(); at += bytes_of_beat) {
        host_beat beat;
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

std::vector<std::string> host_gossip::next_targets(time_point now) {
    ++self_.beat;
    ++rounds_;
    std::vector<std::string> targets;
    for (const host_status& peer : mostly_near_peers(near_targets, targets_per_round - near_targets, now)) {
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
    const bool is_large = is_large_fleet(now);
    std::vector<held_status*> candidates;
    for (auto& [name, held] : others_) {
        if (now - held.heard_at < silence_of_dead) {
            candidates.push_back(&held);
        }
    }
    shuffle(candidates, random_);
    if (is_large) {
        // What has been told often enough takes turns by chance, however often that was.
        const auto told = [](const held_status* held) { return std::min(held->told, most_told); };
        std::stable_sort(candidates.begin(), candidates.end(),
                         [&](const auto* l, const auto* r) { return told(l) < told(r); });
    }
    const std::size_t share = (others_.size() + 1) / hosts_for_each_status;
    const std::size_t most = is_large ? most_statuses : std::clamp(share, least_statuses, most_statuses);
    std::vector<host_status> statuses{self_};
    for (held_status* held : candidates) {
        const bool is_news = held->told < most_told;
        if (statuses.size() >= most || (is_large && !is_news && statuses.size() >= least_statuses)) {
            break;
        }
        ++held->told;
        statuses.push_back(held->status);
    }
    return statuses;
}

std::vector<host_beat> host_gossip::beats_to_send(time_point now) const {
    std::vector<host_beat> beats;
    if (!is_large_fleet(now)) {
        return beats;
    }
    for (const auto& [name, held] : others_) {
        if (now - held.heard_at < silence_of_dead) {
            beats.push_back({held.code, static_cast<std::uint16_t>(held.status.incarnation),
                             static_cast<std::uint16_t>(held.status.beat)});
        }
    }
    return beats;
}

// Load pattern: 295 hosts start at once and know three of them. Told of twelve others in each message, drawn
// by those that do not know what the reader lacks, some knew 23 hosts after 16 s.
std::vector<host_status> host_gossip::statuses_missing_in(const std::vector<host_beat>& beats,
                                                          const std::string& reader, time_point now) {
    if (!is_large_fleet(now)) {
        return {};
    }
    std::unordered_set<std::uint32_t> known{beat_code(reader)};
    for (const host_beat& beat : beats) {
        known.insert(beat.host);
    }
    std::vector<const host_status*> missing;
    for (const auto& [name, held] : others_) {
        if (now - held.heard_at < silence_of_dead && known.count(held.code) == 0) {
            missing.push_back(&held.status);
        }
    }
    std::vector<host_status> statuses = random_of(missing, most_statuses - 1);
    if (!statuses.empty()) {
        statuses.insert(statuses.begin(), self_);
    }
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
            hold(status, now);
        }
    }
    forget_dead(now);
}

void host_gossip::hold(const host_status& status, time_point now) {
    const auto [item, is_new] = others_.try_emplace(status.name);
    held_status& held = item->second;
    if (is_new) {
        held.code = beat_code(status.name);
        by_code_[held.code] = item;
    }
    if (is_new || held.status.incarnation != status.incarnation || held.status.state != status.state) {
        held.told = 0;
        is_live_current_ = false;
    }
    held.status = status;
    note_heard(held, now);
}

void host_gossip::note_heard(held_status& held, time_point now) {
    is_live_current_ = is_live_current_ && now - held.heard_at < silence_of_dead;
    held.heard_at = now;
}

void host_gossip::forget_dead(time_point now) {
    for (auto item = others_.begin(); item != others_.end();) {
        if (now - item->second.heard_at <= memory_of_dead) {
            ++item;
            continue;
        }
        by_code_.erase(item->second.code);
        item = others_.erase(item);
    }
}

void host_gossip::take_beats(const std::vector<host_beat>& beats, time_point now) {
    for (const host_beat& told : beats) {
        const auto found = by_code_.find(told.host);
        if (found == by_code_.end()) {
            continue;
        }
        held_status& held = found->second->second;
        const bool is_same_process = static_cast<std::uint16_t>(held.status.incarnation) == told.incarnation;
        // Of numbers that wrap around, the newer one is ahead by less than half of the range.
        const auto ahead =
            static_cast<std::int16_t>(told.beat - static_cast<std::uint16_t>(held.status.beat));
        if (is_same_process && ahead > 0) {
            held.status.beat += ahead;
            note_heard(held, now);
        }
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

const std::vector<host_status>& host_gossip::live(time_point now) const {
    const bool is_recent = now >= live_at_ && now - live_at_ < live_list_life;
    if (is_live_current_ && is_recent) {
        live_[own_index_] = self_;
        return live_;
    }
    live_.clear();
    own_index_ = 0;
    for (const auto& [name, held] : others_) {
        if (now - held.heard_at < silence_of_dead) {
            own_index_ += name < self_.name ? 1 : 0;
            live_.push_back(held.status);
        }
    }
    live_.insert(live_.begin() + static_cast<std::ptrdiff_t>(own_index_), self_);
    live_at_ = now;
    is_live_current_ = true;
    return live_;
}

std::vector<host_status> host_gossip::random_of(const std::vector<const host_status*>& hosts,
                                                std::size_t most) {
    std::vector<const host_status*> left = hosts;
    std::vector<host_status> chosen;
    while (chosen.size() < most && !left.empty()) {
        std::swap(left[random_.below(left.size())], left.back());
        chosen.push_back(*left.back());
        left.pop_back();
    }
    return chosen;
}

std::vector<host_status> host_gossip::random_peers(std::size_t most, time_point now) {
    std::vector<const host_status*> peers;
    for (const host_status& host : live(now)) {
        if (host.name != self_.name) {
            peers.push_back(&host);
        }
    }
    return random_of(peers, most);
}

std::vector<host_status> host_gossip::mostly_near_peers(std::size_t near, std::size_t any, time_point now) {
    if (!is_large_fleet(now)) {
        return random_peers(near + any, now);
    }
    std::vector<const host_status*> near_hosts;
    std::vector<const host_status*> far_hosts;
    for (const host_status& host : live(now)) {
        if (host.name != self_.name) {
            (host.domain == self_.domain ? near_hosts : far_hosts).push_back(&host);
        }
    }
    std::vector<host_status> chosen = random_of(near_hosts, near);
    // As many as were asked for, where this domain has too few.
    const std::vector<host_status> others = random_of(far_hosts, near + any - chosen.size());
    chosen.insert(chosen.end(), others.begin(), others.end());
    return chosen;
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
