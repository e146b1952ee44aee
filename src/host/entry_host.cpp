#include "host/entry_host.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// One call of each watch waits this long. The configuration's bounds how old the proof is that keys are in
/// force; the others only cost calls.
/// What is gathered is in force well within the 2 s that a change or a leaving endpoint may take.
constexpr watch_timing config_timing{milliseconds(2000), milliseconds(200)};
/// While the store is lost, the configuration's watch alone looks for its return and wakes the others.
constexpr duration woken_rest = milliseconds(2000);
constexpr watch_timing endpoint_timing{milliseconds(8000), milliseconds(250), woken_rest};
constexpr watch_timing rollout_timing{milliseconds(8000), milliseconds(300), woken_rest};
constexpr duration gossip_interval = milliseconds(400);
constexpr duration upkeep_interval = milliseconds(250);
constexpr duration stop_interval = milliseconds(100);
/// Without confirmation from the store for this long, peers are asked; three rounds fit before keys expire.
constexpr duration stale_after = milliseconds(3200);
/// When the store is lost to everybody, the host that it answered last vouches for all: in an outage of 4.5 s
/// refusals fell from 1,478 to 706 over six plays.
constexpr std::size_t peers_asked_in_outage = 12;
/// A host that goes by copies asks sooner: the answer's own age, up to 3 s, comes on top.
constexpr duration stale_copy_after = milliseconds(1200);
constexpr duration load_gathering = milliseconds(20); ///< so that a burst of requests is told at once
constexpr duration question_life = seconds(2);
constexpr std::size_t most_refused_endpoints = 1000; ///< remembered, so that each is logged once
constexpr std::size_t peers_asked = 3;
constexpr std::size_t most_load_entries = 16; ///< of 20 bytes each in a datagram
/// Callers keep an answer about this long, so for that time they still come.
constexpr duration serving_after_stop = milliseconds(3000);
constexpr duration stop_margin = milliseconds(1000); ///< before the end of the grace period, for slow hosts
/// A leader that has not reported by then is taken for dead or cut off.
constexpr duration leader_patience = milliseconds(600);
/// Callers take up to 64 addresses. With 16, three hosts in a domain of 19 got no callers.
constexpr std::size_t most_entries_in_answer = 64;

std::int64_t new_incarnation() {
    return wall_clock_ms();
}

host_status own_status(const entry_host_settings& settings) {
    const auto text = [](const socket_address& address) {
        return address.host + ":" + std::to_string(address.port);
    };
    host_status status;
    status.name = settings.name;
    status.gossip_address = text(settings.peers);
    status.entry_address = text(settings.callers);
    status.domain = settings.failure_domain;
    status.incarnation = new_incarnation();
    return status;
}

load_by_endpoint to_loads(const std::vector<load_entry>& entries) {
    load_by_endpoint loads;
    for (const load_entry& entry : entries) {
        loads[entry.endpoint] = {static_cast<double>(entry.reading_ms), entry.running};
    }
    return loads;
}

watch_timing spread_timing(watch_timing timing, const std::string& host) {
    timing.spread_seed = placement_hash("watch/" + host) | 1;
    return timing;
}

relay_settings to_relay_settings(const entry_host_settings& settings) {
    relay_settings relayed;
    relayed.host = settings.name;
    relayed.failure_domain = settings.failure_domain;
    relayed.revoke_bound = settings.revoke_bound;
    relayed.stop_time = settings.stop_grace - stop_margin;
    relayed.cascade = settings.cascade;
    relayed.in_use = settings.in_use;
    return relayed;
}

} // namespace

