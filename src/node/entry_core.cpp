/** \file
 * Progress of an admitted request in the entry: queues, calls, retries, ratings and steps up.
 */
#include "node/entry_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr int max_call_attempts = 5;
constexpr int max_sends_not_run = 12; ///< limit of attempts if the latest call was not run
constexpr duration min_call_timeout = seconds(2);
constexpr double call_timeout_factor = 8;
constexpr duration stream_gap_limit = seconds(2);
constexpr duration claim_resend_interval = milliseconds(400);
constexpr duration reroute_delay = milliseconds(500);
constexpr duration no_capacity_delay = seconds(2);
constexpr duration not_fresh_delay = seconds(1);
/// A request may wait for an endpoint whose rate limit or back-off allows another one within this time.
constexpr duration max_allowance_wait = milliseconds(500);
constexpr int default_retry_after_ms = 500;
/// A step up needs at least this multiple of the next step's latency before the deadline.
constexpr double step_up_time_factor = 1.2;

} // namespace

entry_core::request_chart entry_core::bind_request_chart(const chart& definition) {
    return request_chart{definition,
                         {
                             {"needs_claim", &entry_core::needs_claim},
                             {"wants_rating", &entry_core::wants_rating},
                             {"may_send_again", &entry_core::may_send_again},
                             {"may_retry", &entry_core::may_retry},
                             {"is_rerun_on_stop", &entry_core::is_rerun_on_stop},
                             {"is_cancellable", &entry_core::is_cancellable},
                             {"should_step_up", &entry_core::should_step_up},
                             {"has_earlier_answer", &entry_core::has_earlier_answer},
                         },
                         {
                             {"enqueue", &entry_core::enqueue},
                             {"enqueue_first", &entry_core::enqueue_first},
                             {"ask_claim", &entry_core::ask_claim},
                             {"dispatch", &entry_core::dispatch},
                             {"ask_rating", &entry_core::ask_rating},
                             {"retry", &entry_core::retry},
                             {"rerun", &entry_core::rerun},
                             {"step_up", &entry_core::step_up},
                             {"bill", &entry_core::bill},
                             {"bill_earlier", &entry_core::bill_earlier},
                             {"release", &entry_core::release},
                             {"answer_error", &entry_core::answer_error},
                             {"answer_from_claim", &entry_core::answer_from_claim},
                             {"give_up", &entry_core::give_up},
                             {"fail", &entry_core::fail},
                             {"fail_unbilled", &entry_core::fail_unbilled},
                             {"abandon", &entry_core::abandon},
                         }};
}

entry_core::entry_core(entry_settings settings, const entry_charts& charts, entry_port& port,
                       metrics& registry, std::uint64_t seed, entry_policies policies,
                       disabled_guards disabled)
    : settings_{std::move(settings)},
      chart_{bind_request_chart(charts.request)},
      host_chart_{charts.host},
      port_{port},
      metrics_{registry},
      random_{seed},
      policies_{policies},
      disabled_{std::move(disabled)},
      host_state_{charts.host.initial()},
      base_view_{std::make_shared<fleet_view>()},
      view_{base_view_},
      endpoints_{charts.endpoint, seed + 1, policies.endpoint},
      allowance_{settings_.name, cold_endpoints{settings_.name, {}}},
      quarantine_{settings_.name} {
    quarantine_.set_hosts({settings_.name}, true);
}

// ---- the chart's events ----

// The id is passed by value: the event may end the request and destroy the string that holds its id.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void entry_core::fire(std::string request_id, const std::string& event) {
    const auto found = requests_.find(request_id);
    if (found == requests_.end()) {
        return;
    }
    chart_.fire(*this, found->second, event);
    finish(request_id);
}

