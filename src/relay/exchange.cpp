#include "relay/exchange.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_gateway_timeout = 504;

/// A connection on one network takes a few ms; a host that does not answer within this has gone.
constexpr duration connect_limit = milliseconds(1000);
/// Endpoints that turn out to be gone, one after another, before a request is given up. With two in three
/// gone, a row of eight comes once in 25 requests; with 3, one in three was refused beside sound endpoints.
constexpr int most_detours = 8;
/// A stream that pauses for so many times its allowed pause has stalled.
constexpr int silent_gaps = 4;
constexpr duration least_silence = seconds(2);
constexpr int silent_objectives = 4;
/// Of a request that reaches a host before it has read a configuration and endpoints: both come within 50 ms
/// where the store answers, and a caller that is refused loses 500 ms.
constexpr duration longest_early_wait = milliseconds(300);
constexpr duration stopping_retry = milliseconds(100);
constexpr duration unready_retry = milliseconds(500);
constexpr duration full_retry = milliseconds(700);
constexpr duration nowhere_retry = milliseconds(1000);
/// Part of the time to the next room by which callers are spread, or all would be back in the same instant.
constexpr double retry_spread = 0.25;
/// Endpoints close connections that are idle for longer than they say; this is for those that say nothing.
constexpr duration usual_idle_time = seconds(4);
constexpr duration idle_margin = seconds(1);