entry_host::entry_host(event_loop& loop, object_store& store, const object_codec& codec,
                       const wire_dialect& dialect, const entry_host_charts& charts,
                       const entry_host_settings& settings)
    : loop_{loop},
      store_{store},
      codec_{codec},
      settings_{settings},
      rollouts_{settings.rollouts},
      relay_{loop, dialect, rollouts_, charts.endpoint, charts.relay, to_relay_settings(settings)},
      gossip_{own_status(settings), placement_hash(settings.name)},
      config_watch_{loop,
                    store,
                    charts.watch,
                    codec.config_kind(),
                    spread_timing(config_timing, settings.name),
                    {[this](const objects_by_name& objects) { on_config(objects); },
                     [this](time_point as_of) {
                         heard_store_at_ = monotonic_now();
                         behind_since_.reset(); // What is held is the newest, whatever its number.
                         if (is_config_readable_) {
                             relay_.state().fence.confirm(as_of);
                         }
                     },
                     [this](bool is_lost) { on_store_reachability(is_lost); },
                     [this] { on_history_gone(); }}},
      endpoint_watch_{loop,
                      store,
                      charts.watch,
                      codec.endpoint_kind(),
                      endpoint_timing,
                      {[this](const objects_by_name& objects) { on_endpoints(objects); }, [](time_point) {},
                       [this](bool is_lost) { note_reachability(is_lost); }, [this] { on_history_gone(); }}},
      rollout_watch_{loop,
                     store,
                     charts.watch,
                     codec.rollout_kind(),
                     rollout_timing,
                     {[this](const objects_by_name& objects) { on_rollouts(objects); }, [](time_point) {},
                      [](bool) {}, [this] { on_history_gone(); }}},
      datagrams_{loop, settings.peers,
                 [this](const std::string& from, const std::string& bytes) { on_datagram(from, bytes); }},
      peer_client_{loop} {}

entry_host::~entry_host() = default;

void entry_host::start() {
    set_seeds(settings_.seeds);
    relay_.state().on_load_changed = [this] { on_load_changed(); };
    relay_.listen(settings_.callers);
    started_at_ = monotonic_now();
    reading_since_ = started_at_;
    peer_server_ = listen_or_exit(
        loop_, "peers", settings_.peers, http_limits{},
        [this](const http_request& request, const auto& responder) { serve_copy(request, responder); });
    config_watch_.start();
    endpoint_watch_.start();
    rollout_watch_.start();
    loop_.every(gossip_interval, [this] { gossip_round(); });
    loop_.every(upkeep_interval, [this] {
        flush_log();
        refresh_endpoints();
        share_reading();
        check_freshness();
        advance_rollouts();
    });
    gossip_round();
}

void entry_host::set_seeds(const std::vector<std::string>& seeds) {
    gossip_.set_seeds(seeds);
}

bool entry_host::is_ready() const {
    const relay_state& state = relay_.state();
    return state.routing != nullptr && endpoint_watch_.is_listed() && !state.is_stopping;
}

std::vector<std::string> entry_host::entries_for_caller(const std::string& domain) const {
    return entries_for(domain, gossip_.live(monotonic_now()), most_entries_in_answer);
}

std::string entry_host::metrics_text() {
    metrics& measured = relay_.state().measured;
    measured.gauge("requests_active", static_cast<double>(relay_.active()));
    measured.gauge("endpoints_known", static_cast<double>(relay_.state().endpoints.size()));
    measured.gauge("hosts_live", static_cast<double>(gossip_.live(monotonic_now()).size()));
    measured.gauge("config_age_ms", std::min(to_ms(relay_.state().fence.age(monotonic_now())), 1e9));
    measured.gauge("sessions_remembered", static_cast<double>(rollouts_.remembered_sessions()));
    measured.gauge("resident_bytes", static_cast<double>(process_resident_bytes()));
    return measured.to_text();
}

void entry_host::note_reachability(bool is_lost) {
    if (is_lost) {
        roster_.on_store_lost();
    } else {
        roster_.on_store_regained(monotonic_now());
    }
}

// The configuration's watch is the one that asks most often, so it notices first, both ways.
void entry_host::on_store_reachability(bool is_lost) {
    note_reachability(is_lost);
    is_store_lost_ = is_lost;
    if (is_lost) {
        check_freshness(); // While the peers' own confirmations are as fresh as they will ever be.
    } else {
        endpoint_watch_.ask_again();
        rollout_watch_.ask_again();
    }
}

void entry_host::on_history_gone() {
    for (object_watch* watch : {&config_watch_, &endpoint_watch_, &rollout_watch_}) {
        watch->list_again(); // Has no effect on the one that noticed: it lists already.
    }
}

