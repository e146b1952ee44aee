// What entry hosts tell one another by datagrams: who lives, how new their copies are, what they have in
// flight.
#include "host/entry_host.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Without confirmation from the store for this long, peers are asked; three rounds fit before keys expire.
constexpr duration stale_after = milliseconds(3200);
/// When the store is lost to everybody, the host that it answered last vouches for all: in an outage of 4.5 s
/// refusals fell from 1,478 to 706 over six plays.
constexpr std::size_t peers_asked_in_outage = 12;
/// A host that goes by copies asks sooner: the answer's own age, up to 3 s, comes on top.
constexpr duration stale_copy_after = milliseconds(1200);
constexpr duration load_gathering = milliseconds(20); ///< so that a burst of requests is told at once
/// The engines of a domain end together, and requests find so within some 100 ms.
constexpr duration refusal_gathering = milliseconds(30);
constexpr std::size_t most_refusals = 64; ///< of 25 bytes each in a datagram
/// All that broke with one endpoint is found out within some 5 ms.
constexpr duration crash_gathering = milliseconds(10);
constexpr std::size_t most_crashes_in_round = 8; ///< of some 60 bytes each; the newest
constexpr std::size_t most_crashes = 16;         ///< in a datagram that is sent at once
/// Engines of one load name their limits within some 10 ms of one another.
constexpr duration limit_gathering = milliseconds(10);
constexpr std::size_t most_limits_in_round = 8; ///< of some 30 bytes each; others with the next round
constexpr std::size_t most_limits = 32;         ///< in a datagram that is sent at once
/// Until then a host that has just started may know too few others to say who is a sponsor: rounds of gossip
/// bring them all within 2 s.
constexpr duration learning_hosts = seconds(3);
constexpr duration question_life = seconds(2);
constexpr std::size_t peers_asked = 3;
constexpr std::size_t near_peers_asked = 2;   ///< of these, on a large fleet, in the own failure domain
constexpr std::size_t most_load_entries = 16; ///< of 20 bytes each in a datagram

std::vector<std::string> names_of(const std::vector<host_status>& hosts) {
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const host_status& host : hosts) {
        names.push_back(host.name);
    }
    return names;
}

load_by_endpoint to_loads(const std::vector<load_entry>& entries) {
    load_by_endpoint loads;
    for (const load_entry& entry : entries) {
        loads[entry.endpoint] = {static_cast<double>(entry.reading_ms), entry.running};
    }
    return loads;
}

} // namespace

void entry_host::on_datagram(const std::string& from, const std::string& bytes) {
    if (const std::optional<peer_message> message = decode_peer_message(bytes)) {
        std::visit([&](const auto& typed) { take(from, typed); }, *message);
    }
}

void entry_host::take(const std::string& from, const peer_news& news) {
    if (news.statuses.empty()) {
        return;
    }
    const time_point now = monotonic_now();
    const std::string& sender = news.statuses.front().name;
    const bool is_newcomer =
        news.statuses.front().state == "starting" && !gossip_.knows(news.statuses.front());
    gossip_.take(news.statuses, now);
    const std::vector<host_beat> beats = decode_beats(news.beats);
    gossip_.take_beats(beats, now);
    if (is_newcomer) {
        introduce(from, now);
    } else if (news.is_round) {
        answer_with_missing(from, sender, beats, now);
    }
    relay_.state().endpoints.set_peer_load(sender, to_loads(news.load), now);
    const std::string reporter = sender + "/" + std::to_string(news.statuses.front().incarnation);
    rollouts_.merge(reporter, news.counts, news.rollouts, now);
    take_refusals(news.refused);
    relay_.take_crash_notices(news.crashes);
    relay_.take_limit_notices(news.limits);
}

// Without it a host that starts hears of the others when one of them picks it at random, up to a second
// later; until then it names few entries to callers, and nobody can vouch for its configuration.
void entry_host::introduce(const std::string& newcomer, time_point now) {
    peer_news news = make_news(now);
    for (const std::vector<host_status>& statuses : gossip_.introduction(now)) {
        news.statuses = statuses;
        news.is_round = false;
        datagrams_.send(newcomer, encode_peer_message(news));
        news.load.clear(); // Once is enough.
        news.counts.clear();
        news.beats.clear();
        news.crashes.clear();
        news.limits.clear();
    }
}

