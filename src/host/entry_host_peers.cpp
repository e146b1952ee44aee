// Datagrams between entry hosts: which hosts are alive, how recently their configuration was confirmed, which
// requests they have in flight, and what they have learned about endpoints.
#include "host/entry_host.h"

#include "base/bounded.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// A host whose configuration the store has not confirmed for this long asks its peers, which leaves time for
/// three rounds of questions before its API keys expire.
constexpr duration stale_after = milliseconds(3200);
/// If no host reaches the store, the host that the store answered last has the most recent confirmation.
/// Asking this many peers, instead of three, finds it more often: in a store outage of 4.5 s it reduced
/// refusals from 1,478 to 706 over six runs.
constexpr std::size_t peers_asked_in_outage = 12;
/// A host that uses copies or has lost the store asks its peers sooner, because the age of the answer, up to
/// 3 s, is added.
constexpr duration stale_copy_after = milliseconds(1200);
constexpr duration load_batch_delay = milliseconds(20); ///< so that one message covers a burst of requests
/// The engines of a failure domain end together, and requests detect that within about 100 ms.
constexpr duration refusal_batch_delay = milliseconds(30);
/// If nearly all endpoints of a service refuse connections, the other hosts say within this time whether they
/// have lost it too.
constexpr duration lost_links_delay = milliseconds(500);
constexpr std::size_t max_refusals_per_message = 64; ///< 25 bytes each
/// All requests that break off when an endpoint crashes are detected within about 5 ms.
constexpr duration crash_batch_delay = milliseconds(10);
constexpr std::size_t max_crashes_per_round = 8;    ///< about 60 bytes each; the newest ones are sent
constexpr std::size_t max_crashes_per_message = 16; ///< in a message sent outside the gossip rounds
/// Engines under the same load state their rate limits within about 10 ms of one another.
constexpr duration limit_batch_delay = milliseconds(10);
constexpr std::size_t max_limits_per_round = 8;    ///< about 30 bytes each; each round sends other ones
constexpr std::size_t max_limits_per_message = 32; ///< in a message sent outside the gossip rounds
constexpr std::size_t max_paces_per_round = 4;     ///< about 20 bytes each; each round sends other ones
constexpr std::uint64_t rounds_per_usage = 3;      ///< a sample is kept for longer than three rounds
/// For this long after its start a host may know too few others to determine the sponsors of an endpoint.
/// Gossip rounds name all hosts within 2 s.
constexpr duration host_discovery_time = seconds(3);
constexpr duration introduction_window = seconds(1);
constexpr std::size_t max_introductions_per_window = 4;
constexpr duration question_timeout = seconds(2);
constexpr std::size_t peers_asked = 3;
constexpr std::size_t own_domain_peers_asked = 2; ///< of them, in the own failure domain (large fleet)

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

std::vector<load_entry> to_entries(const load_by_endpoint& loads) {
    std::vector<load_entry> entries;
    entries.reserve(loads.size());
    for (const auto& [endpoint, load] : loads) {
        entries.push_back(
            {endpoint, bounded(std::round(load.reading_ms), -max_reading_ms, max_reading_ms), load.running});
    }
    return entries;
}

bool is_configured_team(const routing_snapshot& routing, const std::string& name) {
    return routing != nullptr && std::any_of(routing->config().teams.begin(), routing->config().teams.end(),
                                             [&](const traffic_team& team) { return team.name == name; });
}

/** Calls \p send with consecutive parts of \p items of at most \p max_count, one for each message. */
template <class Item, class Send>
void for_each_part(const std::vector<Item>& items, std::size_t max_count, const Send& send) {
    for (std::size_t first = 0; first < items.size(); first += max_count) {
        const std::size_t last = std::min(items.size(), first + max_count);
        send(std::vector<Item>(items.begin() + static_cast<std::ptrdiff_t>(first),
                               items.begin() + static_cast<std::ptrdiff_t>(last)));
    }
}

} // namespace

void entry_host::on_datagram(const std::string& from, const std::string& bytes) {
    if (const std::optional<peer_message> message = read_message(from, bytes)) {
        const std::string kind = peer_message_name(*message);
        relay_.state().measured.count("peer_messages_received_" + kind);
        relay_.state().measured.count("peer_bytes_received_" + kind, bytes.size());
        std::visit([&](const auto& typed) { handle(from, typed); }, *message);
    }
}

