#include "relay/relay.h"

#include "relay/exchange.h"
#include "transport/receive_share.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <numeric>

namespace laurelhoist {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Interval at which the time limits of all requests are checked. One timer for all of them saves the
/// wake-ups of a timer for each request. It runs only while there are requests: on a large fleet a host has
/// none for most of the time.
constexpr duration tick_interval = milliseconds(50);
/// A tick that is later than this shows that the process was paused or starved.
constexpr duration max_tick_delay = milliseconds(150);
/// What another host may add to the headers of a request that it forwards.
constexpr std::size_t peer_header_bytes = 256;
constexpr duration sweep_interval =
    caller_connection::check_interval; ///< sweeps check connections, probes and the quarantine
/// Number of requests that an endpoint is assumed to run at once if its service has no engine profile. Up to
/// this number, a host's concurrency limit follows the endpoint's answers.
constexpr int default_slots = 6;
constexpr double logged_no_limit = -1; ///< logged as the rate of an endpoint without a limit
/// Bounds of a caller's share of the buffer. A read from an endpoint brings 8 KiB.
constexpr std::size_t min_caller_share_bytes = 16 << 10;
constexpr std::size_t max_caller_share_bytes = 256 << 10;

/// For one more connection than may be open, this part of them is closed if idle, so that not each new one
/// costs a look at all.
constexpr std::size_t closed_share = 64;

} // namespace

relay::relay(event_loop& loop, const wire_dialect& dialect, rollout_tracker& releases, chart endpoint_chart,
             chart request_chart, const relay_settings& settings)
    : state_{loop, dialect, releases, std::move(endpoint_chart), std::move(request_chart), settings},
      end_confirmation_{state_.pool,
                        [this](const std::vector<suspected_end>& suspects) { on_endpoint_ended(suspects); }},
      probes_{state_.pool, [this](const std::string& endpoint, bool is_reachable) {
                  record_link(endpoint, is_reachable);
              }} {
    if (settings.in_use.protects_shares) {
        state_.team_weight = [this](const std::string& team) {
            return state_.admission.teams.weight(team, monotonic_now());
        };
    }
    caller_events_.on_request = [this](const auto& caller, caller_request&& request) {
        on_request(caller, std::move(request));
    };
    caller_events_.on_rejected = [this](int status) {
        state_.measured.count("malformed_requests");
        log_info("request_unreadable", {{"status", status}});
    };
    caller_events_.on_no_room = [this](std::size_t own_bytes) {
        state_.measured.count("requests_refused_unread");
        if (const auto left_out = no_room_lines_.admit(monotonic_now())) {
            log_warning("request_refused_unread",
                        {{"bytes", own_bytes},
                         {"held_bytes", state_.held_for_requests()},
                         {"limit_bytes", state_.settings.request_buffer_bytes},
                         {"left_out", *left_out},
                         {"remedy", "find the callers that send long heads or bodies, or raise "
                                    "--request_buffer_kb"}});
        }
    };
    caller_events_.on_unread = [this](std::size_t unsent_bytes) {
        state_.measured.count("callers_not_reading");
        if (const auto left_out = not_reading_lines_.admit(monotonic_now())) {
            log_warning("caller_not_reading", {{"unsent_bytes", unsent_bytes},
                                               {"left_out", *left_out},
                                               {"remedy", "read answers without pauses of seconds"}});
        }
    };
    caller_events_.requests_held = [this] { return state_.requests_held(); };
    caller_events_.unsent_bytes = state_.caller_bytes;
    caller_events_.on_closed = [this](const auto& caller) { on_caller_closed(caller); };
    loop.every(sweep_interval, [this] { sweep(); });
}

relay::~relay() = default;

std::unique_ptr<tcp_listener> relay::accept_at(const listen_target& target, request_source source) {
    return std::make_unique<tcp_listener>(
        state_.loop, target,
        tcp_listener::events{[this, source](tcp::socket socket) { on_accepted(std::move(socket), source); },
                             [this] { state_.measured.count("accept_failures"); },
                             [this, source] { return make_room(source); }});
}

void relay::listen(const socket_address& address) {
    listener_ = accept_at({"--callers", address}, request_source::caller);
}

void relay::listen_for_peers(const socket_address& address) {
    peer_listener_ = accept_at({"--forwarding", address}, request_source::peer);
}

bool relay::is_listening() const {
    return listener_ != nullptr && listener_->is_listening() && peer_listener_ != nullptr &&
           peer_listener_->is_listening();
}

std::uint16_t relay::listening_port() const {
    return listener_->port();
}

std::uint16_t relay::peer_port() const {
    return peer_listener_->port();
}