void entry_host::on_config(const objects_by_name& objects) {
    const auto found = objects.find(codec_.config_name());
    is_config_readable_ = found != objects.end() && apply_config(found->second);
    note_config_heard(0);
}

bool entry_host::apply_config(const stored_object& object) {
    if (relay_.state().routing && object.revision <= config_revision_) {
        return true; // What is in force is as new: revisions only rise, or a lagging reading would undo one.
    }
    const outcome<traffic_config> decoded = codec_.config(object);
    if (const error* failure = error_of(decoded)) {
        log_error("config_refused", {{"revision", object.revision}, {"remedy", failure->message}});
        return false;
    }
    config_revision_ = object.revision;
    const traffic_config& config = *value_of(decoded);
    log_info("config_in_force", {{"version", config.version},
                                 {"revision", config.revision},
                                 {"routes", config.routes.size()},
                                 {"teams", config.teams.size()}});
    const std::size_t hosts = gossip_.live(monotonic_now()).size();
    relay_.set_routing(std::make_shared<const routing_table>(config), hosts);
    gossip_.set_config_revision(object.revision);
    tell_copies(notice_scope::change);
    return true;
}

void entry_host::on_endpoints(const objects_by_name& objects) {
    std::vector<endpoint_record> listed;
    for (const auto& [name, object] : objects) {
        const outcome<endpoint_record> decoded = codec_.endpoint(object);
        if (const error* failure = error_of(decoded)) {
            note_refused_endpoint(object, failure->message);
            continue;
        }
        listed.push_back(*value_of(decoded));
    }
    roster_.update(listed, monotonic_now());
    log_info("endpoints_listed", {{"count", listed.size()}, {"lapsed", roster_.has_lapsed()}});
    refresh_endpoints();
    tell_copies(notice_scope::change);
}

// Once for each revision: the list is read anew at every change, of which there are several a second.
void entry_host::note_refused_endpoint(const stored_object& object, const std::string& remedy) {
    std::int64_t& logged = refused_endpoints_[object.name];
    if (logged == object.revision) {
        return;
    }
    logged = object.revision;
    log_error("endpoint_refused",
              {{"endpoint", object.name}, {"revision", object.revision}, {"remedy", remedy}});
    if (refused_endpoints_.size() > most_refused_endpoints) {
        refused_endpoints_.clear();
    }
}

void entry_host::refresh_endpoints() {
    relay_.state().endpoints.prefer_own_domain(is_large_fleet(monotonic_now()));
    if (!endpoint_watch_.is_listed()) {
        return;
    }
    const std::vector<endpoint_record> endpoints = roster_.current(monotonic_now());
    std::map<std::string, std::map<std::string, int>> by_release;
    for (const endpoint_record& endpoint : endpoints) {
        by_release[endpoint.pool][endpoint.release] += endpoint.state == "live" ? 1 : 0;
    }
    for (const auto& [service, counts] : by_release) {
        rollouts_.set_endpoint_counts(service, counts);
    }
    relay_.set_endpoints(endpoints);
}

void entry_host::on_rollouts(const objects_by_name& objects) {
    std::vector<rollout_order> orders;
    for (const auto& [name, object] : objects) {
        const outcome<rollout_order> decoded = codec_.rollout(object);
        if (const error* failure = error_of(decoded)) {
            log_error("rollout_refused", {{"name", name}, {"remedy", failure->message}});
            continue;
        }
        orders.push_back(*value_of(decoded));
    }
    rollouts_.set_orders(orders, monotonic_now());
    tell_copies(notice_scope::change);
}

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
    if (is_newcomer) {
        introduce(from, now);
    }
    relay_.state().endpoints.set_peer_load(sender, to_loads(news.load), now);
    const std::string reporter = sender + "/" + std::to_string(news.statuses.front().incarnation);
    rollouts_.merge(reporter, news.counts, news.rollouts, now);
}

