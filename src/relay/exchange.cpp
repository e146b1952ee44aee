#include "relay/exchange.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;

/// Connecting within a network takes a few ms; an endpoint that takes longer than this is unreachable.
constexpr duration connect_timeout = milliseconds(1000);
/// Number of unreachable endpoints after which a request is no longer sent to another one. With two in three
/// endpoints gone, one in 25 requests meets eight of these in sequence. A limit of 3 refuses one in
/// three requests although healthy endpoints are available.
constexpr int max_unreachable_endpoints = 8;
/// A stream has stalled after a pause of this many times the route's gap objective.
constexpr int gap_objectives_to_stall = 4;
/// Another host that forwards its endpoint's answer may itself wait for one silent endpoint.
constexpr int silence_limits_of_peer = 2;
constexpr duration min_silence_limit = seconds(2);
/// The same for an answer that has not begun. A sound endpoint may pause for about a second.
constexpr duration min_unanswered_limit = milliseconds(1500);
/// An answer that has not begun has stalled after this many times the route's latency objective.
constexpr int latency_objectives_to_stall = 4;
/// How long a request waits that arrives before the host has read a configuration and endpoints. Both arrive
/// within 50 ms when the store answers, whereas a refused caller waits for 500 ms.
constexpr duration max_configuration_wait = milliseconds(300);
constexpr duration retry_after_no_configuration = milliseconds(500);
/// Operators have to order another release.
constexpr duration retry_after_release_stopped = seconds(5);
constexpr duration retry_after_unavailable = milliseconds(1000);
/// Largest jitter, as a part of the Retry-After time, so that callers do not all return at the same moment.
constexpr double retry_jitter = 0.25;
/// How long a connection is kept idle if the endpoint states no time; also the maximum if it does.
constexpr duration default_idle_time = seconds(4);
/// An idle connection is dropped this long before the endpoint would close it.
constexpr duration idle_margin = seconds(1);

duration add_jitter(duration retry_after, const std::string& request) {
    constexpr std::uint64_t steps = 1000;
    const double part = static_cast<double>(placement_hash(request) % steps) / static_cast<double>(steps);
    return std::chrono::duration_cast<duration>(retry_after * (1.0 + retry_jitter * part));
}

call_result to_call_result(attempt_end end) {
    switch (end) {
    case attempt_end::refused:
        return call_result::refused_not_run;
    case attempt_end::misdirected:
        return call_result::leaving;
    case attempt_end::declined:
        return call_result::cancelled;
    default:
        return call_result::failed;
    }
}

/** \return the evidence about the endpoint's release from an attempt that ended with \p end. Only complete
 * answers count, because the crash of an endpoint breaks many requests at once without showing a fault of the
 * release. */
release_evidence evidence_of(attempt_end end) {
    return end == attempt_end::failed ? release_evidence::bad : release_evidence::none;
}

/** \return the time in `timeout=N` of a Keep-Alive header, or nothing. */
std::optional<duration> keep_alive_time(const header_list& headers) {
    const std::string value = headers.value_or_empty("Keep-Alive");
    const std::size_t at = value.find("timeout=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const std::string rest = value.substr(at + 8);
    const std::optional<std::int64_t> number =
        parse_number(rest.substr(0, rest.find_first_not_of("0123456789")));
    return number ? std::optional<duration>(seconds(*number)) : std::nullopt;
}

prompt_shape to_shape(const request_terms& terms) {
    prompt_shape shape;
    shape.input_tokens = terms.input_tokens;
    for (const prompt_part& part : terms.prompt) {
        shape.parts.push_back(placement_hash(part.id));
        shape.tokens.push_back(part.tokens);
    }
    return shape;
}

} // namespace