bool relay::make_room(request_source source) {
    const descriptor_shares& shares = state_.settings.connections;
    const std::size_t bound = source == request_source::peer ? shares.peers : shares.callers;
    const std::size_t& open = open_[source];
    if (open >= bound) {
        close_longest_idle(source, 1 + open - bound + bound / closed_share);
    }
    return open < bound;
}

void relay::close_longest_idle(request_source source, std::size_t count) {
    using idle_caller = std::pair<time_point, std::shared_ptr<caller_connection>>;
    std::vector<idle_caller> idle;
    for (const auto& caller : callers_) {
        const std::optional<time_point> since = caller->idle_since();
        if (since && caller->is_from_peer() == (source == request_source::peer)) {
            idle.emplace_back(*since, caller);
        }
    }
    std::sort(idle.begin(), idle.end(),
              [](const idle_caller& l, const idle_caller& r) { return l.first < r.first; });
    std::size_t closed = 0;
    for (auto item = idle.begin(); item != idle.end() && closed < count; ++item) {
        closed += item->second->close_if_unused() ? 1 : 0;
    }
    if (closed == 0) {
        return;
    }
    state_.measured.count("callers_closed_for_room", closed);
    if (const auto left_out = closed_for_room_lines_.admit(monotonic_now())) {
        log_info("callers_closed_for_room",
                 {{"closed", closed},
                  {"open", open_[source]},
                  {"are_peers", source == request_source::peer},
                  {"left_out", *left_out},
                  {"remedy", "raise the limit of descriptors, or have callers close connections that they "
                             "do not use"}});
    }
}

void relay::on_caller_closed(const std::shared_ptr<caller_connection>& caller) {
    if (callers_.erase(caller) > 0) {
        --open_[caller->is_from_peer() ? request_source::peer : request_source::caller];
    }
}

void relay::on_accepted(tcp::socket socket, request_source source) {
    caller_limits limits = state_.routing ? state_.routing->config().limits : caller_limits{};
    limits.header_bytes += source == request_source::peer ? peer_header_bytes : 0;
    set_receive_buffer(socket, receive_share(state_.settings.receive_buffer_bytes, callers_.size()));
    auto caller = std::make_shared<caller_connection>(std::move(socket), limits, caller_events_,
                                                      state_.request_bytes, source);
    callers_.insert(caller);
    ++open_[source];
    caller->start();
}

void relay::on_request(const std::shared_ptr<caller_connection>& caller, caller_request request) {
    auto created = std::make_shared<exchange>(*this, caller, std::move(request));
    active_.insert(created);
    start_ticking();
    run_guarded(*created, [&] { created->start(); });
}

void relay::end_after_exception(exchange& of, const std::string& what) {
    state_.measured.count("request_handlers_failed");
    of.end_after_exception(what);
}

void relay::start_ticking() {
    if (is_ticking_) {
        return;
    }
    tick_due_ = monotonic_now() + tick_interval;
    state_.loop.after(tick_interval, [this] {
        is_ticking_ = false;
        on_tick();
    });
    is_ticking_ = true;
}

void relay::on_tick() {
    const time_point now = monotonic_now();
    was_paused_ = now - tick_due_ > max_tick_delay;
    state_.answer_work.begin_tick(now - tick_due_);
    if (active_.empty()) {
        return;
    }
    start_ticking(); // First, as an exception would otherwise end the checks of time limits.
    for_each_active([now](exchange& each) { each.on_tick(now); });
    wake_all_waiting(); // Some exclusions of endpoints end by time.
}

void relay::sweep() {
    const time_point now = monotonic_now();
    const std::vector<std::shared_ptr<caller_connection>> callers(callers_.begin(), callers_.end());
    for (const auto& caller : callers) {
        caller->check_timeouts(now);
    }
    state_.pool.expire(now);
    state_.quarantine.forget_old(now);
    count_ends_not_counted();
    forget_old_answer_times(now);
    end_confirmation_.expire(now);
    probes_.expire(slow_connect, now);
    check_links(now);
}

void relay::forget_old_answer_times(time_point now) {
    for (auto item = state_.route_answer_times.begin(); item != state_.route_answer_times.end();) {
        item = item->second.is_old(now) ? state_.route_answer_times.erase(item) : std::next(item);
    }
}

void relay::set_routing(routing_snapshot routing, std::size_t hosts) {
    state_.routing = std::move(routing);
    set_hosts(hosts);
    set_slots(hosts);
    set_cold_services();
    wake_all_waiting();
}

void relay::set_slots(std::size_t hosts) {
    for (const traffic_service& service : state_.routing->config().services) {
        state_.endpoints.set_slots(service.name, service.engine ? service.engine->slots : default_slots,
                                   hosts);
    }
}