void entry_core::finish(const std::string& request_id) {
    const auto found = requests_.find(request_id);
    if (found == requests_.end() || !chart_.definition().is_final(found->second.state)) {
        return;
    }
    context& request = found->second;
    if (!request.call_id.empty()) {
        port_.cancel_call(request.call_id);
        end_call(request, call_result::cancelled);
    }
    remove_from_queue(request);
    request_by_call_.erase(request.rating_id);
    request_by_bill_.erase({request.team.name, request.bill_id});
    request_by_caller_.erase(request.incoming.caller);
    const auto by_key = request_by_key_.find({request.team.name, request.bill_id});
    if (by_key != request_by_key_.end() && by_key->second == request_id) {
        request_by_key_.erase(by_key);
    }
    metrics_.time("request", now_ - request.arrived);
    requests_.erase(found);
}

// ---- guards ----

bool entry_core::needs_claim(const context& request) const {
    return !request.is_idempotent && !request.incoming.idempotency_key.empty() && !request.holds_claim &&
           !is_disabled("claim");
}

bool entry_core::wants_rating(const context& request) const {
    return !request.is_service() && !request.incoming.stream && request.team.rate_answers;
}

bool entry_core::may_send_again(const context& request) const {
    return request.attempts < max_sends_not_run && now_ < request.deadline;
}

// A call whose outcome is unknown may have run, and repeating it may run it twice (a duplicate booking, for
// example). Only idempotent requests are retried after a failure.
bool entry_core::may_retry(const context& request) const {
    const bool is_safe = request.is_idempotent || is_disabled("retry_only_idempotent");
    return is_safe && request.attempts < max_call_attempts && now_ < request.deadline;
}

bool entry_core::is_rerun_on_stop(const context& request) const {
    return !request.is_service() && (!request.incoming.stream || request.team.on_withdrawal == "rerun");
}

bool entry_core::is_cancellable(const context& request) const {
    return request.is_idempotent;
}

// A whole answer below the required score is worth more to the caller than none.
bool entry_core::has_earlier_answer(const context& request) const {
    return request.earlier_answer && is_usable(request.team.name, request.earlier_answer->version);
}

bool entry_core::should_step_up(const context& request) const {
    const bool policy_steps =
        policies_.tier == tier_policy::ours || policies_.tier == tier_policy::fixed_ladder;
    if (!policy_steps || request.tier + 1 >= request.ladder.size()) {
        return false;
    }
    const double next_ms = tier_options(request, request.tier + 1).front().latency_ms;
    if (to_ms(request.deadline - now_) < step_up_time_factor * next_ms) {
        return false;
    }
    const std::optional<double>& score = request.answer->score;
    if (score) {
        return *score < request.team.quality.score;
    }
    // There is no rating: step up once if the version alone is not expected to meet the target.
    const model_entry* model = view_->model(request.version());
    const double chance = quality_.chance(subject_of(request, request.version()), model->prior_quality);
    return !request.stepped_without_rating && chance < request.team.quality.share;
}

// ---- queues ----

void entry_core::push_to_queue(context& request, bool first) {
    remove_from_queue(request);
    request.is_queued = true;
    request.queued_since = now_;
    ++team_queued_[request.team.name];
    waiting_room& queue = queues_[request.queue_name()];
    const waiting_request waiting{request.id, request.team.name, 0, request.deadline, request.deadline};
    if (first) {
        queue.push_front(waiting, now_);
    } else {
        queue.push(waiting, now_);
    }
}

void entry_core::remove_from_queue(context& request) {
    if (!request.is_queued) {
        return;
    }
    request.is_queued = false;
    --team_queued_[request.team.name];
    for (auto& [name, queue] : queues_) {
        queue.remove(request.id);
    }
}

void entry_core::enqueue(context& request) {
    retries_.on_first_attempt();
    push_to_queue(request, false);
}

void entry_core::enqueue_first(context& request) {
    push_to_queue(request, true);
}

void entry_core::dispatch_queues() {
    if (is_dispatching_) {
        return;
    }
    is_dispatching_ = true;
    std::vector<std::string> names;
    for (const auto& [name, queue] : queues_) {
        names.push_back(name);
    }
    for (const std::string& name : names) {
        dispatch_queue(name);
    }
    is_dispatching_ = false;
}