exchange::exchange(relay& owner, std::shared_ptr<caller_connection> caller, caller_request request)
    : owner_{owner},
      state_{owner.state()},
      caller_{std::move(caller)},
      request_{std::move(request)},
      held_request_{state_.request_bytes},
      held_answer_{state_.answer_bytes},
      held_framing_{state_.answer_framing_bytes},
      exchange_state_{state_.request_chart.initial()} {
    held_request_.set(request_.holding().counted_bytes());
}

void exchange::apply_event(const char* event) {
    const outcome<std::string> next = state_.request_chart.next(exchange_state_, event);
    const std::string* target = value_of(next);
    if (invariant("relay_follows_its_chart", target != nullptr, [&] {
            return json{{"phase", exchange_state_}, {"event", event}, {"request", terms_.id}};
        })) {
        exchange_state_ = *target;
    }
}

void exchange::start() {
    arrived_at_ = monotonic_now();
    config_age_ = state_.freshness.age(arrived_at_);
    terms_ = state_.dialect.read_request(request_);
    auto self = shared_from_this();
    caller_->on_caller_gone([self] { self->on_caller_gone(); });
    caller_->on_sent([self] { self->on_caller_progress(); });
    if (state_.can_route()) {
        begin();
    }
}

// Guards against refusing callers while hosts start. When all hosts are killed and restart together, callers
// return at once and each host receives many requests in the 30 ms in which it reads the configuration.
// Without this wait, on eleven hosts, 61 of the 141 requests that ended in these two seconds were refused.
void exchange::await_configuration(time_point now) {
    if (state_.can_route() || now - arrived_at_ > max_configuration_wait) {
        begin();
    }
}

void exchange::begin() {
    has_started_ = true;
    started_at_ = monotonic_now();
    routing_ = state_.routing;
    if (!admit()) {
        return;
    }
    duration longest = route_->timeout;
    if (terms_.time_left > duration::zero()) {
        longest = std::min(longest, terms_.time_left);
    }
    expires_at_ = arrived_at_ + longest;
    waiting_since_ = arrived_at_;
    prompt_ = to_shape(terms_);
    prompt_.gap_objective_ms = route_->kind == route_kind::stream ? to_ms(route_->gap_objective) : 0.0;
    shared_parts_ = digests_of_shared_parts(terms_);
    events_ = event_joiner(terms_.last_event_id);
    if (caller_->is_from_peer()) {
        attempts_ = terms_.earlier_attempts;
    }
    pick_service();
    if (!admit_to_stopping_host()) {
        return;
    }
    state_.repeats_of(service_).on_request(arrived_at_);
    if (admit_load()) {
        dispatch();
    }
}

bool exchange::admit() {
    if (!routing_) {
        answer_failure(status_unavailable, "no_configuration", "retry soon: this host has just started",
                       retry_after_no_configuration);
        return false;
    }
    // An endpoint that returns such a field would seem to send two answers, and count as faulty.
    if (contains_status_line(request_.headers)) {
        answer_failure(status_bad_request, "malformed",
                       "send no field whose value contains a status line, as HTTP/1.1 200", {});
        return false;
    }
    route_ = routing_->find_route(terms_.host, request_.path());
    if (route_ == nullptr) {
        answer_failure(status_not_found, "no_route", "use a host and path that match a route", {});
        return false;
    }
    return admit_team() && admit_body() && admit_answer();
}

bool exchange::admit_team() {
    if (!routing_->requires_key()) {
        return true;
    }
    if (terms_.has_key) {
        team_ = routing_->find_team(terms_.key);
    }
    if (team_ == nullptr && (terms_.has_key || !route_->allows_anonymous)) {
        answer_failure(status_unauthorized, "unknown_key", "send a valid key", {});
        return false;
    }
    // Guards against accepting a key that was withdrawn while this host received no updates of the
    // configuration: without a recent confirmation the host cannot tell whether the key is still valid.
    if (terms_.has_key && !state_.freshness.admits(arrived_at_)) {
        answer_failure(status_unavailable, "configuration_unconfirmed",
                       "connect to another entry: this one cannot check keys now", retry_after_unavailable);
        return false;
    }
    return true;
}