void entry_host::answer_with_missing(const std::string& reader_address, const std::string& reader,
                                     const std::vector<host_beat>& beats, time_point now) {
    peer_news news;
    news.statuses = gossip_.statuses_missing_in(beats, reader, now);
    if (!news.statuses.empty()) {
        datagrams_.send(reader_address, encode_peer_message(news));
    }
}

void entry_host::take(const std::string&, const load_news& news) {
    relay_.state().endpoints.change_peer_load(news.sender, to_loads(news.load), monotonic_now());
}

std::vector<load_entry> entry_host::own_load() const {
    std::vector<load_entry> entries;
    for (const auto& [endpoint, load] : relay_.state().endpoints.own_load()) {
        if (entries.size() < most_load_entries) {
            entries.push_back({endpoint, std::llround(load.reading_ms), load.running});
        }
    }
    return entries;
}

// Only what has changed: with every endpoint in every message the news of load were a fifth of the bytes
// between failure domains. A message that is lost is made good by the next round of gossip, which carries
// everything.
std::vector<load_entry> entry_host::take_load_changes() {
    std::vector<load_entry> changes;
    std::map<std::string, load_entry> told;
    for (const load_entry& entry : own_load()) {
        const auto before = told_load_.find(entry.endpoint);
        if (before == told_load_.end() || before->second != entry) {
            changes.push_back(entry);
        }
        told[entry.endpoint] = entry;
    }
    for (const auto& [endpoint, entry] : told_load_) {
        if (told.count(endpoint) == 0) {
            changes.push_back({endpoint, 0, 0});
        }
    }
    told_load_ = std::move(told);
    return changes;
}

// Load pattern: several hosts get a long prompt within the same tenth of a second. Told of one another's only
// with the next round, they send them to the same idle endpoint, where the last waits for all.
void entry_host::on_load_changed() {
    if (is_load_to_tell_) {
        return;
    }
    is_load_to_tell_ = true;
    loop_.after(load_gathering, [this] {
        is_load_to_tell_ = false;
        tell_load();
    });
}

void entry_host::tell_load() {
    const time_point now = monotonic_now();
    const bool is_large = is_large_fleet(now);
    const load_news news{settings_.name, take_load_changes()};
    if (news.load.empty()) {
        return;
    }
    // On a large fleet only hosts of the same domain share endpoints as a rule.
    std::vector<host_status> peers = gossip_.live(now);
    peers.erase(std::remove_if(peers.begin(), peers.end(),
                               [&](const host_status& peer) {
                                   return is_large && peer.domain != settings_.failure_domain;
                               }),
                peers.end());
    send_to_others(peers, encode_peer_message(news));
}

void entry_host::send_to_others(const std::vector<host_status>& peers, const std::string& bytes) {
    for (const host_status& peer : peers) {
        if (peer.name != settings_.name) {
            datagrams_.send(peer.gossip_address, bytes);
        }
    }
}

void entry_host::on_refused(const std::string& endpoint) {
    const bool is_first = refusals_to_tell_.empty();
    refusals_to_tell_.insert(endpoint);
    if (is_first) {
        loop_.after(refusal_gathering, [this] { tell_refusals(); });
    }
}

// At once to everybody: an endpoint may be back within a second, and hosts that do not know that it had ended
// take it for idle.
void entry_host::tell_refusals() {
    const time_point now = monotonic_now();
    refusal_news news;
    for (const auto& [endpoint, age] : relay_.state().endpoints.allowance().cold().refused(now)) {
        if (refusals_to_tell_.count(endpoint) > 0 && news.refused.size() < most_refusals) {
            news.refused.push_back({endpoint, std::llround(to_ms(age))});
        }
    }
    refusals_to_tell_.clear();
    log_info("endpoints_refused_connections", {{"count", news.refused.size()}});
    send_to_others(gossip_.live(now), encode_peer_message(news));
}