void entry_core::dispatch_queue(const std::string& queue_name) {
    while (queues_[queue_name].size() > 0 && is_fresh() && try_dispatch_next(queue_name)) {
    }
}

bool entry_core::try_dispatch_next(const std::string& queue_name) {
    const auto may_take = [this](const std::string& team) {
        const team_entry* entry = find_team(*view_->established(), team);
        return entry == nullptr || team_in_flight_[team] < entry->max_in_flight;
    };
    // Check for an endpoint first: a request taken from the queue without one would lose its turn.
    const bool is_service = queue_name.rfind("service:", 0) == 0;
    endpoint_criteria any;
    any.version = is_service ? "" : queue_name;
    const model_entry* model = is_service ? nullptr : view_->model(queue_name);
    any.pool = is_service ? queue_name.substr(std::string("service:").size())
                          : (model == nullptr ? "" : model->pool);
    if (!endpoints_.choose(any, now_, allowed_within(duration::zero()))) {
        return false;
    }
    const std::optional<waiting_request> taken = queues_[queue_name].pop(
        now_, [this](const std::string& t) { return std::max(1, weight_of(t)); }, {may_take, {}});
    if (!taken) {
        return false;
    }
    const std::string& id = taken->id;
    context& request = requests_.at(id);
    request.is_queued = false;
    --team_queued_[request.team.name];
    const bool is_allowed = request.is_service() || is_usable(request.team.name, request.version());
    if (!is_allowed && !is_disabled("allowed_at_dispatch")) {
        reroute_queued(request);
        return true;
    }
    // A request that cannot be answered in time any more would take a slot from one that can.
    const auto typical = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(endpoints_.average_latency_ms(request.pool)));
    if (now_ + typical > request.deadline) {
        fire(id, "expired");
        return true;
    }
    endpoint_criteria criteria = criteria_for(request);
    std::optional<endpoint_record> endpoint =
        endpoints_.choose(criteria, now_, allowed_within(duration::zero()));
    if (!endpoint) {
        endpoint = endpoints_.choose(any, now_, allowed_within(duration::zero()));
    }
    request.endpoint = *endpoint;
    fire(id, "slot");
    return true;
}

endpoint_criteria entry_core::criteria_for(const context& request) const {
    return {request.pool, request.is_service() ? "" : request.version(), request.incoming.prefix,
            request.avoided};
}

// ---- claims ----

// Two callers, or one that retries at another entry, may send the same booking. The claim is a conditional
// create in the platform: only the attempt that created it may send the request.
void entry_core::ask_claim(context& request) {
    if (request.claim_attempt.empty()) {
        request.claim_attempt = random_.identifier("attempt-");
    }
    request.claim_sent = now_;
    claim_request message{request.id, {}};
    message.claim.team = request.team.name;
    message.claim.key = request.incoming.idempotency_key;
    message.claim.attempt = request.claim_attempt;
    message.claim.request_digest = request.request_digest;
    if (links_.empty()) {
        return;
    }
    const auto link = std::next(links_.begin(), static_cast<std::ptrdiff_t>(random_.below(links_.size())));
    port_.send_to_steward(link->first, message);
}

void entry_core::finish_claim(const context& request, const std::string& state) {
    if (request.claim_attempt.empty()) {
        return;
    }
    claim_finish message;
    message.claim = {request.team.name,
                     request.incoming.idempotency_key,
                     request.claim_attempt,
                     state,
                     request.request_digest,
                     json(),
                     0};
    if (request.answer) {
        message.claim.answer = request.answer->body;
        message.claim.status = request.answer->status;
    }
    for (const auto& [steward, link] : links_) {
        port_.send_to_steward(steward, message);
    }
}

// ---- calls ----