void exchange::pick_service() {
    int total = 0;
    for (const weighted_service& destination : route_->services) {
        total += destination.weight;
    }
    const std::string& subject = terms_.session.empty() ? terms_.id : terms_.session;
    auto point = static_cast<int>(placement_hash(subject) % static_cast<std::uint64_t>(std::max(1, total)));
    for (const weighted_service& destination : route_->services) {
        service_ = destination.service;
        point -= destination.weight;
        if (point < 0) {
            return;
        }
    }
}

routed_request exchange::make_routed_request() const {
    return {terms_.session, terms_.id, !tried_.empty()};
}

endpoint_criteria exchange::make_placement_criteria() const {
    const release_choice release = state_.releases.choose(service_, make_routed_request(), monotonic_now());
    endpoint_criteria criteria;
    criteria.pool = service_;
    criteria.avoided = tried_;
    criteria.release = release.required;
    criteria.excluded_release = release.excluded;
    criteria.endpoint_share = state_.settings.in_use.tries_few_endpoints ? release.endpoint_share : 1.0;
    criteria.uses_single_endpoint = release.uses_single_endpoint;
    return criteria;
}

exchange::model_placements exchange::placements_from(std::size_t min_size, std::size_t max_count,
                                                     const endpoint_criteria& criteria, time_point now) {
    model_placements found;
    const std::size_t sizes = std::max<std::size_t>(1, route_->models.size());
    for (std::size_t size = min_size; size < sizes && size - min_size < max_count; ++size) {
        const std::string model = route_->models.empty() ? std::string{} : route_->models[size];
        const target_model demand{model, state_.first_events.costs(model, size)};
        if (const auto chosen = state_.endpoints.choose(criteria, prompt_, demand, now)) {
            found.options.push_back({size, chosen->predicted_ms});
            found.placements.push_back(*chosen);
        }
    }
    return found;
}

bool exchange::choose(time_point now) {
    const endpoint_criteria criteria = make_placement_criteria();
    // A request starts on the smallest model. After an answer that was not good enough it goes to the largest
    // model that is still in time.
    const bool is_step_up = min_model_size_ > 0;
    const model_placements found =
        placements_from(min_model_size_, is_step_up ? no_size_limit : 1, criteria, now);
    if (found.options.empty()) {
        return false;
    }
    std::size_t best = 0;
    if (is_step_up) {
        best = largest_model_in_time(found.options, route_->priority, step_up_budget_ms(now)).value_or(0);
    }
    attempt_ = attempt{};
    attempt_.chosen = found.placements[best];
    attempt_.model_rank = found.options[best].size;
    attempt_.model = route_->models.empty() ? std::string{} : route_->models[attempt_.model_rank];
    attempt_.criteria = criteria;
    return true;
}

double exchange::step_up_budget_ms(time_point now) const {
    if (!state_.settings.in_use.keeps_time) {
        return std::numeric_limits<double>::infinity();
    }
    return to_ms(route_->latency_objective - (now - arrived_at_));
}

void exchange::dispatch() {
    const time_point now = monotonic_now();
    if (is_quarantined(now)) {
        answer_quarantined();
        return;
    }
    if (stop_if_hopeless(now)) {
        return;
    }
    if (state_.releases.is_stopped(service_)) {
        answer_failure(may_have_run_ ? status_bad_gateway : status_unavailable, "release_stopped",
                       "retry later: the only release of the service fails", retry_after_release_stopped);
        return;
    }
    if (forward_to_peer(now)) {
        return;
    }
    if (state_.releases.choose(service_, make_routed_request(), now).is_refused) {
        answer_failure(may_have_run_ ? status_bad_gateway : status_unavailable, "release_on_trial",
                       "retry later: only the release on trial has endpoints", retry_after_unavailable);
        return;
    }
    if (is_behind_others()) {
        wait_for_room(now);
        return;
    }
    if (!choose(now)) {
        if (!tried_.empty()) {
            tried_.clear(); // A failed endpoint is better than none.
            if (choose(now)) {
                open_connection();
                return;
            }
        }
        if (!state_.endpoints.could_serve(service_, now)) {
            log_excluded_endpoints(now);
            answer_failure(may_have_run_ ? status_bad_gateway : status_unavailable, "no_endpoint",
                           "retry later: no endpoint of the service accepts work", time_to_capacity(now));
            return;
        }
        wait_for_room(now);
        return;
    }
    open_connection();
}