void relay::set_cold_services() {
    std::map<std::string, cold_start> services;
    for (const traffic_service& service : state_.routing->config().services) {
        services[service.name] = {service.cold_time, service.cold_requests_per_s};
    }
    state_.endpoints.allowance().cold().set_services(std::move(services));
}

void relay::report_connection_refused(const std::string& endpoint) {
    const time_point now = monotonic_now();
    state_.quarantine.on_refused(endpoint, now, now);
    const bool should_announce =
        state_.endpoints.allowance().cold().on_refused(endpoint, duration::zero(), now);
    if (should_announce && state_.on_connection_refused) {
        state_.on_connection_refused(endpoint);
    }
}

void relay::record_statement(const endpoint_record& endpoint, const endpoint_statement& statement,
                             time_point sent_at, const std::string& request) {
    const time_point now = monotonic_now();
    const statement_effects effects = state_.endpoints.allowance().note(endpoint, statement, sent_at, now);
    if (statement.rate_limit) {
        state_.measured.count("answers_naming_a_limit");
    }
    if (effects.has_back_off) {
        state_.measured.count("endpoints_asking_for_rest");
        log_info(
            "endpoint_back_off",
            {{"endpoint", endpoint.name}, {"rest_ms", to_ms(*statement.back_off)}, {"request", request}});
    }
    if (effects.is_newly_leaving) {
        state_.measured.count("endpoints_saying_they_leave");
        log_info("endpoint_leaving", {{"endpoint", endpoint.name}, {"request", request}});
    }
    if (effects.is_brittleness_changed) {
        log_info("endpoints_brittle",
                 {{"service", endpoint.pool},
                  {"endpoint", endpoint.name},
                  {"rejections_per_s", statement.rejections_per_s.value_or(logged_no_limit)},
                  {"request", request}});
    }
    if (effects.is_limit_changed) {
        log_info("endpoint_rate_limit", {{"endpoint", endpoint.name},
                                         {"requests_per_s", statement.rate_limit.value_or(logged_no_limit)},
                                         {"request", request},
                                         {"asked_ms_ago", to_ms(now - sent_at)}});
        if (state_.on_limits_changed) {
            state_.on_limits_changed();
        }
        wake_waiting(endpoint.pool);
    }
}

void relay::report_deferred(const std::string& request, const std::string& endpoint, std::size_t work) {
    state_.measured.count("answers_deferred");
    if (const auto left_out = deferred_lines_.admit(monotonic_now())) {
        log_info("answer_deferred", {{"request", request},
                                     {"endpoint", endpoint},
                                     {"work_units", work},
                                     {"share_units", state_.answer_work.share()},
                                     {"left_out", *left_out}});
    }
}

void relay::merge_limit_notices(const std::vector<limit_notice>& notices) {
    rate_limits& limits = state_.endpoints.allowance().limits();
    for (const std::string& endpoint : limits.merge(notices, monotonic_now())) {
        log_info("endpoint_rate_limit_heard",
                 {{"endpoint", endpoint},
                  {"requests_per_s", limits.limit_of(endpoint).value_or(logged_no_limit)}});
    }
    wake_all_waiting();
}

void relay::merge_pace_notices(const std::string& sender, const std::vector<pace_notice>& notices) {
    if (state_.settings.in_use.knows_pace) {
        report_paces(state_.endpoints.pace().merge(sender, notices, monotonic_now()));
    }
}

void relay::end_old_paces() {
    report_paces(state_.endpoints.pace().end_old_factors(monotonic_now()));
}

void relay::report_paces(const std::vector<pace_change>& changes) {
    for (const pace_change& change : changes) {
        state_.measured.count(change.factor >= endpoint_pace::high_factor ? "endpoints_slow_begun"
                                                                          : "endpoints_slow_ended");
        log_info("endpoint_pace", {{"endpoint", change.endpoint},
                                   {"factor", change.factor},
                                   {"streams", static_cast<int>(change.streams)}});
    }
}

json relay::ends_by_part(const std::vector<part_digest>& parts) const {
    constexpr std::size_t max_listed = 16;
    json ends = json::object();
    for (std::size_t i = 0; i < parts.size() && i < max_listed; ++i) {
        ends[to_text(parts[i])] = state_.quarantine.ends_of({cause_kind::prompt_part, parts[i]});
    }
    return ends;
}

void relay::on_endpoint_ended(const std::vector<suspected_end>& suspects) {
    const time_point now = monotonic_now();
    for (const suspected_end& each : suspects) {
        if (state_.endpoints.allowance().reach().has_lost_pool_of(each.endpoint)) {
            continue; // Its refusal shows lost links and no end.
        }
        state_.quarantine.on_end(each.causes, each.end, now);
        log_info("endpoint_ended_under_request", {{"request", each.request},
                                                  {"digest", to_text(each.causes.request)},
                                                  {"endpoint", each.endpoint},
                                                  {"team", each.team},
                                                  {"ends", state_.quarantine.ends_of(each.causes.request)},
                                                  {"ends_by_part", ends_by_part(each.causes.parts)}});
    }
    state_.measured.count("endpoints_ended_under_requests");
    on_quarantine_changed();
}