std::optional<peer_message> entry_host::read_message(const std::string& from, const std::string& bytes) {
    std::string reason;
    std::optional<peer_message> message = decode_peer_message(bytes, &reason);
    if (!message) {
        relay_.state().measured.count("peer_messages_unreadable");
        if (const auto left_out = unreadable_lines_.admit(monotonic_now())) {
            log_warning(
                "peer_message_unreadable",
                {{"from", from}, {"reason", reason}, {"bytes", bytes.size()}, {"left_out", *left_out}});
        }
    }
    return message;
}

void entry_host::handle(const std::string& from, const gossip_message& message) {
    if (message.statuses.empty()) {
        return;
    }
    const time_point now = monotonic_now();
    const std::string& sender = message.statuses.front().name;
    const bool is_newcomer =
        message.statuses.front().state == "starting" && !gossip_.knows(message.statuses.front());
    gossip_.merge(message.statuses, now);
    const std::vector<host_heartbeat> beats = decode_heartbeats(message.beats);
    gossip_.merge_heartbeats(beats, now);
    if (relay_.state().hosts == 1) {
        relay_.set_hosts(gossip_.count_hosts(now)); // Callers may arrive before the next round.
    }
    if (is_newcomer) {
        send_introduction(from, now);
    } else if (message.is_round) {
        send_missing_statuses(from, sender, beats, now);
    }
    // Other messages than rounds name some of the sender's load, or none.
    if (message.is_round) {
        relay_.state().endpoints.set_round_load(sender, to_loads(message.load), now);
    } else if (!message.load.empty()) {
        relay_.state().endpoints.update_peer_load(sender, to_loads(message.load), now);
    }
    const std::string reporter = sender + "/" + std::to_string(message.statuses.front().incarnation);
    rollouts_.merge(reporter, message.counts, message.rollouts, now);
    merge_refusals(message.refused);
    relay_.merge_crash_notices(message.crashes);
    relay_.merge_limit_notices(message.limits);
    relay_.merge_pace_notices(sender, message.paces);
    if (message.is_round) {
        relay_.state().admission.teams.merge(sender, message.usage, now, [this](const std::string& team) {
            return team.empty() || is_configured_team(relay_.state().routing, team);
        });
    }
    for (const copy_notice& notice : message.copies) {
        handle(from, notice);
    }
}

// Without an introduction, a host that starts learns of the others only when one of them picks it at random,
// up to a second later. Until then it names few entries to callers, and no peer can confirm its
// configuration.
//
// Load pattern: 985 hosts start at once. If each host introduced every newcomer that contacts it, it would
// send thousands of messages a second; a host that is not introduced learns of the others in the gossip
// rounds.
void entry_host::send_introduction(const std::string& newcomer, time_point now) {
    if (now - introductions_since_ > introduction_window) {
        introductions_since_ = now;
        introductions_ = 0;
    }
    if (++introductions_ > max_introductions_per_window) {
        return;
    }
    gossip_message message = make_gossip_message(now);
    for (const std::vector<host_status>& statuses : gossip_.introduction_messages(now)) {
        message.statuses = statuses;
        message.is_round = false;
        datagrams_.send(newcomer, encode_peer_message(message));
        message.load.clear(); // Once is enough for this and the following fields.
        message.counts.clear();
        message.beats.clear();
        message.crashes.clear();
        message.limits.clear();
        message.paces.clear();
        message.usage.clear();
    }
}

void entry_host::send_missing_statuses(const std::string& recipient_address, const std::string& recipient,
                                       const std::vector<host_heartbeat>& beats, time_point now) {
    gossip_message message;
    message.statuses = gossip_.statuses_missing_in(beats, recipient, now);
    if (!message.statuses.empty()) {
        datagrams_.send(recipient_address, encode_peer_message(message));
    }
}

void entry_host::handle(const std::string&, const load_update& message) {
    relay_.state().endpoints.update_peer_load(message.sender, to_loads(message.load), monotonic_now());
}

// Returns only the changes: with every endpoint in every message, load updates made up a fifth of the bytes
// between failure domains. The next gossip rounds repair the loss of a message.
std::vector<load_entry> entry_host::take_load_changes(std::size_t recipients) {
    const double min_backlog_ms = min_announced_backlog_ms(recipients);
    const endpoint_directory& endpoints = relay_.state().endpoints;
    load_by_endpoint announced;
    for (const auto& [endpoint, load] : endpoints.own_load()) {
        if (endpoints.backlog_ms(endpoint) >= min_backlog_ms) {
            announced[endpoint] = load;
        }
    }
    return to_entries(load_announcer_.take_changes(announced));
}

