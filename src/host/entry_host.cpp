#include "host/entry_host.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr watch_timing config_timing{config_wait, config_batch_delay};
/// Longest backoff of the other watches. While the store is unreachable, only the configuration's watch
/// retries often; it makes the others ask again as soon as the store answers.
constexpr duration secondary_watch_max_backoff = milliseconds(2000);
constexpr watch_timing endpoint_timing{endpoint_wait, endpoint_batch_delay, secondary_watch_max_backoff};
constexpr watch_timing rollout_timing{rollout_wait, rollout_batch_delay, secondary_watch_max_backoff};
constexpr watch_timing evacuation_timing{evacuation_wait, duration::zero(), secondary_watch_max_backoff};
constexpr duration gossip_interval = milliseconds(400);
constexpr duration maintenance_interval = milliseconds(250);
constexpr duration memory_check_interval = milliseconds(1000);
/// Body of a request for one of the host's own pages; none of them takes a body.
constexpr std::size_t max_page_body_bytes = 4 << 10;
constexpr duration stop_interval = milliseconds(100);
constexpr std::size_t max_logged_invalid_endpoints =
    1000; ///< endpoints whose last logged revision is remembered
/// Callers cache the list of entry hosts for about this long, so requests still arrive during this time.
constexpr duration serving_after_stop = milliseconds(3000);
constexpr duration stop_margin =
    milliseconds(1000); ///< kept free at the end of the grace period, for slow hosts
/// Of that time, what the network may take to accept the last answers.
constexpr duration last_answers_time = milliseconds(300);
/// Callers accept up to 64 addresses. With 16, three hosts in a domain of 19 got no callers.
constexpr std::size_t max_entries_in_answer = 64;

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
    status.capacity = settings.capacity;
    return status;
}

watch_timing with_jitter(watch_timing timing, const std::string& host) {
    timing.jitter_seed = placement_hash("watch/" + host) | 1;
    return timing;
}

relay_settings to_relay_settings(const entry_host_settings& settings) {
    relay_settings relayed;
    relayed.host = settings.name;
    relayed.failure_domain = settings.failure_domain;
    relayed.revoke_bound = settings.revoke_bound;
    relayed.stop_time = settings.stop_grace - stop_margin;
    relayed.caller_buffer_bytes = settings.caller_buffer_bytes;
    relayed.request_buffer_bytes = settings.request_buffer_bytes;
    relayed.answer_buffer_bytes = settings.answer_buffer_bytes;
    relayed.max_answer_bytes = settings.max_answer_bytes;
    relayed.receive_buffer_bytes = settings.receive_buffer_bytes;
    relayed.cascade = settings.cascade;
    relayed.in_use = settings.in_use;
    relayed.cold = settings.cold;
    relayed.repeats = settings.repeats;
    relayed.cold_sharing = settings.cold_sharing;
    relayed.connections = settings.connections;
    return relayed;
}

/// The watch passes changes on in batches.
rollout_settings with_order_delay(rollout_settings settings) {
    settings.order_delay = rollout_batch_delay;
    return settings;
}

} // namespace