void relay::merge_refusal(const std::string& endpoint, duration age) {
    const time_point now = monotonic_now();
    state_.endpoints.allowance().cold().on_refused(endpoint, age, now);
    state_.quarantine.on_refused(endpoint, now - age, now);
}

void relay::count_ends_not_counted() {
    if (const std::uint64_t count = state_.quarantine.take_ends_not_counted()) {
        state_.measured.count("ends_not_counted_joint", count);
    }
}

void relay::merge_crash_notices(const std::vector<crash_notice>& notices) {
    if (notices.empty()) {
        return;
    }
    state_.quarantine.merge(notices, monotonic_now());
    on_quarantine_changed();
}

void relay::clear_suspicion(request_digest digest) {
    if (state_.quarantine.ends_of(digest) > 0) {
        lift_quarantine(digest);
    }
}

// Called for each answer that begins, so that hosts are told only if an end is forgotten.
void relay::clear_parts(const std::vector<part_digest>& parts) {
    const bool has_ends = std::any_of(parts.begin(), parts.end(), [this](part_digest part) {
        return state_.quarantine.ends_of({cause_kind::prompt_part, part}) > 0;
    });
    if (has_ends) {
        state_.quarantine.on_begun(parts, monotonic_now());
        on_quarantine_changed();
    }
}

void relay::lift_quarantine(const crash_cause& cause) {
    state_.quarantine.clear(cause, monotonic_now());
    on_quarantine_changed();
}

void relay::on_quarantine_changed() {
    if (state_.on_crash_notices_changed) {
        state_.on_crash_notices_changed();
    }
    for_each_active([](exchange& each) { each.on_quarantine_changed(); });
}

void relay::set_endpoints(const std::vector<endpoint_record>& endpoints) {
    const std::vector<endpoint_record> restarted = state_.endpoints.restarted_among(endpoints);
    state_.endpoints.update(endpoints, monotonic_now());
    state_.quarantine.set_endpoints(endpoints, monotonic_now());
    state_.are_endpoints_known = true;
    for (const endpoint_record& endpoint : restarted) {
        on_restarted(endpoint);
    }
    wake_all_waiting();
}

// Guards against an endpoint that crashed and restarted behind a network partition: its connections were
// never closed, and requests sent on them would wait until the silence limit.
void relay::on_restarted(const endpoint_record& endpoint) {
    log_info("endpoint_restarted", {{"endpoint", endpoint.name}, {"started_at_ms", endpoint.started_at_ms}});
    state_.measured.count("endpoints_restarted");
    state_.pool.drop(endpoint.address);
    for_each_active([&endpoint](exchange& each) { each.on_endpoint_restarted(endpoint); });
}

std::size_t relay::unread_bytes() const {
    std::size_t bytes = 0;
    for (const auto& caller : callers_) {
        bytes += caller->unread_bytes();
    }
    for (const auto& each : active_) {
        bytes += each->unread_bytes();
    }
    return bytes;
}

std::size_t relay::unsent_bytes() const {
    return std::accumulate(callers_.begin(), callers_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& caller) { return sum + caller->unsent_bytes(); });
}

json relay::report_load(const load_filter& filter) const {
    const time_point now = monotonic_now();
    std::vector<waiting_time> waiting;
    for (const auto& each : active_) {
        if (std::optional<waiting_time> found = each->waiting(now)) {
            waiting.push_back(std::move(*found));
        }
    }
    return state_.load.report(waiting, filter, now);
}

std::size_t relay::max_unsent_bytes_per_caller() const {
    const std::size_t share = state_.settings.caller_buffer_bytes / std::max<std::size_t>(1, callers_.size());
    return std::clamp(share, min_caller_share_bytes, max_caller_share_bytes);
}

void relay::begin_stop() {
    state_.is_stopping = true;
    state_.stopping_since = monotonic_now();
    for_each_active([now = state_.stopping_since](exchange& each) { each.stop_if_hopeless(now); });
}

void relay::end_requests() {
    for_each_active([](exchange& each) { each.end_with_process(); });
}

bool relay::close_idle() {
    const std::vector<std::shared_ptr<caller_connection>> callers(callers_.begin(), callers_.end());
    const time_point now = monotonic_now();
    for (const auto& caller : callers) {
        caller->close_if_idle(now);
    }
    return active_.empty() && callers_.empty();
}

} // namespace laurelhoist