void exchange::log_excluded_endpoints(time_point now) {
    json reasons = json::object();
    for (const auto& [reason, count] : state_.endpoints.count_exclusions(service_, now)) {
        reasons[to_string(reason)] = count;
        state_.measured.count(std::string("requests_barred_") + to_string(reason));
    }
    log_info("no_endpoint_allowed",
             {{"request", terms_.id}, {"service", service_}, {"endpoints_barred", reasons}});
}

duration exchange::time_to_capacity(time_point now) const {
    return add_jitter(
        state_.endpoints.allowance().time_until_available(service_, now).value_or(retry_after_unavailable),
        terms_.id);
}

void exchange::open_connection() {
    end_wait(wait_end::placed);
    apply_event("placed");
    answer_.reset();
    const time_point now = monotonic_now();
    state_.endpoints.on_sent(attempt_.chosen, prompt_, attempt_.criteria, now);
    notify_load_changed();
    state_.releases.on_started(release_key(), terms_.session, now,
                               is_first_attempt_ ? attempt_order::first : attempt_order::later);
    is_first_attempt_ = false;
    connect_to(attempt_.chosen.endpoint.address, now);
}

void exchange::connect_to(const std::string& address, time_point now) {
    attempt_.sent_at = now;
    attempt_.heard_at = now;
    // An idle connection may be dead without notice, and a failure on it does not show whether the request
    // was received. A request that may not be repeated therefore gets a new connection.
    connection_ = route_->may_repeat() ? state_.pool.take_idle(address, now) : nullptr;
    if (connection_) {
        connection_->set_observer(this);
        on_connected();
        return;
    }
    connection_ = state_.pool.make(address);
    attempt_.is_new_connection = true;
    state_.measured.count("endpoint_connections_opened");
    connection_->connect(*this);
}

void exchange::on_connected() {
    owner_.run_guarded(*this, [this] { send_on_connection(); });
}

void exchange::send_on_connection() {
    auto self = shared_from_this();
    record_link(true);
    // An overloaded host reads requests seconds after they arrived, before it reads the end of the caller's
    // connection: on a fleet of 295 hosts, requests were forwarded 1.7 s after their callers had
    // disconnected. This check prevents forwarding for callers that have disconnected before this moment.
    if (caller_->has_disconnected()) {
        state_.measured.count("callers_left_unread");
        on_caller_gone();
        return;
    }
    if (is_quarantined(monotonic_now())) {
        settle_attempt(call_result::cancelled, release_evidence::none);
        release_connection(false);
        answer_quarantined();
        return;
    }
    if (state_.endpoints.allowance().is_excluded_since(attempt_.chosen.endpoint, attempt_.sent_at)) {
        cancel_and_redispatch();
        return;
    }
    // Connecting may have taken up to a second.
    if (would_outlast_stop(monotonic_now())) {
        settle_attempt(call_result::cancelled, release_evidence::none);
        release_connection(false);
        refuse_for_stop(make_stop_prospect(duration::zero(), monotonic_now()));
        return;
    }
    apply_event("connected");
    send_request();
}

// Called when the endpoint was excluded while the connection was being made. Nothing has been sent, and the
// attempt does not count against the endpoint.
void exchange::cancel_and_redispatch() {
    state_.measured.count("attempts_placed_again");
    settle_attempt(call_result::cancelled, release_evidence::none);
    release_connection(false);
    waiting_since_ = monotonic_now();
    apply_event("again");
    dispatch();
}