duration spread_over(duration retry_after, const std::string& request) {
    constexpr std::uint64_t steps = 1000;
    const double part = static_cast<double>(placement_hash(request) % steps) / static_cast<double>(steps);
    return std::chrono::duration_cast<duration>(retry_after * (1.0 + retry_spread * part));
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

/** \return what an attempt that ended so says of the endpoint's release. Only whole answers count: an
 * endpoint that crashes breaks many requests at once, which says nothing of its release. */
release_evidence evidence_of(attempt_end end) {
    return end == attempt_end::failed ? release_evidence::bad : release_evidence::none;
}

/** \return the number in `timeout=N` of a Keep-Alive header, or nothing. */
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
      phase_{state_.request_life.initial()} {}

void exchange::move(const char* event) {
    const outcome<std::string> next = state_.request_life.next(phase_, event);
    const std::string* target = value_of(next);
    if (invariant("relay_follows_its_chart", target != nullptr, [&] {
            return json{{"phase", phase_}, {"event", event}, {"request", terms_.id}};
        })) {
        phase_ = *target;
    }
}

void exchange::start() {
    arrived_at_ = monotonic_now();
    config_age_ = state_.fence.age(arrived_at_);
    terms_ = state_.dialect.read_request(request_);
    auto self = shared_from_this();
    caller_->on_caller_gone([self] { self->on_caller_gone(); });
    if (state_.can_route()) {
        begin();
    }
}

// Load pattern: all hosts are killed at once and start again. Callers have come back meanwhile, and each host
// gets many requests in the 30 ms in which it reads the configuration. On eleven hosts 61 of the 141 requests
// that ended in these two seconds were refused for it.
void exchange::await_configuration(time_point now) {
    if (state_.can_route() || now - arrived_at_ > longest_early_wait) {
        begin();
    }
}

void exchange::begin() {
    has_begun_ = true;
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
    events_ = event_joiner(terms_.last_event_id);
    pick_service();
    state_.retry_budgets[service_].on_first_attempt();
    state_.cascade_budget(service_).on_first_attempt();
    dispatch();
}

bool exchange::admit() {
    if (!routing_) {
        answer_failure(status_unavailable, "no_configuration", "come back soon: this host has just started",
                       unready_retry);
        return false;
    }
    route_ = routing_->find_route(terms_.host, request_.path());
    if (route_ == nullptr) {
        answer_failure(status_not_found, "no_route", "ask for a host and path that a route names", {});
        return false;
    }
    if (!admit_team()) {
        return false;
    }
    if (starts_too_late_to_stop()) {
        answer_failure(status_unavailable, "stopping", "connect to another entry: this one is stopping",
                       stopping_retry);
        return false;
    }
    return true;
}

bool exchange::admit_team() {
    if (!routing_->requires_key()) {
        return true;
    }
    if (terms_.has_key) {
        team_ = routing_->find_team(terms_.key);
    }
    if (team_ == nullptr && (terms_.has_key || !route_->allows_anonymous)) {
        answer_failure(status_unauthorized, "unknown_key", "send a key that is in force", {});
        return false;
    }
    // Against a key that was withdrawn while this host heard nothing: it must not run, and whether it
    // was withdrawn cannot be told here.
    if (terms_.has_key && !state_.fence.admits(arrived_at_)) {
        answer_failure(status_unavailable, "configuration_unconfirmed",
                       "connect to another entry: this one cannot check keys now", nowhere_retry);
        return false;
    }
    return true;
}

bool exchange::starts_too_late_to_stop() const {
    if (!state_.is_stopping) {
        return false;
    }
    const duration since = arrived_at_ - state_.stopping_since;
    return !may_start_while_stopping(*route_, since, state_.settings.stop_time);
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

endpoint_wish exchange::make_wish() const {
    const release_choice release =
        state_.releases.choose(service_, {terms_.session, terms_.id, !tried_.empty()}, monotonic_now());
    endpoint_wish wish;
    wish.pool = service_;
    wish.avoided = tried_;
    wish.release = release.required;
    wish.unwanted_release = release.unwanted;
    wish.endpoint_share = state_.settings.in_use.tries_few_endpoints ? release.endpoint_share : 1.0;
    return wish;
}

exchange::model_placements exchange::placements_from(std::size_t least_size, std::size_t most,
                                                     const endpoint_wish& wish, time_point now) {
    model_placements found;
    const std::size_t sizes = std::max<std::size_t>(1, route_->models.size());
    for (std::size_t size = least_size; size < sizes && size - least_size < most; ++size) {
        const std::string model = route_->models.empty() ? std::string{} : route_->models[size];
        const model_demand demand{model, state_.first_events.costs(model, size)};
        if (const auto chosen = state_.endpoints.choose(wish, prompt_, demand, now)) {
            found.options.push_back({size, chosen->predicted_ms});
            found.placements.push_back(*chosen);
        }
    }
    return found;
}

bool exchange::choose(time_point now) {
    const endpoint_wish wish = make_wish();
    // The smallest first; one whose answer was not good enough goes to the largest that is still in time.
    const bool is_step_up = least_size_ > 0;
    const model_placements found = placements_from(least_size_, is_step_up ? most_sizes : 1, wish, now);
    if (found.options.empty()) {
        return false;
    }
    std::size_t best = 0;
    if (is_step_up) {
        best = largest_in_time(found.options, route_->priority, step_up_time_ms(now)).value_or(0);
    }
    attempt_ = attempt{};
    attempt_.chosen = found.placements[best];
    attempt_.model_rank = found.options[best].size;
    attempt_.model = route_->models.empty() ? std::string{} : route_->models[attempt_.model_rank];
    attempt_.wish = wish;
    return true;
}

double exchange::step_up_time_ms(time_point now) const {
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
    if (!choose(now)) {
        if (!tried_.empty()) {
            tried_.clear(); // Rather again at one that has failed than nowhere.
            if (choose(now)) {
                open_connection();
                return;
            }
        }
        if (!state_.endpoints.could_serve(service_, now)) {
            note_bars(now);
            answer_failure(may_have_run_ ? status_bad_gateway : status_unavailable, "no_endpoint",
                           "come back later: no endpoint of the service takes work", time_to_room(now));
        }
        return; // Waits; on_tick tries again.
    }
    open_connection();
}

void exchange::note_bars(time_point now) {
    json reasons = json::object();
    for (const auto& [bar, count] : state_.endpoints.bars_of(service_, now)) {
        reasons[to_string(bar)] = count;
        state_.measured.count(std::string("requests_barred_") + to_string(bar));
    }
    log_info("no_endpoint_allowed",
             {{"request", terms_.id}, {"service", service_}, {"endpoints_barred", reasons}});
}

duration exchange::time_to_room(time_point now) const {
    return spread_over(state_.endpoints.allowance().room_in(service_, now).value_or(nowhere_retry),
                       terms_.id);
}

void exchange::open_connection() {
    move("placed");
    answer_.reset();
    const time_point now = monotonic_now();
    state_.endpoints.on_sent(attempt_.chosen, prompt_, attempt_.wish, now);
    note_load_change();
    state_.releases.on_started(release_key(), terms_.session, now);
    attempt_.sent_at = now;
    attempt_.heard_at = now;
    const std::string& address = attempt_.chosen.endpoint.address;
    // A kept connection may have died without a sign, and then it cannot be told whether the request on it
    // was received. What may not be repeated gets a connection of its own.
    connection_ = route_->may_repeat() ? state_.pool.take_idle(address, now) : nullptr;
    if (connection_) {
        connection_->observe(this);
        on_connected();
        return;
    }
    connection_ = state_.pool.make(address);
    state_.measured.count("endpoint_connections_opened");
    connection_->connect(*this);
}

void exchange::on_connected() {
    auto self = shared_from_this();
    // Against a host that runs late: it reads requests seconds after they came, and the end of the caller's
    // connection waits behind them. On a fleet of 295 hosts requests were sent on 1.7 s after their callers
    // had left; looked at here, nothing is sent for those who have left before this moment.
    if (caller_->has_left()) {
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
    if (state_.endpoints.allowance().is_barred_since(attempt_.chosen.endpoint, attempt_.sent_at)) {
        place_again();
        return;
    }
    move("connected");
    send_request();
}

// Against what became known while the connection was made: nothing has been sent, and this is no evidence
// against the endpoint.
void exchange::place_again() {
    state_.measured.count("attempts_placed_again");
    settle_attempt(call_result::cancelled, release_evidence::none);
    release_connection(false);
    waiting_since_ = monotonic_now();
    move("again");
    dispatch();
}

void exchange::on_connect_failed(connect_failure why) {
    auto self = shared_from_this();
    if (why == connect_failure::refused) {
        owner_.note_refused(attempt_.chosen.endpoint.name);
    }
    ++detours_;
    end_attempt(attempt_end::not_sent);
}

void exchange::send_request() {
    const time_point now = monotonic_now();
    dispatch_terms terms;
    terms.time_left = time_left(now);
    terms.endpoint = attempt_.chosen.endpoint.name;
    terms.team = team_name();
    terms.model = attempt_.model;
    const int priority = team_ != nullptr && team_->priority ? *team_->priority : route_->priority;
    constexpr int most_urgent_used = 3;
    constexpr int least_urgent = 9;
    terms.urgency = std::clamp(most_urgent_used + priority, 0, least_urgent);
    terms.resume_after = events_.last_id() > terms_.last_event_id ? events_.last_id() : 0;
    ++attempts_;
    attempt_.events_before = events_.last_id();
    start_reader();
    if (!state_.quarantine.is_empty()) {
        attempt_.is_trial = state_.quarantine.on_sent(digest(), now);
    }
    connection_->send(state_.dialect.write_request(request_, terms));
}

void exchange::settle_attempt(call_result result, release_evidence evidence) {
    const time_point now = monotonic_now();
    const duration took = now - attempt_.sent_at;
    if (result == call_result::answered) {
        note_first_byte();
    }
    state_.endpoints.on_ended(attempt_.chosen, attempt_.has_first_byte, result, took, now);
    state_.releases.on_finished(release_key(), terms_.session, now, attempt_.sent_at,
                                result == call_result::answered);
    if (evidence != release_evidence::none && !attempt_.is_judged_slow) {
        state_.releases.on_outcome(release_key(), evidence == release_evidence::good);
    }
}

duration exchange::idle_time() const {
    const std::optional<duration> said = keep_alive_time(reader_->headers());
    return said ? std::min(usual_idle_time, std::max<duration>(duration::zero(), *said - idle_margin))
                : usual_idle_time;
}

void exchange::release_connection(bool is_reusable) {
    if (!connection_) {
        return;
    }
    const bool may_keep = is_reusable && reader_ && reader_->is_complete() && reader_->keeps_alive() &&
                          !has_surplus_ && connection_->is_open() && !connection_->has_unsent();
    if (may_keep) {
        state_.pool.keep(std::move(connection_), monotonic_now() + idle_time());
    } else {
        connection_->close();
    }
    connection_ = nullptr;
}

void exchange::end_attempt(attempt_end end) {
    may_have_run_ = may_have_run_ || !proves_not_run(end);
    // What an endpoint asks for is no failure: counted as one it would be left out for longer than it asks.
    const bool asks_for_rest = end == attempt_end::refused && answer().says.back_off;
    settle_attempt(asks_for_rest ? call_result::cancelled : to_call_result(end), evidence_of(end));
    release_connection(end == attempt_end::refused || end == attempt_end::failed ||
                       end == attempt_end::misdirected);
    log_attempt(end);
    follow_up(end);
}

release_use exchange::release_key() const {
    return {service_, attempt_.chosen.endpoint.release, route_->name};
}

attempt_record exchange::record() const {
    attempt_record made;
    made.may_repeat = route_->may_repeat();
    made.may_have_run = may_have_run_;
    made.has_begun_answer = has_begun_answer_;
    made.attempts = attempts_;
    made.max_attempts = route_->max_attempts;
    made.is_caller_gone = is_caller_gone_;
    made.is_expired = time_left(monotonic_now()) <= duration::zero();
    return made;
}

void exchange::follow_up(attempt_end end) {
    attempt_record made = record();
    made.has_budget = detours_ < most_detours;
    follow_up_step step = after_attempt(made, end);
    const bool costs_retry = end != attempt_end::not_sent && end != attempt_end::declined;
    if (step == follow_up_step::try_again && costs_retry && !state_.retry_budgets[service_].try_take()) {
        made.has_budget = false;
        state_.measured.count("retry_budget_empty");
        step = after_attempt(made, end);
    }
    switch (step) {
    case follow_up_step::try_again:
        if (end != attempt_end::declined) {
            tried_.insert(attempt_.chosen.endpoint.name);
        }
        state_.measured.count("attempts_repeated");
        waiting_since_ = monotonic_now();
        move("again");
        dispatch();
        return;
    case follow_up_step::refuse:
        answer_failure(status_unavailable, "refused", "come back later: the endpoints take no more work",
                       state_.endpoints.could_serve(service_, monotonic_now())
                           ? full_retry
                           : time_to_room(monotonic_now()));
        return;
    case follow_up_step::fail:
        answer_failure(status_bad_gateway, "endpoint_failed",
                       "the request may have run: ask for its result before you send it again", {});
        return;
    case follow_up_step::expire:
        answer_failure(status_gateway_timeout, "expired",
                       "the request may have run: ask for its result before you send it again", {});
        return;
    case follow_up_step::deliver:
        deliver_whole("endpoint_failure");
        return;
    case follow_up_step::cut:
        caller_->abort();
        finish("cut", 0);
        return;
    case follow_up_step::forget:
        finish("caller_gone", 0);
        return;
    }
}

void exchange::on_caller_gone() {
    auto self = shared_from_this();
    is_caller_gone_ = true;
    const bool is_sent = is_in("asked") || is_in("answering");
    if (is_sent && route_->kind == route_kind::non_idempotent) {
        return; // It runs once, now; cut, nobody could say whether it has run.
    }
    if (connection_) {
        settle_attempt(call_result::cancelled, release_evidence::none);
        release_connection(false);
    }
    finish("caller_gone", 0);
}

duration exchange::silence_limit() const {
    if (route_->kind == route_kind::non_idempotent) {
        return duration::max();
    }
    if (has_begun_answer_) {
        return std::max<duration>(least_silence, route_->gap_objective * silent_gaps);
    }
    return std::max<duration>(least_silence / 2, route_->latency_objective * silent_objectives);
}

duration exchange::longest_wait() const {
    constexpr int share_of_objective = 2;
    return route_->latency_objective / share_of_objective;
}

void exchange::on_tick(time_point now) {
    auto self = shared_from_this();
    if (!has_begun_) {
        await_configuration(now);
    } else if (is_in("connecting") && now - attempt_.sent_at > connect_limit) {
        connection_->close();
        on_connect_failed(connect_failure::unreachable);
    } else if (is_in("waiting")) {
        if (now >= expires_at_ || now - waiting_since_ > longest_wait()) {
            answer_failure(may_have_run_ ? status_gateway_timeout : status_unavailable, "no_room",
                           "come back later: every endpoint of the service is full", full_retry);
        } else {
            dispatch();
        }
    } else if (now >= expires_at_ || has_stalled(now)) {
        end_attempt(attempt_end::silent);
    }
}

void exchange::on_endpoint_restarted(const endpoint_record& endpoint) {
    const bool is_under_way = is_in("connecting") || is_in("asked") || is_in("answering");
    if (is_under_way && is_restart_of(endpoint, attempt_.chosen.endpoint)) {
        auto self = shared_from_this();
        if (is_in("asked") && may_have_ended_endpoint()) {
            owner_.on_ended_under({end_under_this()});
        }
        if (!is_in("finished")) { // It may have been quarantined.
            end_attempt(is_in("connecting") ? attempt_end::not_sent : attempt_end::broken);
        }
    }
}

bool exchange::has_stalled(time_point now) const {
    const bool may_go_elsewhere =
        state_.settings.in_use.resumes_silent && route_->may_repeat() && attempts_ < route_->max_attempts;
    return may_go_elsewhere && now - attempt_.heard_at > silence_limit();
}

void exchange::log_attempt(attempt_end end) {
    const placement& chosen = attempt_.chosen;
    // Only where the endpoint may have ended: that is when one has to know whether it is the same request
    // again.
    const std::string known_by = end == attempt_end::broken ? to_text(digest()) : std::string{};
    const duration rest = answer_ ? answer_->says.back_off.value_or(duration::zero()) : duration::zero();
    log_info("attempt_ended", {{"request", terms_.id},
                               {"digest", known_by},
                               {"events", events_of_attempt()},
                               {"end", to_string(end)},
                               {"retry_after_ms", static_cast<std::int64_t>(to_ms(rest))},
                               {"endpoint", chosen.endpoint.name},
                               {"release", chosen.endpoint.release},
                               {"attempt", attempts_},
                               {"model", attempt_.model},
                               {"confidence", confidence_},
                               {"status", reader_ && reader_->has_head() ? reader_->status() : 0},
                               {"predicted_ms", static_cast<int>(chosen.predicted_ms)},
                               {"after_ms", static_cast<int>(to_ms(monotonic_now() - attempt_.sent_at))}});
}

void exchange::finish(const char* outcome, int status) {
    if (is_in("finished")) {
        return;
    }
    move("ended");
    const duration took = monotonic_now() - arrived_at_;
    state_.measured.count(std::string("requests_") + outcome);
    state_.measured.time("request_ms", took);
    log_info("request_ended",
             {{"request", terms_.id},
              {"outcome", outcome},
              {"status", status},
              {"route", route_ == nullptr ? std::string{} : route_->name},
              {"team", team_name()},
              {"digest", digest_ ? to_text(*digest_) : std::string{}},
              {"endpoint", attempt_.chosen.endpoint.name},
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
              {"took_ms", static_cast<int>(to_ms(took))}});
    owner_.active_.erase(shared_from_this());
}

} // namespace laurelhoist