// Checked last before a request leaves this host. The process may have been paused since the request was
// admitted, so the age of the configuration is evaluated again.
bool entry_core::is_fresh() const {
    return is_disabled("freshness") || freshness_.is_fresh(now_, base_view_->revision());
}

bool entry_core::is_usable(const std::string& team, const version_name& version) const {
    return view_->is_allowed(team, version);
}

duration entry_core::call_timeout(const context& request) const {
    const duration left = request.deadline - now_;
    if (request.incoming.stream) {
        return std::min(left, stream_gap_limit);
    }
    if (!request.is_idempotent) {
        return left;
    }
    const double typical = endpoints_.average_latency_ms(request.pool);
    const auto expected = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(typical * call_timeout_factor));
    return std::min(left, std::max(min_call_timeout, expected));
}

void entry_core::dispatch(context& request) {
    start_call(request, request.endpoint);
}

void entry_core::start_call(context& request, const endpoint_record& endpoint) {
    if (!request.is_service()) {
        invariant("allowed_version", view_->is_allowed(request.team.name, request.version()), [&] {
            return json{
                {"team", request.team.name}, {"version", request.version()}, {"revision", revision()}};
        });
        invariant("withdrawn_gets_no_work",
                  freshness_.is_fresh(now_, base_view_->revision()) &&
                      !view_->is_withdrawn(request.version()),
                  [&] {
                      return json{{"version", request.version()},
                                  {"revision", revision()},
                                  {"known", freshness_.known_revision()},
                                  {"age_ms", to_ms(freshness_.age(now_))}};
                  });
        const auto pin = request.pins.version_by_model.find(model_of(request.version()));
        const bool is_pinned = pin != request.pins.version_by_model.end() &&
                               is_usable(request.team.name, model_of(request.version()) + "@" + pin->second);
        request.pin_at_dispatch =
            is_pinned ? std::optional(model_of(request.version()) + "@" + pin->second) : std::nullopt;
    }
    invariant("leaving_gets_no_work", endpoints_.takes_work(endpoint.name), [&] {
        return json{{"endpoint", endpoint.name}};
    });
    invariant("at_most_once", request.is_idempotent || !request.may_have_run, [&] {
        return json{{"request", request.id}, {"attempts", request.attempts}};
    });
    endpoint_call call;
    call.call_id = random_.identifier("call-");
    call.request_id = request.id;
    call.endpoint = endpoint;
    call.version = request.is_service() ? "" : request.version();
    call.path = request.incoming.path;
    call.body = request.incoming.body;
    call.stream = request.incoming.stream;
    call.is_idempotent = request.is_idempotent;
    call.resume_from = request.resume_from;
    call.priority = request.team.weight;
    call.timeout = call_timeout(request);
    if (request.parts_streamed > 0 && request.resume_from == 0) {
        port_.stream({stream_part::kind::restart, request.incoming.caller, "", make_reply(request)});
        request.parts_streamed = 0;
    }
    ++request.attempts;
    request.earlier_may_have_run = request.may_have_run;
    request.may_have_run = true;
    request.call_id = call.call_id;
    request.call_started = now_;
    request.endpoint = endpoint;
    request_by_call_[call.call_id] = request.id;
    ++team_in_flight_[request.team.name];
    endpoints_.on_call_started(endpoint.name, criteria_for(request), now_);
    allowance_.on_sent(endpoint.name, now_);
    metrics_.count("dispatches");
    metrics_.time("queue_wait", now_ - request.queued_since);
    port_.call_endpoint(call);
}

void entry_core::end_call(context& request, call_result result) {
    if (request.call_id.empty()) {
        return;
    }
    endpoints_.on_call_ended(request.endpoint.name, result, now_ - request.call_started, now_);
    request_by_call_.erase(request.call_id);
    request.call_id.clear();
    --team_in_flight_[request.team.name];
}