void exchange::on_connect_failed(connect_failure why) {
    owner_.run_guarded(*this, [this, why] { end_unconnected(why); });
}

void exchange::end_unconnected(connect_failure why) {
    auto self = shared_from_this();
    if (why == connect_failure::refused && !attempt_.is_forwarded()) {
        owner_.report_connection_refused(attempt_.chosen.endpoint.name);
    }
    unreachable_endpoints_ += attempt_.is_forwarded() ? 0 : 1;
    if (why == connect_failure::own_shortage) {
        attempt_.lacked_means = true;
        state_.measured.count("connections_lacking_means");
    } else {
        record_link(false);
    }
    end_attempt(attempt_end::not_sent);
}

void exchange::send_request() {
    const time_point now = monotonic_now();
    dispatch_terms terms;
    terms.time_left = time_left(now);
    terms.endpoint = attempt_.chosen.endpoint.name;
    terms.team = team_name();
    terms.model = attempt_.model;
    terms.urgency = urgency();
    terms.resume_after = events_.last_id() > terms_.last_event_id ? events_.last_id() : 0;
    attempt_.events_before_attempt = events_.last_id();
    start_reader();
    if (attempt_.is_forwarded()) {
        terms.earlier_attempts = attempts_;
        if (state_.is_stopping) { // The other host must not let it wait until this one has ended.
            terms.time_left = std::min(terms.time_left, state_.time_until_stop(now));
        }
        connection_->send(state_.dialect.write_forwarded_request(request_, terms));
        return;
    }
    ++attempts_;
    if (!state_.quarantine.is_empty()) {
        attempt_.is_trial = state_.quarantine.on_sent(causes_in_question(), now);
    }
    connection_->send(state_.dialect.write_request(request_, terms));
}

void exchange::settle_attempt(call_result result, release_evidence evidence) {
    if (attempt_.is_settled) {
        return; // An exception has ended what followed.
    }
    if (result == call_result::answered && !attempt_.is_forwarded()) {
        record_first_byte();
    }
    attempt_.is_settled = true; // Before it is counted, as an exception must not count a part of it twice.
    const time_point now = monotonic_now();
    const duration took = now - attempt_.sent_at;
    if (attempt_.is_forwarded()) {
        const bool has_answered = result != call_result::failed && result != call_result::unanswered;
        state_.peers.on_ended(attempt_.peer, has_answered || attempt_.has_head, now);
        return;
    }
    state_.endpoints.on_ended(attempt_.chosen, attempt_.has_first_byte, result, took, now);
    owner_.wake_waiting(service_);
    const attempt_progress progress = result == call_result::answered ? attempt_progress::whole
                                      : attempt_.has_first_byte       ? attempt_progress::begun
                                                                      : attempt_progress::unanswered;
    state_.releases.on_finished(release_key(), terms_.session, now, attempt_.sent_at, progress);
    if (evidence != release_evidence::none) {
        const bool is_timeout = reader_ && reader_->status() == status_gateway_timeout;
        state_.releases.on_outcome(release_key(), evidence == release_evidence::good,
                                   is_timeout ? std::string{} : attempt_.chosen.endpoint.name);
    }
}

duration exchange::idle_time() const {
    const std::optional<duration> stated = keep_alive_time(reader_->headers());
    return stated ? std::min(default_idle_time, std::max<duration>(duration::zero(), *stated - idle_margin))
                  : default_idle_time;
}

void exchange::release_connection(bool is_reusable) {
    if (!connection_) {
        return;
    }
    const bool may_keep = is_reusable && reader_ && reader_->is_complete() && reader_->keeps_alive() &&
                          !has_excess_bytes_ && connection_->is_open() && !connection_->has_unsent();
    if (may_keep) {
        state_.pool.keep(std::move(connection_), monotonic_now() + idle_time());
    } else {
        connection_->close();
    }
    connection_ = nullptr;
}