void entry_host::take(const std::string&, const refusal_news& news) {
    take_refusals(news.refused);
}

void entry_host::take_refusals(const std::vector<refused_endpoint>& refused) {
    const time_point now = monotonic_now();
    for (const refused_endpoint& each : refused) {
        const duration age = milliseconds(std::max<std::int64_t>(0, each.age_ms));
        relay_.state().endpoints.allowance().cold().on_refused(each.endpoint, age, now);
        refusals_to_tell_.erase(each.endpoint); // All have been told.
    }
}

std::vector<refused_endpoint> entry_host::known_refusals(time_point now) const {
    std::vector<refused_endpoint> refused;
    for (const auto& [endpoint, age] : relay_.state().endpoints.allowance().cold().refused(now)) {
        if (refused.size() < most_refusals) {
            refused.push_back({endpoint, std::llround(to_ms(age))});
        }
    }
    return refused;
}

void entry_host::assign_sponsored_endpoints(time_point now) {
    const sponsor_view view{gossip_.live(now), now - started_at_ > learning_hosts};
    relay_.state().endpoints.allowance().set_hosts(view, now);
}

void entry_host::on_limit_news() {
    if (are_limits_to_tell_) {
        return;
    }
    are_limits_to_tell_ = true;
    loop_.after(limit_gathering, [this] {
        are_limits_to_tell_ = false;
        tell_limits();
    });
}

// At once to everybody: those that have not heard of a limit send as before, and the sponsors' part comes on
// top.
void entry_host::tell_limits() {
    const time_point now = monotonic_now();
    const std::vector<limit_notice> limits = relay_.state().endpoints.allowance().limits().take_untold(now);
    const std::vector<host_status>& live = gossip_.live(now);
    for (std::size_t first = 0; first < limits.size(); first += most_limits) {
        const auto begin = limits.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end =
            limits.begin() + static_cast<std::ptrdiff_t>(std::min(limits.size(), first + most_limits));
        send_to_others(live, encode_peer_message(limit_news{{begin, end}}));
    }
}

void entry_host::take(const std::string&, const limit_news& news) {
    relay_.take_limit_notices(news.limits);
}

void entry_host::assign_trials(time_point now) {
    if (relay_.state().quarantine.is_empty()) {
        return;
    }
    relay_.state().quarantine.set_hosts(names_of(gossip_.live(now)), now - started_at_ > learning_hosts);
}

void entry_host::on_crash_news() {
    if (are_crashes_to_tell_) {
        return;
    }
    are_crashes_to_tell_ = true;
    loop_.after(crash_gathering, [this] {
        are_crashes_to_tell_ = false;
        tell_crashes();
    });
}

// Against a request that comes back at another host each time: no host sees three ends. All hear of one that
// may be quarantined next, at once, since it comes back within a second; on a large fleet only a few count
// first ends, or the loss of a failure domain would have every host tell every other of thousands of innocent
// requests.
void entry_host::tell_crashes() {
    const time_point now = monotonic_now();
    const crash_quarantine::untold untold = relay_.state().quarantine.take_untold(now);
    const std::vector<host_status>& live = gossip_.live(now);
    std::vector<crash_notice> for_all = untold.for_all;
    std::map<std::string, std::vector<crash_notice>> by_keeper;
    if (is_large_fleet(now)) {
        const std::vector<std::string> names = names_of(live);
        for (const crash_notice& notice : untold.for_keepers) {
            for (const std::string& keeper : keepers_of(notice.digest, names)) {
                by_keeper[keeper].push_back(notice);
            }
        }
    } else {
        for_all.insert(for_all.end(), untold.for_keepers.begin(), untold.for_keepers.end());
    }
    for (std::size_t first = 0; first < for_all.size(); first += most_crashes) {
        const std::size_t last = std::min(for_all.size(), first + most_crashes);
        const auto begin = for_all.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = for_all.begin() + static_cast<std::ptrdiff_t>(last);
        send_to_others(live, encode_peer_message(crash_news{{begin, end}}));
    }
    for (const host_status& peer : live) {
        const auto kept = by_keeper.find(peer.name);
        if (kept != by_keeper.end()) {
            // After the loss of a domain there may be more; the rest counts again if it breaks once more.
            kept->second.resize(std::min(kept->second.size(), most_crashes));
            send_to_others({peer}, encode_peer_message(crash_news{kept->second}));
        }
    }
}