void entry_core::on_endpoint_part(const std::string& call_id, int index, const std::string& text,
                                  time_point now) {
    now_ = now;
    const auto owner = request_by_call_.find(call_id);
    if (owner == request_by_call_.end()) {
        metrics_.count("late_parts_dropped");
        return;
    }
    context& request = requests_.at(owner->second);
    if (index != request.parts_streamed && !is_disabled("stream_order")) {
        return; // A duplicate or reordered part; the stream is resumed at the part that is missing.
    }
    if (request.parts_streamed == 0) {
        metrics_.time("first_token", now - request.arrived);
    }
    ++request.parts_streamed;
    port_.stream({stream_part::kind::text, request.incoming.caller, text, make_reply(request)});
}

void entry_core::on_endpoint_answer(const std::string& call_id, const endpoint_answer& answer,
                                    time_point now) {
    now_ = now;
    const auto owner = request_by_call_.find(call_id);
    if (owner == request_by_call_.end()) {
        // The call was abandoned: its request has been answered or runs elsewhere. Dropping late answers by
        // the id of the call prevents answers to the wrong request and duplicate answers.
        metrics_.count("late_answers_dropped");
        return;
    }
    const std::string id = owner->second;
    context& request = requests_.at(id);
    const std::string endpoint = request.endpoint.name;
    endpoints_.on_load_report(endpoint, answer.report, now);
    apply_statement(request, answer.statement);
    call_result result = answer.result;
    const bool is_answer = result == call_result::answered;
    const bool is_own = answer.request_id == request.id || is_disabled("own_answer");
    const bool is_named =
        request.is_service() || answer.version == request.version() || is_disabled("named_version");
    if (is_answer && (!is_own || !is_named)) {
        // An engine that followed an outdated order reports another version, and one that mixed up its
        // streams echoes another request id. Such an answer never reaches the caller.
        metrics_.count("wrong_answers_dropped");
        log_warning("wrong_answer_dropped", {{"request", id},
                                             {"endpoint", endpoint},
                                             {"asked", request.is_service() ? "" : request.version()},
                                             {"named", answer.version},
                                             {"echoed", answer.request_id}});
        result = call_result::failed;
        if (!request.is_service() && !is_named) {
            endpoints_.on_version_missing(endpoint, request.version(), now);
        }
    }
    const bool is_certain_not_run = result == call_result::refused_not_run || result == call_result::leaving;
    if (answer.version_missing && !request.is_service()) {
        endpoints_.on_version_missing(endpoint, request.version(), now);
        result = call_result::cancelled; // A version that is not loaded is no failure of the endpoint.
    }
    if (result == call_result::leaving) {
        announce_leaving_endpoint(endpoint);
    }
    if (result == call_result::failed) {
        record_broken_call(request, answer);
    }
    // A refusal that asks for a back-off is no failure of the endpoint.
    const bool asks_for_back_off = result == call_result::refused_not_run && answer.statement.back_off;
    end_call(request, asks_for_back_off ? call_result::cancelled : result);
    if (is_certain_not_run || answer.version_missing) {
        // "Not run" may be reported to the caller only if no earlier call of this request may have run.
        request.may_have_run = request.earlier_may_have_run;
        request.avoided.insert(endpoint);
        fire(id, "not_run");
    } else if (result != call_result::answered) {
        if (!request.is_service() && answer.status >= 500) {
            ++counts_of(request.version()).failed;
        }
        if (!answer.is_silent) {
            request.resume_from = 0;
        }
        request.avoided.insert(endpoint);
        fire(id, "failed");
    } else {
        if (!quarantine_.is_empty()) {
            quarantine_.clear(quarantine_key(request), now_);
        }
        record_answer(request, answer);
        fire(id, "answered");
    }
    dispatch_queues();
}