// Load pattern: several hosts receive a long prompt within the same tenth of a second. If they learn of each
// other's load only in the next gossip round, they all choose the same idle endpoint, where the last prompt
// waits for the others.
void entry_host::on_load_changed() {
    if (is_load_update_scheduled_) {
        return;
    }
    is_load_update_scheduled_ = true;
    loop_.after(load_batch_delay, [this] {
        is_load_update_scheduled_ = false;
        send_load_update();
    });
}

void entry_host::send_load_update() {
    // On a large fleet, usually only hosts of the same failure domain share endpoints.
    const time_point now = monotonic_now();
    const std::vector<host_status>& live = gossip_.live(now);
    const bool is_large = is_large_fleet(now);
    const auto sharers = static_cast<std::size_t>(
        is_large ? std::count_if(live.begin(), live.end(),
                                 [this](const host_status& host) { return is_in_own_domain(host); })
                 : static_cast<std::ptrdiff_t>(live.size()));
    const load_update message{settings_.name, take_load_changes(sharers - 1)};
    if (message.load.empty()) {
        return;
    }
    const std::string bytes = encode_peer_message(message);
    if (is_large) {
        send_to_own_domain(bytes, now);
    } else {
        send_to_others(live, bytes);
    }
}

void entry_host::send_to_others(const std::vector<host_status>& peers, const std::string& bytes) {
    for (const host_status& peer : peers) {
        if (peer.name != settings_.name) {
            datagrams_.send(peer.gossip_address, bytes);
        }
    }
}

bool entry_host::is_in_own_domain(const host_status& host) const {
    return host.domain == settings_.failure_domain;
}

void entry_host::send_to_own_domain(const std::string& bytes, time_point now) {
    for (const host_status& host : gossip_.live(now)) {
        if (is_in_own_domain(host) && host.name != settings_.name) {
            datagrams_.send(host.gossip_address, bytes);
        }
    }
}

// In a large domain a host knows only the first hosts of each other domain. Two of them pass the message on
// to their domain, so that the loss of one message or host does not keep it from a whole domain.
void entry_host::send_to_all(const peer_message& message) {
    const time_point now = monotonic_now();
    const std::vector<host_status>& live = gossip_.live(now);
    const std::string bytes = encode_peer_message(message);
    if (!gossip_.is_in_large_domain(now)) {
        send_to_others(live, bytes);
        return;
    }
    send_to_own_domain(bytes, now);
    std::vector<host_status> relays = select_relays(live);
    relays.erase(std::remove_if(relays.begin(), relays.end(),
                                [this](const host_status& host) { return is_in_own_domain(host); }),
                 relays.end());
    send_to_others(relays, encode_peer_message(forwarded_message{bytes}));
}

void entry_host::handle(const std::string& from, const forwarded_message& message) {
    const std::optional<peer_message> inner = read_message(from, message.bytes);
    if (!inner || std::holds_alternative<forwarded_message>(*inner)) {
        return; // A message is passed on once, so that it cannot circulate between domains.
    }
    std::visit([&](const auto& typed) { handle(from, typed); }, *inner);
    send_to_own_domain(message.bytes, monotonic_now());
}

void entry_host::on_refused(const std::string& endpoint) {
    const bool is_first = unsent_refusals_.empty();
    unsent_refusals_.insert(endpoint);
    if (is_first) {
        schedule_refusal_update(refusal_batch_delay);
    }
}

void entry_host::schedule_refusal_update(duration delay) {
    loop_.after(delay, [this] { send_refusal_update(); });
}

// Sent to all hosts at once: an endpoint may restart within a second, and hosts that do not know of the
// restart would treat it as idle instead of cold.
void entry_host::send_refusal_update() {
    if (drop_refusals_of_lost_links()) {
        schedule_refusal_update(lost_links_delay);
        return;
    }
    const time_point now = monotonic_now();
    std::vector<refused_endpoint> refused;
    for (const auto& [endpoint, age] : relay_.state().endpoints.allowance().cold().refused(now)) {
        if (unsent_refusals_.count(endpoint) > 0) {
            refused.push_back({endpoint, std::llround(to_ms(age))});
        }
    }
    unsent_refusals_.clear();
    log_info("endpoints_refused_connections", {{"count", refused.size()}});
    for_each_part(refused, max_refusals_per_message, [this](std::vector<refused_endpoint> part) {
        send_to_all(refusal_update{std::move(part)});
    });
}

void entry_host::handle(const std::string&, const refusal_update& message) {
    merge_refusals(message.refused);
}