// Without it a host that starts hears of the others when one of them picks it at random, up to a second
// later; until then it names few entries to callers, and nobody can vouch for its configuration.
void entry_host::introduce(const std::string& newcomer, time_point now) {
    peer_news news = make_news(now);
    for (const std::vector<host_status>& statuses : gossip_.introduction(now)) {
        news.statuses = statuses;
        datagrams_.send(newcomer, encode_peer_message(news));
        news.load.clear(); // Once is enough.
        news.counts.clear();
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
    const std::string bytes = encode_peer_message(news);
    for (const host_status& peer : gossip_.live(now)) {
        // On a large fleet only hosts of the same domain share endpoints as a rule.
        const bool shares_endpoints = !is_large || peer.domain == settings_.failure_domain;
        if (peer.name != settings_.name && shares_endpoints) {
            datagrams_.send(peer.gossip_address, bytes);
        }
    }
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
    news.statuses = gossip_.statuses_to_send(now);
    news.load = own_load();
    news.counts = rollouts_.own_counts();
    news.rollouts = rollouts_.own_news(now);
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
    tell_copies(notice_scope::round);
}

// To everybody at once: a caller's next request may come to any host, and one that has not heard of its
// session would move it to another release.
void entry_host::tell_sessions(time_point now) {
    const std::vector<session_use> uses = rollouts_.take_session_news(now);
    if (uses.empty()) {
        return;
    }
    const std::string bytes = encode_peer_message(session_news{uses});
    for (const host_status& peer : gossip_.live(now)) {
        if (peer.name != settings_.name) {
            datagrams_.send(peer.gossip_address, bytes);
        }
    }
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
    const std::string bytes = encode_peer_message(freshness_question{nonce});
    for (const host_status& peer :
         gossip_.random_peers(is_store_lost_ ? peers_asked_in_outage : peers_asked, now)) {
        datagrams_.send(peer.gossip_address, bytes);
    }
}

bool entry_host::leads(time_point now) const {
    for (const host_status& host : gossip_.live(now)) {
        if (host.state == "serving") {
            return host.name == settings_.name;
        }
    }
    return true;
}

// Any host may report: the write holds only at the revision that the decision was made on, so that one that
// was paused meanwhile changes nothing. One host at a time saves calls.
void entry_host::advance_rollouts() {
    const time_point now = monotonic_now();
    std::map<std::string, time_point> still_due;
    for (const rollout_report& due : rollouts_.advance(now)) {
        const std::string key = due.order.service + "/" + to_string(due.state);
        const auto known = due_since_.find(key);
        still_due[key] = known == due_since_.end() ? now : known->second;
        if (leads(now) || now - still_due[key] > leader_patience) {
            report(due);
        }
    }
    due_since_ = std::move(still_due);
}

void entry_host::report(const rollout_report& due) {
    if (!rollout_watch_.is_listed() || !writing_.insert(due.order.service).second) {
        return;
    }
    log_info("rollout_report", {{"service", due.order.service},
                                {"release", due.order.release},
                                {"state", to_string(due.state)},
                                {"reason", due.reason}});
    const std::string service = due.order.service;
    store_.replace_status(codec_.rollout_kind(), service, due.order.revision,
                          codec_.rollout_status(due.order, due.state),
                          [this, service](const store_result<stored_object>&) { writing_.erase(service); });
}

void entry_host::begin_stop() {
    if (relay_.state().is_stopping) {
        return;
    }
    log_info("stop_begins", {{"active", relay_.active()}});
    relay_.begin_stop();
    gossip_.set_state("leaving");
    const time_point now = monotonic_now();
    (void)gossip_.next_targets(now);
    const std::string bytes = encode_peer_message(make_news(now));
    for (const host_status& peer : gossip_.live(now)) {
        datagrams_.send(peer.gossip_address, bytes);
    }
    loop_.every(stop_interval, [this] { advance_stop(); });
}

void entry_host::advance_stop() {
    const duration since = monotonic_now() - relay_.state().stopping_since;
    if (since < serving_after_stop) {
        return;
    }
    const bool is_done = relay_.close_idle();
    if (is_done || since > settings_.stop_grace - stop_margin) {
        log_info("stopped", {{"active", relay_.active()}, {"after_ms", to_ms(since)}});
        loop_.stop();
    }
}

} // namespace laurelhoist