void entry_core::record_answer(context& request, const endpoint_answer& answer) {
    if (request.answer && request.answer->score) {
        const bool is_better =
            !request.earlier_answer || *request.answer->score > *request.earlier_answer->score;
        request.earlier_answer = is_better ? request.answer : request.earlier_answer;
    }
    pending_answer arrived;
    arrived.text = answer.text;
    arrived.body = answer.body;
    arrived.tokens = answer.tokens;
    if (request.is_service()) {
        arrived.version = request.incoming.service + "/" + request.incoming.path;
        arrived.status = answer.status;
    } else {
        arrived.version = answer.version;
        arrived.tier = static_cast<int>(request.tier);
        ++counts_of(answer.version).answers;
        constexpr double micro_per_thousand_tokens = 1e6 / 1000;
        const model_entry* model = view_->model(answer.version);
        const double price = model == nullptr ? 0.0 : model->cost_per_1k_tokens;
        request.cost_micro +=
            static_cast<std::int64_t>(price * micro_per_thousand_tokens * static_cast<double>(answer.tokens));
    }
    request.answer = arrived;
}

// While the rating service is down, each answer would wait for the full rating timeout, twice after a step
// up. After \ref max_missed_ratings missing ratings in a row, answers are released unrated, and one is rated
// in the background at intervals to detect that the service is back.
void entry_core::ask_rating(context& request) {
    if (is_rater_unavailable()) {
        metrics_.count("ratings_skipped");
        rate_in_background(request);
        fire(request.id, "rated");
        return;
    }
    // A rating still in progress belongs to a discarded answer and must not be applied to this one.
    if (!is_disabled("drop_stale_rating")) {
        request_by_call_.erase(request.rating_id);
    }
    request.rating_id = random_.identifier("rate-");
    request_by_call_[request.rating_id] = request.id;
    port_.request_rating({request.rating_id, request.id, request.answer->version, request.incoming.body,
                          request.answer->text});
}

void entry_core::on_rating(const std::string& call_id, std::optional<double> score, time_point now) {
    now_ = now;
    missed_ratings_ = score ? 0 : missed_ratings_ + 1;
    const auto background = background_ratings_.find(call_id);
    if (background != background_ratings_.end()) {
        const background_rating rated = background->second;
        background_ratings_.erase(background);
        if (score) {
            credit_.observe(rated.subject.team, *score >= rated.required_score);
            record_rating(rated.subject, rated.version, *score, rated.required_score, rated.prior);
        }
        return;
    }
    const auto owner = request_by_call_.find(call_id);
    if (owner == request_by_call_.end()) {
        return;
    }
    const std::string id = owner->second;
    request_by_call_.erase(owner);
    context& request = requests_.at(id);
    invariant("own_rating", request.rating_id == call_id, [&] {
        return json{{"request", id}, {"rating", call_id}};
    });
    request.rating_id.clear();
    if (request.state != "rating" || !request.answer) {
        return;
    }
    metrics_.count(score ? "ratings" : "ratings_missing");
    request.answer->score = score;
    if (score) {
        const model_entry* model = view_->model(request.answer->version);
        record_rating(subject_of(request, request.answer->version), request.answer->version, *score,
                      request.team.quality.score, model == nullptr ? 0.5 : model->prior_quality);
    }
    fire(id, "rated");
    dispatch_queues();
}

void entry_core::retry(context& request) {
    if (const std::optional<error> quarantined = check_quarantine(request)) {
        request.refusal = quarantined;
        push_to_queue(request, true);
        fire(request.id, "refused");
        return;
    }
    if (!retries_.try_take()) {
        request.refusal = error{error_kind::endpoint_failed,
                                "the call failed and too many others are being retried; retry later",
                                ran_state::unknown, default_retry_after_ms};
        push_to_queue(request, true);
        fire(request.id, "refused");
        return;
    }
    metrics_.count("retries");
    // After a silent connection the engine may still be producing this stream: it is asked once, over a new
    // connection, to continue at the missing part, before the stream is restarted elsewhere.
    const bool may_resume = request.incoming.stream && request.parts_streamed > 0 && request.resumes == 0;
    push_to_queue(request, true);
    if (may_resume && endpoints_.takes_work(request.endpoint.name) && is_fresh()) {
        ++request.resumes;
        request.resume_from = request.parts_streamed;
        remove_from_queue(request);
        fire(request.id, "slot");
        return;
    }
    request.resume_from = 0;
}