void entry_host::merge_refusals(const std::vector<refused_endpoint>& refused) {
    for (const refused_endpoint& each : refused) {
        const duration age = foreign_time(std::max<std::int64_t>(0, each.age_ms));
        relay_.merge_refusal(each.endpoint, age);
        unsent_refusals_.erase(each.endpoint); // All hosts have been notified already.
    }
}

std::vector<refused_endpoint> entry_host::known_refusals(time_point now) {
    std::vector<refused_endpoint> refused;
    cold_endpoints& cold = relay_.state().endpoints.allowance().cold();
    for (const auto& [endpoint, age] : cold.next_refused(max_refusals_per_message, now)) {
        refused.push_back({endpoint, std::llround(to_ms(age))});
    }
    return refused;
}

void entry_host::assign_sponsored_endpoints(time_point now) {
    const host_view view{gossip_.live(now), now - started_at_ > host_discovery_time};
    relay_.state().endpoints.allowance().set_hosts(view, now);
}

void entry_host::schedule_limit_updates() {
    if (is_limit_update_scheduled_) {
        return;
    }
    is_limit_update_scheduled_ = true;
    loop_.after(limit_batch_delay, [this] {
        is_limit_update_scheduled_ = false;
        send_limit_updates();
    });
}

// Sent to all hosts at once: hosts that do not know of a limit keep their rate, which adds to the rate that
// the sponsors send.
void entry_host::send_limit_updates() {
    const time_point now = monotonic_now();
    const std::vector<limit_notice> limits = relay_.state().endpoints.allowance().limits().take_pending(now);
    for_each_part(limits, max_limits_per_message,
                  [this](std::vector<limit_notice> part) { send_to_all(limit_update{std::move(part)}); });
}

void entry_host::handle(const std::string&, const limit_update& message) {
    relay_.merge_limit_notices(message.limits);
}

// Hosts agree on who tracks or tries a request only if they choose among the same ones.
std::vector<host_status> entry_host::hosts_known_to_all(time_point now) const {
    const std::vector<host_status>& live = gossip_.live(now);
    return gossip_.is_in_large_domain(now) ? select_relays(live) : live;
}

void entry_host::assign_trials(time_point now) {
    if (relay_.state().quarantine.is_empty()) {
        return;
    }
    relay_.state().quarantine.set_hosts(names_of(hosts_known_to_all(now)),
                                        now - started_at_ > host_discovery_time);
}

void entry_host::schedule_crash_updates() {
    if (is_crash_update_scheduled_) {
        return;
    }
    is_crash_update_scheduled_ = true;
    loop_.after(crash_batch_delay, [this] {
        is_crash_update_scheduled_ = false;
        send_crash_updates();
    });
}

// Guards against a request that crashes endpoints and arrives at another host each time, so that no single
// host sees the three crashes that quarantine it. Requests that may be quarantined next are sent to all hosts
// at once, because they return within a second. On a large fleet a first crash is sent only to a few hosts
// that count it; otherwise the loss of a failure domain would make every host notify every other of thousands
// of innocent requests.
void entry_host::send_crash_updates() {
    const time_point now = monotonic_now();
    const crash_quarantine::pending_notices pending_notices = relay_.state().quarantine.take_pending(now);
    const std::vector<host_status>& live = gossip_.live(now);
    std::vector<crash_notice> for_all = pending_notices.for_all;
    std::map<std::string, std::vector<crash_notice>> by_tracker;
    if (is_large_fleet(now)) {
        const std::vector<std::string> names = names_of(hosts_known_to_all(now));
        for (const crash_notice& notice : pending_notices.for_trackers) {
            for (const std::string& tracker : trackers_of(notice.digest, names)) {
                by_tracker[tracker].push_back(notice);
            }
        }
    } else {
        for_all.insert(for_all.end(), pending_notices.for_trackers.begin(),
                       pending_notices.for_trackers.end());
    }
    for_each_part(for_all, max_crashes_per_message,
                  [this](std::vector<crash_notice> part) { send_to_all(crash_update{std::move(part)}); });
    for (const host_status& peer : live) {
        const auto found = by_tracker.find(peer.name);
        if (found != by_tracker.end()) {
            // After the loss of a failure domain there may be more notices. The rest is dropped; those
            // requests are counted again if an endpoint crashes under them once more.
            found->second.resize(std::min(found->second.size(), max_crashes_per_message));
            send_to_others({peer}, encode_peer_message(crash_update{found->second}));
        }
    }
}

void entry_host::handle(const std::string&, const crash_update& message) {
    relay_.merge_crash_notices(message.crashes);
}