void exchange::end_attempt(attempt_end end) {
    may_have_run_ = may_have_run_ || !proves_not_run(end);
    // A requested backoff is not a failure. Counted as one, it would exclude the endpoint for longer than the
    // endpoint asked for.
    const bool asks_for_back_off = end == attempt_end::refused && answer().statement.back_off;
    // Endpoints drop connections that are not read for some seconds.
    const bool is_dropped_unread = end == attempt_end::broken && attempt_.has_paused;
    const bool has_waited = monotonic_now() - attempt_.sent_at >= slow_connect;
    const bool is_unanswered = end == attempt_end::silent || (end == attempt_end::not_sent && has_waited);
    const bool is_no_evidence = asks_for_back_off || is_dropped_unread || attempt_.lacked_means;
    settle_attempt(is_no_evidence  ? call_result::cancelled
                   : is_unanswered ? call_result::unanswered
                                   : to_call_result(end),
                   evidence_of(end));
    release_connection(end == attempt_end::refused || end == attempt_end::failed ||
                       end == attempt_end::misdirected || end == attempt_end::unsuitable);
    log_attempt(end);
    if (end == attempt_end::refused && !attempt_.is_forwarded()) {
        state_.endpoints.allowance().on_rejected(attempt_.chosen.endpoint.name, monotonic_now());
        state_.admission.service(service_).on_rejected(monotonic_now());
    }
    if (attempt_.is_trial && proves_not_run(end)) {
        state_.quarantine.on_trial_not_run(causes_in_question());
    }
    if (attempt_.is_forwarded()) {
        count_attempts_of_peer(end);
    } else if (!attempt_.has_first_byte && (end == attempt_end::silent || end == attempt_end::broken)) {
        owner_.suspect_link(attempt_.chosen.endpoint.name);
    }
    follow_up(end);
}

release_route exchange::release_key() const {
    return {service_, attempt_.chosen.endpoint.release, route_->name};
}

retry_context exchange::make_retry_context() const {
    retry_context context;
    context.may_repeat = route_->may_repeat() && !is_passed_on_; // Another answer cannot continue it.
    context.may_have_run = may_have_run_;
    context.has_begun_answer = has_begun_answer_;
    context.attempts = attempts_;
    context.max_attempts = route_->max_attempts;
    context.is_caller_gone = is_caller_gone_;
    context.is_expired = time_left(monotonic_now()) <= duration::zero();
    return context;
}

void exchange::follow_up(attempt_end end) {
    retry_context context = make_retry_context();
    const bool is_too_late = would_outlast_stop(monotonic_now());
    context.has_budget = unreachable_endpoints_ < max_unreachable_endpoints && !is_too_late;
    follow_up_step step = next_step_after(context, end);
    const bool costs_retry =
        end != attempt_end::not_sent && end != attempt_end::declined && !attempt_.has_reached_no_endpoint;
    if (step == follow_up_step::retry && costs_retry &&
        !state_.repeats_of(service_).try_retry(monotonic_now())) {
        context.has_budget = false;
        state_.measured.count("retry_budget_empty");
        log_info("retry_denied", {{"request", terms_.id}, {"service", service_}, {"attempt", attempts_}});
        step = next_step_after(context, end);
    }
    switch (step) {
    case follow_up_step::retry:
        if (end != attempt_end::declined) {
            tried_.insert(attempt_.chosen.endpoint.name);
        }
        state_.measured.count("attempts_repeated");
        drop_answer();
        waiting_since_ = monotonic_now();
        apply_event("again");
        dispatch();
        return;
    case follow_up_step::refuse:
        if (attempt_.is_forwarded() && end == attempt_end::refused) {
            send_complete_answer("refused_by_peer"); // It knows better when to come back.
            return;
        }
        if (is_too_late) {
            refuse_for_stop(make_stop_prospect(duration::zero(), monotonic_now()));
            return;
        }
        answer_failure(status_unavailable, "refused", "retry later: the endpoints accept no more work",
                       state_.endpoints.could_serve(service_, monotonic_now())
                           ? time_to_room(monotonic_now())
                           : time_to_capacity(monotonic_now()));
        return;
    case follow_up_step::fail:
        answer_failure(status_bad_gateway, "endpoint_failed",
                       "the request may have run: check for its result before you send it again", {});
        return;
    case follow_up_step::expire:
        answer_failure(status_gateway_timeout, "expired",
                       "the request may have run: check for its result before you send it again", {});
        return;
    case follow_up_step::forward_failure:
        send_complete_answer("endpoint_failure");
        return;
    case follow_up_step::abort_answer:
        caller_->abort();
        finish("cut", 0);
        return;
    case follow_up_step::discard:
        finish("caller_gone", 0);
        return;
    }
}