void entry_core::rerun(context& request) {
    if (!request.call_id.empty()) {
        port_.cancel_call(request.call_id);
        end_call(request, call_result::cancelled);
    }
    metrics_.count("reruns_of_stopped_versions");
    request.answer.reset();
    request.resume_from = 0;
    reroute_queued(request);
}

void entry_core::step_up(context& request) {
    metrics_.count("steps_up");
    if (!request.answer->score) {
        request.stepped_without_rating = true;
    }
    ++request.tier;
    request.has_stepped_up = true;
    choose_tier(request);
    request.pool = view_->model(request.version())->pool;
    request.avoided.clear();
    push_to_queue(request, true);
}

// ---- timers ----

void entry_core::check_timeouts(context& request) {
    const bool is_over = now_ >= request.deadline;
    if (is_over) {
        fire(request.id, "expired");
        return;
    }
    if (request.state == "claiming" && now_ - request.claim_sent >= claim_resend_interval) {
        ask_claim(request); // The same attempt, through any steward: creating its claim twice is harmless.
    }
    if (request.state == "billing") {
        check_bill_copies(request);
    } else if (request.state == "queued") {
        reroute_or_refuse(request);
    }
}

// Handles a queued request that cannot start: its pool is empty, its version is loaded nowhere, or this host
// cannot confirm its configuration. The request moves to another allowed version or is refused.
void entry_core::reroute_or_refuse(context& request) {
    const duration waited = now_ - request.queued_since;
    if (!is_fresh() && waited >= not_fresh_delay) {
        request.refusal =
            error{error_kind::not_fresh, "this host cannot confirm its configuration; use another entry host",
                  ran_state::no, default_retry_after_ms};
        fire(request.id, "refused");
        return;
    }
    const std::string version = request.is_service() ? "" : request.version();
    if (waited < reroute_delay ||
        endpoints_.could_serve(request.pool, version, now_, allowed_within(max_allowance_wait))) {
        return;
    }
    for (std::size_t step = 1; step < request.ladder.size() && !request.is_service(); ++step) {
        const std::size_t tier = (request.tier + step) % request.ladder.size();
        const model_entry* model = view_->model(request.ladder[tier]);
        if (model != nullptr && endpoints_.could_serve(model->pool, request.ladder[tier], now_,
                                                       allowed_within(max_allowance_wait))) {
            metrics_.count("ways_around_empty_pools");
            remove_from_queue(request);
            request.tier = tier;
            request.pool = model->pool;
            push_to_queue(request, true);
            return;
        }
    }
    if (waited >= no_capacity_delay) {
        request.refusal = error{error_kind::no_capacity, "no endpoint of pool \"" + request.pool + "\" is up",
                                ran_state::no, std::max(default_retry_after_ms, retry_after_ms(request))};
        fire(request.id, "refused");
    }
}

void entry_core::on_tick(time_point now) {
    now_ = now;
    quarantine_.forget_old(now);
    ask_stewards();
    send_bills();
    std::vector<std::string> ids;
    ids.reserve(requests_.size());
    for (const auto& [id, request] : requests_) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const std::string& id : ids) {
        const auto found = requests_.find(id);
        if (found != requests_.end()) {
            check_timeouts(found->second);
        }
    }
    dispatch_queues();
    advance_stop();
}

void entry_core::on_caller_gone(caller_handle caller, time_point now) {
    now_ = now;
    const auto found = request_by_caller_.find(caller);
    if (found == request_by_caller_.end()) {
        return;
    }
    metrics_.count("callers_gone");
    fire(std::string(found->second), "caller_gone");
    dispatch_queues();
}

} // namespace laurelhoist