void entry_host::take(const std::string&, const crash_news& news) {
    relay_.take_crash_notices(news.crashes);
}

void entry_host::take(const std::string& from, const freshness_question& question) {
    const relay_state& state = relay_.state();
    const duration age = state.fence.age(monotonic_now());
    if (!state.routing || age == duration::max()) {
        return;
    }
    datagrams_.send(from,
                    encode_peer_message(freshness_answer{question.nonce, config_revision_, age.count()}));
}

void entry_host::take(const std::string& from, const freshness_answer& answer) {
    const auto asked = questions_.find(answer.nonce);
    if (asked == questions_.end()) {
        return;
    }
    const time_point as_of = asked->second - duration(answer.age_us);
    note_config_heard(answer.config_revision);
    if (answer.config_revision > config_revision_) {
        fetch_copy(from, config_watch_, codec_.config_kind());
    } else if (answer.config_revision == config_revision_ && relay_.state().routing) {
        relay_.state().fence.confirm(as_of);
        relay_.state().measured.count("config_vouched_by_peer");
    }
}

peer_news entry_host::make_news(time_point now) {
    peer_news news;
    news.is_round = true;
    news.statuses = gossip_.statuses_to_send(now);
    news.beats = encode_beats(gossip_.beats_to_send(now));
    news.load = own_load();
    if (!is_large_fleet(now)) {
        news.counts = rollouts_.own_counts();
    }
    news.rollouts = rollouts_.own_gossip(now);
    news.refused = known_refusals(now);
    news.crashes = relay_.state().quarantine.known(most_crashes_in_round, now);
    news.limits = relay_.state().endpoints.allowance().limits().next_known(most_limits_in_round, now);
    return news;
}

void entry_host::gossip_round() {
    const time_point now = monotonic_now();
    gossip_.set_state(relay_.state().is_stopping ? "leaving" : is_ready() ? "serving" : "starting");
    const std::vector<std::string> targets = gossip_.next_targets(now);
    const std::string bytes = encode_peer_message(make_news(now));
    for (const std::string& target : targets) {
        datagrams_.send(target, bytes);
    }
    tell_sessions(now);
    tell_counts(now);
    tell_copies(notice_scope::round);
}

// To everybody at once: a caller's next request may come to any host, and one that has not heard of its
// session would move it to another release.
void entry_host::tell_sessions(time_point now) {
    const std::vector<session_use> uses = rollouts_.take_session_updates(now);
    if (uses.empty()) {
        return;
    }
    send_to_others(gossip_.live(now), encode_peer_message(session_news{uses}));
}

void entry_host::take(const std::string&, const session_news& news) {
    rollouts_.merge_sessions(news.uses, monotonic_now());
}

// Against withdrawn keys at a host that the store does not serve while it serves others: a peer that has
// heard from the store can say that the configuration held here was still the newest.
void entry_host::check_freshness() {
    const time_point now = monotonic_now();
    for (auto item = questions_.begin(); item != questions_.end();) {
        item = now - item->second > question_life ? questions_.erase(item) : std::next(item);
    }
    if (!settings_.in_use.vouches) {
        return;
    }
    const bool is_store_answering = reads_everything() && !is_store_lost_;
    if (relay_.state().fence.age(now) < (is_store_answering ? stale_after : stale_copy_after)) {
        return;
    }
    const std::int64_t nonce = ++last_nonce_;
    questions_[nonce] = now;
    const std::size_t asked = is_store_lost_ ? peers_asked_in_outage : peers_asked;
    const std::size_t near = asked * near_peers_asked / peers_asked;
    send_to_others(gossip_.mostly_near_peers(near, asked - near, now),
                   encode_peer_message(freshness_question{nonce}));
}

} // namespace laurelhoist