void entry_host::handle(const std::string& from, const freshness_question& question) {
    const relay_state& state = relay_.state();
    const duration age = state.freshness.age(monotonic_now());
    if (!state.routing || age == duration::max()) {
        return;
    }
    datagrams_.send(from,
                    encode_peer_message(freshness_answer{question.nonce, config_revision_, age.count()}));
}

void entry_host::handle(const std::string& from, const freshness_answer& answer) {
    const auto asked = open_questions_.find(answer.nonce);
    if (asked == open_questions_.end()) {
        return;
    }
    const time_point as_of = asked->second - duration(answer.age_us);
    note_config_revision(answer.config_revision);
    if (answer.config_revision > config_revision_) {
        fetch_copy(from, config_watch_, codec_.config_kind());
    } else if (answer.config_revision == config_revision_ && relay_.state().routing) {
        relay_.state().freshness.confirm(as_of);
        relay_.state().measured.count("config_vouched_by_peer");
    }
}

gossip_message entry_host::make_gossip_message(time_point now, gossip_scope scope) {
    gossip_message message;
    message.is_round = true;
    message.statuses = gossip_.statuses_to_send(now, scope);
    message.beats = encode_heartbeats(gossip_.heartbeats_to_send(now, scope));
    message.load = to_entries(load_announcer_.next_round(relay_.state().endpoints.own_load()));
    if (!is_large_fleet(now)) {
        message.counts = rollouts_.own_counts();
    }
    message.rollouts = rollouts_.own_gossip(now);
    message.refused = known_refusals(now);
    message.crashes = relay_.state().quarantine.known(max_crashes_per_round, now);
    message.limits = relay_.state().endpoints.allowance().limits().next_to_gossip(max_limits_per_round, now);
    if (settings_.in_use.knows_pace) {
        relay_.end_old_paces();
        message.paces = relay_.state().endpoints.pace().next_to_gossip(max_paces_per_round, now);
    }
    if (settings_.in_use.protects_shares && rounds_ % rounds_per_usage == 0) {
        message.usage = relay_.state().admission.teams.samples_to_gossip(now);
    }
    if (gossip_.is_in_large_domain(now)) {
        message.copies = {own_copies()};
    }
    return message;
}

void entry_host::gossip_round() {
    const time_point now = monotonic_now();
    relay_.set_hosts(gossip_.count_hosts(now));
    gossip_.set_state(relay_.state().is_stopping ? "leaving" : is_ready() ? "serving" : "starting");
    std::map<gossip_scope, std::string> bytes;
    for (const gossip_target& target : gossip_.next_targets(now)) {
        std::string& message = bytes[target.scope];
        if (message.empty()) {
            message = encode_peer_message(make_gossip_message(now, target.scope));
        }
        datagrams_.send(target.address, message);
    }
    send_session_update(now);
    send_counts_when_due(now);
    if (!gossip_.is_in_large_domain(now)) {
        send_copy_notice(notice_scope::round);
    }
}

// Sent to all hosts at once: a caller's next request may arrive at any host, and a host that does not know of
// its session would move the session to another release.
void entry_host::send_session_update(time_point now) {
    const std::vector<session_use> uses = rollouts_.take_session_updates(now);
    if (uses.empty()) {
        return;
    }
    send_to_all(session_update{uses});
}

void entry_host::handle(const std::string&, const session_update& message) {
    rollouts_.merge_sessions(message.uses, monotonic_now());
}

// Asks peers when this host's configuration is stale because the store does not serve this host although it
// serves others. A peer that the store has answered can confirm that the configuration held here is still the
// newest, or name a newer one, in which keys may have been withdrawn.
void entry_host::check_freshness() {
    const time_point now = monotonic_now();
    for (auto item = open_questions_.begin(); item != open_questions_.end();) {
        item = now - item->second > question_timeout ? open_questions_.erase(item) : std::next(item);
    }
    if (!settings_.in_use.vouches) {
        return;
    }
    const bool is_store_answering = reads_everything() && !store_lost_since_;
    if (relay_.state().freshness.age(now) < (is_store_answering ? stale_after : stale_copy_after)) {
        return;
    }
    const std::int64_t nonce = ++last_nonce_;
    open_questions_[nonce] = now;
    const std::size_t asked = store_lost_since_ ? peers_asked_in_outage : peers_asked;
    const std::size_t own_domain = asked * own_domain_peers_asked / peers_asked;
    send_to_others(gossip_.random_peers_by_domain(own_domain, asked - own_domain, now),
                   encode_peer_message(freshness_question{nonce}));
}

} // namespace laurelhoist