entry_host::entry_host(event_loop& loop, object_store& store, const object_codec& codec,
                       const wire_dialect& dialect, const entry_host_charts& charts,
                       const entry_host_settings& settings)
    : loop_{loop},
      store_{store},
      codec_{codec},
      settings_{settings},
      rollouts_{with_order_delay(settings.rollouts)},
      relay_{loop, dialect, rollouts_, charts.endpoint, charts.relay, to_relay_settings(settings)},
      gossip_{own_status(settings), placement_hash(settings.name)},
      config_watch_{loop,
                    store,
                    charts.watch,
                    codec.config_kind(),
                    with_jitter(config_timing, settings.name),
                    {[this](const objects_by_name& objects) { on_config(objects); },
                     [this](time_point as_of) {
                         store_confirmed_at_ = monotonic_now();
                         behind_since_.reset(); // The copy held is the newest, whatever its revision.
                         if (is_config_readable_) {
                             relay_.state().freshness.confirm(as_of);
                         }
                         check_other_watches();
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
      evacuation_watch_{loop,
                        store,
                        charts.watch,
                        codec.evacuation_kind(),
                        evacuation_timing,
                        {[this](const objects_by_name& objects) { on_evacuations(objects); },
                         [](time_point) {}, [](bool) {}, [this] { on_history_gone(); }}},
      watches_{&config_watch_, &endpoint_watch_, &rollout_watch_},
      datagrams_{loop,
                 {"--peers (datagrams)", settings.peers},
                 [this](const std::string& from, const std::string& bytes) { on_datagram(from, bytes); }},
      peer_client_{loop},
      memory_{settings.memory_bytes} {
    if (settings.evacuations_enabled) {
        watches_.push_back(&evacuation_watch_);
    }
}

entry_host::~entry_host() = default;

void entry_host::start() {
    set_seeds(settings_.seeds);
    relay_.state().on_load_changed = [this] { on_load_changed(); };
    relay_.state().on_connection_refused = [this](const std::string& endpoint) { on_refused(endpoint); };
    relay_.state().on_crash_notices_changed = [this] { schedule_crash_updates(); };
    relay_.state().on_links_changed = [this] { announce_lost_pools(); };
    relay_.state().on_limits_changed = [this] { schedule_limit_updates(); };
    relay_.listen(settings_.callers);
    relay_.listen_for_peers(settings_.forwarding);
    relay_.state().peers.set_port(settings_.forwarding.port);
    started_at_ = monotonic_now();
    reading_since_ = started_at_;
    peer_server_ = std::make_unique<http_server>(
        loop_, listen_target{"--peers", settings_.peers}, page_limits(),
        [this](const http_request& request, const auto& responder) { serve_copy(request, responder); });
    for (object_watch* watch : watches()) {
        watch->pause(); // Takes effect after the first listing, until it is known which hosts read the store.
        // The configuration must be the newest: it is also the first confirmation that API keys are valid.
        watch->start(watch == &config_watch_ ? listing_freshness::newest : listing_freshness::lagging);
    }
    loop_.every(gossip_interval, [this] { gossip_round(); });
    loop_.every(maintenance_interval, [this] {
        flush_log();
        refresh_endpoints();
        assign_sponsored_endpoints(monotonic_now());
        assign_trials(monotonic_now());
        update_forwarding_peers();
        update_reading_mode();
        update_deciding_role(monotonic_now());
        check_freshness();
        check_memory(monotonic_now());
        send_counts_while_settling(monotonic_now());
        advance_rollouts();
    });
    gossip_round();
}

void entry_host::set_seeds(const std::vector<std::string>& seeds) {
    gossip_.set_seeds(seeds);
}

// A host that starts during an evacuation would otherwise send requests to the evacuated domain until it has
// read the order.
bool entry_host::knows_endpoints() const {
    return endpoint_watch_.is_listed() && (!settings_.evacuations_enabled || evacuation_watch_.is_listed());
}

bool entry_host::is_listening() const {
    return relay_.is_listening() && datagrams_.is_bound() && peer_server_ != nullptr &&
           peer_server_->is_listening();
}

bool entry_host::is_ready() const {
    const relay_state& state = relay_.state();
    return is_listening() && state.routing != nullptr && knows_endpoints() && !state.is_stopping;
}

http_limits entry_host::page_limits() const {
    http_limits limits;
    limits.body_bytes = max_page_body_bytes;
    limits.held = relay_.state().request_bytes;
    limits.held_bytes = relay_.state().settings.request_buffer_bytes;
    limits.connections = std::min(limits.connections, settings_.connections.page);
    return limits;
}

std::vector<std::string> entry_host::entries_for_caller(const std::string& domain) const {
    const std::vector<host_status>& live = gossip_.live(monotonic_now());
    return entries_for(domain, settings_.in_use.leaves_directory ? without_lost_hosts(live) : live,
                       max_entries_in_answer, settings_.name);
}

std::string entry_host::metrics_text() {
    metrics& measured = relay_.state().measured;
    measured.gauge("requests_active", static_cast<double>(relay_.active()));
    measured.gauge("caller_unsent_bytes", static_cast<double>(relay_.unsent_bytes()));
    measured.gauge("answer_bytes", static_cast<double>(relay_.state().answer_bytes.held()));
    measured.gauge("answer_framing_bytes", static_cast<double>(relay_.state().answer_framing_bytes.held()));
    measured.gauge("request_body_bytes", static_cast<double>(relay_.state().request_bytes.held()));
    measured.gauge("endpoint_unsent_bytes", static_cast<double>(relay_.state().pool.unsent_bytes()));
    measured.gauge("endpoints_known", static_cast<double>(relay_.state().endpoints.size()));
    measured.gauge("services_lost",
                   static_cast<double>(relay_.state().endpoints.allowance().reach().lost_pools().size()));
    measured.gauge("hosts_live", static_cast<double>(gossip_.live(monotonic_now()).size()));
    measured.gauge("config_age_ms", std::min(to_ms(relay_.state().freshness.age(monotonic_now())), 1e9));
    measured.gauge("sessions_remembered", static_cast<double>(rollouts_.remembered_sessions()));
    measured.gauge("requests_under_quarantine", static_cast<double>(quarantined().size()));
    const allocator_memory allocated = allocated_memory();
    measured.gauge("allocated_bytes", static_cast<double>(allocated.in_use));
    measured.gauge("allocator_kept_bytes", static_cast<double>(allocated.kept));
    measured.gauge("unread_bytes", static_cast<double>(relay_.unread_bytes()));
    measured.gauge("resident_bytes", static_cast<double>(process_resident_bytes()));
    measured.gauge("peak_resident_bytes", static_cast<double>(process_peak_resident_bytes()));
    return measured.to_text();
}

void entry_host::check_memory(time_point now) {
    if (memory_.limit_bytes() == 0 || now - memory_checked_at_ < memory_check_interval) {
        return;
    }
    memory_checked_at_ = now;
    const std::uint64_t resident_bytes = process_resident_bytes();
    if (const std::optional<int> percent = memory_.note(resident_bytes)) {
        relay_.state().measured.count("memory_levels_passed");
        const allocator_memory allocated = allocated_memory();
        log_warning("memory_high", {{"percent", *percent},
                                    {"resident_bytes", resident_bytes},
                                    {"peak_resident_bytes", process_peak_resident_bytes()},
                                    {"allocated_bytes", allocated.in_use},
                                    {"allocator_kept_bytes", allocated.kept},
                                    {"unread_bytes", relay_.unread_bytes()},
                                    {"limit_bytes", memory_.limit_bytes()},
                                    {"requests_active", relay_.active()},
                                    {"caller_unsent_bytes", relay_.unsent_bytes()},
                                    {"answer_bytes", relay_.state().answer_bytes.held()},
                                    {"answer_framing_bytes", relay_.state().answer_framing_bytes.held()},
                                    {"request_body_bytes", relay_.state().request_bytes.held()},
                                    {"endpoint_unsent_bytes", relay_.state().pool.unsent_bytes()}});
    }
}

std::vector<quarantined_cause> entry_host::quarantined() const {
    return relay_.state().quarantine.quarantined(monotonic_now());
}

void entry_host::note_reachability(bool is_lost) {
    if (is_lost) {
        roster_.on_store_lost();
    } else {
        roster_.on_store_regained(monotonic_now());
    }
}

// The configuration's watch calls the store most often, so it is the first to notice both loss and return.
void entry_host::on_store_reachability(bool is_lost) {
    note_reachability(is_lost);
    store_lost_since_ = is_lost ? std::optional<time_point>(monotonic_now()) : std::nullopt;
    if (is_lost) {
        check_freshness(); // At once, while the peers' own confirmations are still recent.
    } else {
        for (object_watch* watch : watches()) {
            if (watch != &config_watch_) {
                watch->restart_call();
            }
        }
        update_reading_mode(); // A reader that has stepped back reads everything again.
    }
}

// Guards against a watch of endpoints that waits for its whole limit on a connection that lost a response,
// while requests go to endpoints that leave.
void entry_host::check_other_watches() {
    for (object_watch* watch : watches()) {
        if (watch != &config_watch_) {
            watch->note_store_revision(config_watch_.revision());
        }
    }
}

void entry_host::on_history_gone() {
    history_gone_at_ = monotonic_now();
    for (object_watch* watch : watches()) {
        watch->relist(); // Has no effect on the watch that reported this, which is already listing.
    }
}

void entry_host::on_config(const objects_by_name& objects) {
    const auto found = objects.find(codec_.config_name());
    is_config_readable_ = found != objects.end() && apply_config(found->second);
    note_config_revision(0);
}

bool entry_host::apply_config(const stored_object& object) {
    if (relay_.state().routing && object.revision <= config_revision_) {
        return true; // Revisions only rise, so that an outdated reading never replaces a newer configuration.
    }
    const outcome<traffic_config> decoded = codec_.config(object);
    if (const error* failure = error_of(decoded)) {
        log_error("config_refused", {{"revision", object.revision}, {"remedy", failure->message}});
        return false;
    }
    config_revision_ = object.revision;
    config_since_ = monotonic_now();
    const traffic_config& config = *value_of(decoded);
    log_info("config_in_force", {{"version", config.version},
                                 {"revision", config.revision},
                                 {"routes", config.routes.size()},
                                 {"teams", config.teams.size()}});
    const std::size_t hosts = gossip_.live(monotonic_now()).size();
    relay_.set_routing(std::make_shared<const routing_table>(config), hosts);
    gossip_.set_config_revision(object.revision);
    send_copy_notice(notice_scope::change);
    return true;
}

std::vector<endpoint_record> entry_host::decode_endpoints(const objects_by_name& objects) {
    std::map<std::string, decoded_endpoint> decoded;
    std::vector<endpoint_record> listed;
    std::size_t unchanged = 0;
    for (const auto& [name, object] : objects) {
        const auto known = decoded_endpoints_.find(name);
        decoded_endpoint each;
        if (known != decoded_endpoints_.end() && known->second.revision == object.revision) {
            each = std::move(known->second);
            ++unchanged;
        } else {
            const outcome<endpoint_record> result = codec_.endpoint(object);
            if (const error* failure = error_of(result)) {
                log_invalid_endpoint(object, failure->message);
            } else {
                each.record = *value_of(result);
            }
            each.revision = object.revision;
        }
        if (each.record) {
            listed.push_back(*each.record);
        }
        decoded.emplace_hint(decoded.end(), name, std::move(each));
    }
    if (unchanged < decoded_endpoints_.size()) {
        departure_revision_ = endpoint_watch_.last_changed_revision();
    }
    decoded_endpoints_ = std::move(decoded);
    return listed;
}

// Only the whole list shows how it is to be divided and how many endpoints run each release.
void entry_host::update_division(const std::vector<endpoint_record>& listed) {
    division_.update(listed);
    fleet_releases_.clear();
    for (const endpoint_record& endpoint : listed) {
        const bool is_in_use = endpoint.state == "live" && !evacuated_.contains(endpoint.domain);
        fleet_releases_[endpoint.pool][endpoint.release] += is_in_use ? 1 : 0;
    }
}

void entry_host::on_endpoints(const objects_by_name& objects) {
    std::vector<endpoint_record> listed = decode_endpoints(objects);
    if (!endpoint_watch_.is_partial()) {
        update_division(listed);
    }
    if (division_.is_divided()) {
        listed.erase(std::remove_if(listed.begin(), listed.end(),
                                    [this](const endpoint_record& endpoint) {
                                        return !division_.holds(settings_.name, settings_.failure_domain,
                                                                endpoint);
                                    }),
                     listed.end());
        for (endpoint_record& endpoint : listed) {
            endpoint.is_common = division_.is_common(endpoint);
        }
    }
    roster_.update(listed, monotonic_now());
    log_info("endpoints_listed", {{"count", listed.size()},
                                  {"of", objects.size()},
                                  {"division", division_.id()},
                                  {"lapsed", roster_.has_lapsed()}});
    refresh_endpoints();
    send_copy_notice(notice_scope::change,
                     division_.is_divided() ? list_holding::divided : list_holding::whole);
}

// Logs each revision once, because the whole list is decoded again at every change, several times a second.
void entry_host::log_invalid_endpoint(const stored_object& object, const std::string& remedy) {
    std::int64_t& logged = logged_invalid_endpoints_[object.name];
    if (logged == object.revision) {
        return;
    }
    logged = object.revision;
    log_error("endpoint_refused",
              {{"endpoint", object.name}, {"revision", object.revision}, {"remedy", remedy}});
    if (logged_invalid_endpoints_.size() > max_logged_invalid_endpoints) {
        logged_invalid_endpoints_.clear();
    }
}

// Takes effect without delay. A request that has chosen its endpoint before and only waits for the connection
// is still sent there; all other requests choose an endpoint that is not evacuated.
void entry_host::on_evacuations(const objects_by_name& objects) {
    evacuation_set ordered;
    for (const auto& [name, object] : objects) {
        const outcome<std::string> domain = codec_.evacuation(object);
        if (const error* failure = error_of(domain)) {
            log_error("evacuation_refused", {{"name", name}, {"remedy", failure->message}});
            continue;
        }
        ordered.domains.insert(*value_of(domain));
    }
    if (ordered != evacuated_) {
        log_info("evacuations_in_force",
                 {{"domains", ordered.domains}, {"revision", evacuation_watch_.last_changed_revision()}});
        evacuated_ = ordered;
        relay_.state().endpoints.allowance().set_evacuated(evacuated_, monotonic_now());
        refresh_endpoints();
    }
    send_copy_notice(notice_scope::change);
}

void entry_host::refresh_endpoints() {
    relay_.state().endpoints.prefer_own_domain(is_large_fleet(monotonic_now()));
    if (!knows_endpoints()) {
        return;
    }
    const std::vector<endpoint_record> endpoints = roster_.current(monotonic_now());
    std::map<std::string, std::map<std::string, int>> by_release;
    for (const endpoint_record& endpoint : endpoints) {
        const bool is_in_use = endpoint.state == "live" && !evacuated_.contains(endpoint.domain);
        by_release[endpoint.pool][endpoint.release] += is_in_use ? 1 : 0;
    }
    for (const auto& [service, counts] : by_release) {
        rollouts_.set_endpoint_counts(service, counts);
    }
    for (const auto& [service, counts] : fleet_releases_) {
        rollouts_.set_fleet_counts(service, counts);
    }
    relay_.set_endpoints(endpoints);
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
    const std::string bytes = encode_peer_message(make_gossip_message(now));
    send_to_others(gossip_.live(now), bytes);
    loop_.every(stop_interval, [this] { advance_stop(); });
}

void entry_host::advance_stop() {
    const duration since = monotonic_now() - relay_.state().stopping_since;
    if (since < serving_after_stop) {
        return;
    }
    const duration stop_time = settings_.stop_grace - stop_margin;
    if (since > stop_time && !has_ended_requests_) {
        has_ended_requests_ = true;
        relay_.end_requests();
    }
    const bool is_done = relay_.close_idle();
    if (is_done || since > stop_time + last_answers_time) {
        log_info("stopped", {{"active", relay_.active()},
                             {"unsent_bytes", relay_.unsent_bytes()},
                             {"after_ms", to_ms(since)}});
        loop_.stop();
    }
}

} // namespace laurelhoist