void exchange::on_caller_gone() {
    auto self = shared_from_this();
    is_caller_gone_ = true;
    const bool is_sent = is_in_state("asked") || is_in_state("answering");
    if (is_sent && route_->kind == route_kind::non_idempotent) {
        if (is_waiting_for_caller()) {
            attempt_.heard_at = monotonic_now();
            connection_->resume_reading();
        }
        return; // Runs to its end: if cancelled, it would be unknown whether it ran.
    }
    if (connection_) {
        settle_attempt(call_result::cancelled, release_evidence::none);
        release_connection(false);
    }
    finish("caller_gone", 0);
}

void exchange::end_after_exception(const std::string& what) {
    auto self = shared_from_this();
    owner_.active_.erase(self);
    // Each step is taken whatever becomes of the others: a caller would otherwise wait without end, or the
    // connection outlive the request that observes it.
    const auto take = [this](const auto& step) {
        try {
            step();
        } catch (const std::exception& failure) {
            log_error("request_handler_failed", {{"request", terms_.id}, {"what", failure.what()}});
        }
    };
    take([&] { log_error("request_handler_failed", {{"request", terms_.id}, {"what", what}}); });
    take([&] { caller_->abort(); });
    if (connection_) {
        take([&] { settle_attempt(call_result::cancelled, release_evidence::none); });
        take([&] { release_connection(false); });
    }
    take([&] { finish("handler_failed", 0); });
}

duration exchange::silence_limit() const {
    if (route_->kind == route_kind::non_idempotent) {
        return duration::max();
    }
    const int factor = attempt_.is_forwarded() ? silence_limits_of_peer : 1;
    if (has_begun_answer_) {
        return factor *
               std::max<duration>(min_silence_limit, route_->gap_objective * gap_objectives_to_stall);
    }
    return factor *
           std::max<duration>(min_unanswered_limit, route_->latency_objective * latency_objectives_to_stall);
}

void exchange::on_tick(time_point now) {
    auto self = shared_from_this();
    resume_deferred(now);
    if (is_in_state("answering")) {
        record_overdue_pace(now);
    }
    if (!has_started_) {
        await_configuration(now);
    } else if (is_in_state("connecting") && now - attempt_.sent_at > connect_timeout) {
        connection_->close();
        on_connect_failed(connect_failure::unreachable);
    } else if (is_in_state("connecting") && now - attempt_.sent_at > slow_connect && !owner_.was_paused()) {
        record_link(false);
    } else if (is_in_state("waiting")) {
        check_waiting(now);
    } else if (is_waiting_for_caller()) {
        if (now >= expires_at_ && !is_passed_on_) {
            give_up_on_caller(); // One that is passed on ends when its caller accepts nothing for seconds.
        }
    } else if (is_overdue(now) || has_stalled(now)) {
        end_attempt(attempt_end::silent);
    }
}

// The time limit of a route is for the endpoint. A whole answer that has waited for its caller goes on as
// long as both of them make progress.
bool exchange::is_overdue(time_point now) const {
    const bool has_waited_for_caller = is_passed_on_ && attempt_.has_paused;
    return now >= expires_at_ && (!has_waited_for_caller || now - attempt_.heard_at > min_silence_limit);
}

bool exchange::has_stalled(time_point now) const {
    if (is_passed_on_) {
        return false; // No other endpoint can continue it.
    }
    const bool may_go_elsewhere =
        state_.settings.in_use.resumes_silent && route_->may_repeat() && attempts_ < route_->max_attempts;
    return may_go_elsewhere && now - attempt_.heard_at > silence_limit();
}

void exchange::log_attempt(attempt_end end) {
    const placement& chosen = attempt_.chosen;
    // The digest is logged only if the endpoint's process may have ended. It shows whether earlier ends
    // happened under the same request.
    const std::string known_by = end == attempt_end::broken ? to_text(digest()) : std::string{};
    const duration back_off =
        answer_ ? answer_->statement.back_off.value_or(duration::zero()) : duration::zero();
    const std::string parts = end == attempt_end::broken ? shared_parts_text() : std::string{};
    log_info("attempt_ended", {{"request", terms_.id},
                               {"digest", known_by},
                               {"parts", parts},
                               {"events", events_of_attempt()},
                               {"end", to_string(end)},
                               {"retry_after_ms", static_cast<std::int64_t>(to_ms(back_off))},
                               {"endpoint", chosen.endpoint.name},
                               {"peer", attempt_.peer},
                               {"release", chosen.endpoint.release},
                               {"attempt", attempts_},
                               {"model", attempt_.model},
                               {"confidence", confidence_},
                               {"status", reader_ && reader_->has_head() ? reader_->status() : 0},
                               {"predicted_ms", static_cast<int>(chosen.predicted_ms)},
                               {"after_ms", static_cast<int>(to_ms(monotonic_now() - attempt_.sent_at))}});
}

void exchange::finish(const char* outcome, int status) {
    if (is_in_state("finished")) {
        return;
    }
    const auto self = shared_from_this();
    owner_.active_.erase(self); // First, so that an exception in what follows leaves nothing behind.
    end_wait(is_caller_gone_ ? wait_end::left : wait_end::refused);
    apply_event("ended");
    state_.passed_on -= is_passed_on_ ? 1 : 0;
    const bool is_served = std::string_view(outcome) == "served";
    observe_end(monotonic_now(), is_served, status == status_gateway_timeout);
    const duration took = monotonic_now() - arrived_at_;
    state_.measured.count(std::string("requests_") + outcome);
    state_.measured.time("request_ms", took);
    record_load(outcome, status, took);
    log_info("request_ended",
             {{"request", terms_.id},
              {"outcome", outcome},
              {"status", status},
              {"route", route_ == nullptr ? std::string{} : route_->name},
              {"team", team_name()},
              {"digest", digest_ ? to_text(*digest_) : std::string{}},
              {"endpoint", attempt_.chosen.endpoint.name},
              {"peer", attempt_.peer},
              {"is_from_peer", caller_->is_from_peer()},
              {"release", attempt_.chosen.endpoint.release},
              {"session", terms_.session},
              {"model", attempt_.model},
              {"confidence", confidence_},
              {"attempts", attempts_},
              {"events_to", events_.last_id()},
              {"config_version", routing_ ? routing_->config().version : 0},
              {"config_age_ms", static_cast<std::int64_t>(std::min(to_ms(config_age_), 1e9))},
              {"first_event_ms", first_event_ms_},
              {"longest_gap_ms", longest_gap_ms_},
              {"slowness", attempt_.slowness},
              {"waited_ms", static_cast<int>(to_ms(waited_))},
              {"took_ms", static_cast<int>(to_ms(took))}});
}

} // namespace laurelhoist
