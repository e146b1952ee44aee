/** \file
 * The part of the entry that carries a request through its chart: queues, calls, retries, steps up.
 */
#include "node/entry_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr int most_attempts = 5;
constexpr int most_sends_not_run = 12;
constexpr duration shortest_call_timeout = seconds(2);
constexpr double call_timeout_factor = 8;
constexpr duration stream_gap_limit = seconds(2);
constexpr duration claim_resend = milliseconds(400);
constexpr duration no_endpoint_patience = milliseconds(500);
constexpr duration no_capacity_patience = seconds(2);
constexpr duration not_fresh_patience = seconds(1);
/// A request may wait for an endpoint whose limit or rest lets it take another one within this time.
constexpr duration allowance_patience = milliseconds(500);
constexpr int retry_soon_ms = 500;
constexpr double step_up_time_share = 1.2; ///< of the next step's expected time must be left

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
                       metrics& numbers, std::uint64_t seed, entry_policies policies,
                       disabled_guards disabled)
    : settings_{std::move(settings)},
      chart_{bind_request_chart(charts.request)},
      host_chart_{charts.host},
      port_{port},
      numbers_{numbers},
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

// The id is taken by value: the event may end the request, and with it the id it was named by.
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
    take_from_lane(request);
    request_by_call_.erase(request.rating_id);
    billing_.erase({request.team.name, request.bill_id});
    request_by_caller_.erase(request.asked.caller);
    const auto by_key = request_by_key_.find({request.team.name, request.bill_id});
    if (by_key != request_by_key_.end() && by_key->second == request_id) {
        request_by_key_.erase(by_key);
    }
    numbers_.time("request", now_ - request.arrived);
    requests_.erase(found);
}

// ---- guards ----

bool entry_core::needs_claim(const context& request) const {
    return !request.is_idempotent && !request.asked.idempotency_key.empty() && !request.holds_claim &&
           !is_disabled("claim");
}

bool entry_core::wants_rating(const context& request) const {
    return !request.is_service() && !request.asked.stream && request.team.rate_answers;
}

bool entry_core::may_send_again(const context& request) const {
    return request.attempts < most_sends_not_run && now_ < request.deadline;
}

// A call whose outcome is not known may have run. Sending it again would run it twice, which a caller
// sees as a doubled booking; so only an idempotent request is ever retried after a failure.
bool entry_core::may_retry(const context& request) const {
    const bool is_safe = request.is_idempotent || is_disabled("retry_only_idempotent");
    return is_safe && request.attempts < most_attempts && now_ < request.deadline;
}

bool entry_core::is_rerun_on_stop(const context& request) const {
    return !request.is_service() && (!request.asked.stream || request.team.on_withdrawal == "rerun");
}

bool entry_core::is_cancellable(const context& request) const {
    return request.is_idempotent;
}

// A whole answer below the score is worth more to the caller than none.
bool entry_core::has_earlier_answer(const context& request) const {
    return request.earlier && is_usable(request.team.name, request.earlier->version);
}

bool entry_core::should_step_up(const context& request) const {
    const bool policy_steps =
        policies_.tier == tier_policy::ours || policies_.tier == tier_policy::fixed_ladder;
    if (!policy_steps || request.tier + 1 >= request.ladder.size()) {
        return false;
    }
    const double next_ms = tier_options(request, request.tier + 1).front().latency_ms;
    if (to_ms(request.deadline - now_) < step_up_time_share * next_ms) {
        return false;
    }
    const std::optional<double>& score = request.answer->score;
    if (score) {
        return *score < request.team.quality.score;
    }
    // The rating service is dark: step up once if the version alone is not trusted to meet the target.
    const model_entry* model = view_->model(request.version());
    const double chance = quality_.chance(subject_of(request, request.version()), model->prior_quality);
    return !request.stepped_without_rating && chance < request.team.quality.share;
}

// ---- queues ----

void entry_core::put_in_lane(context& request, bool first) {
    take_from_lane(request);
    request.is_queued = true;
    request.queued_since = now_;
    ++team_queued_[request.team.name];
    fair_queue& lane = lanes_[request.lane()];
    if (first) {
        lane.push_front(request.team.name, request.id, now_);
    } else {
        lane.push(request.team.name, request.id, now_);
    }
}

void entry_core::take_from_lane(context& request) {
    if (!request.is_queued) {
        return;
    }
    request.is_queued = false;
    --team_queued_[request.team.name];
    for (auto& [name, lane] : lanes_) {
        lane.remove(request.team.name, request.id);
    }
}

void entry_core::enqueue(context& request) {
    retries_.on_first_attempt();
    put_in_lane(request, false);
}

void entry_core::enqueue_first(context& request) {
    put_in_lane(request, true);
}

void entry_core::pump() {
    if (is_pumping_) {
        return;
    }
    is_pumping_ = true;
    std::vector<std::string> names;
    for (const auto& [name, lane] : lanes_) {
        names.push_back(name);
    }
    for (const std::string& name : names) {
        pump_lane(name);
    }
    is_pumping_ = false;
}

void entry_core::pump_lane(const std::string& lane) {
    while (lanes_[lane].size() > 0 && is_fresh() && try_start(lane)) {
    }
}

bool entry_core::try_start(const std::string& lane) {
    const auto may_take = [this](const std::string& team) {
        const team_entry* entry = find_team(*view_->established(), team);
        return entry == nullptr || team_in_flight_[team] < entry->max_in_flight;
    };
    // Look before taking: a request taken from the queue without an endpoint would lose its turn.
    const bool is_service = lane.rfind("service:", 0) == 0;
    endpoint_criteria any;
    any.version = is_service ? "" : lane;
    const model_entry* model = is_service ? nullptr : view_->model(lane);
    any.pool =
        is_service ? lane.substr(std::string("service:").size()) : (model == nullptr ? "" : model->pool);
    if (!endpoints_.choose(any, now_, allowed_within(duration::zero()))) {
        return false;
    }
    const std::optional<std::string> id =
        lanes_[lane].pop([this](const std::string& t) { return weight_of(t); }, may_take);
    if (!id) {
        return false;
    }
    context& request = requests_.at(*id);
    request.is_queued = false;
    --team_queued_[request.team.name];
    const bool is_allowed = request.is_service() || is_usable(request.team.name, request.version());
    if (!is_allowed && !is_disabled("allowed_at_dispatch")) {
        reroute_queued(request);
        return true;
    }
    // What cannot be done in time any more would only take a slot from what can.
    const auto typical = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(endpoints_.average_latency_ms(request.pool)));
    if (now_ + typical > request.deadline) {
        fire(*id, "expired");
        return true;
    }
    endpoint_criteria wish = wish_for(request);
    std::optional<endpoint_record> endpoint = endpoints_.choose(wish, now_, allowed_within(duration::zero()));
    if (!endpoint) {
        endpoint = endpoints_.choose(any, now_, allowed_within(duration::zero()));
    }
    request.endpoint = *endpoint;
    fire(*id, "slot");
    return true;
}

endpoint_criteria entry_core::wish_for(const context& request) const {
    return {request.pool, request.is_service() ? "" : request.version(), request.asked.prefix,
            request.avoided};
}

// ---- claims ----

// Two callers, or one that retries at another entry, may send the same booking. The claim is a
// conditional create in the platform: whoever created it may send, everybody else gets the kept answer.
void entry_core::ask_claim(context& request) {
    if (request.claim_attempt.empty()) {
        request.claim_attempt = random_.identifier("attempt-");
    }
    request.claim_sent = now_;
    claim_request message{request.id, {}};
    message.claim.team = request.team.name;
    message.claim.key = request.asked.idempotency_key;
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
                     request.asked.idempotency_key,
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

// The last look before work leaves this host. The process may have been paused since the request was
// admitted, so the age of the configuration is read again here and not remembered from before.
bool entry_core::is_fresh() const {
    return is_disabled("freshness") || freshness_.is_fresh(now_, base_view_->revision());
}

bool entry_core::is_usable(const std::string& team, const version_name& version) const {
    return view_->is_allowed(team, version);
}

duration entry_core::call_timeout(const context& request) const {
    const duration left = request.deadline - now_;
    if (request.asked.stream) {
        return std::min(left, stream_gap_limit);
    }
    if (!request.is_idempotent) {
        return left;
    }
    const double typical = endpoints_.average_latency_ms(request.pool);
    const auto expected = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(typical * call_timeout_factor));
    return std::min(left, std::max(shortest_call_timeout, expected));
}

void entry_core::dispatch(context& request) {
    start_on(request, request.endpoint);
}

void entry_core::start_on(context& request, const endpoint_record& endpoint) {
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
    call.path = request.asked.path;
    call.body = request.asked.body;
    call.stream = request.asked.stream;
    call.is_idempotent = request.is_idempotent;
    call.resume_from = request.resume_from;
    call.priority = request.team.weight;
    call.timeout = call_timeout(request);
    if (request.parts_streamed > 0 && request.resume_from == 0) {
        port_.stream({stream_part::kind::restart, request.asked.caller, "", make_reply(request)});
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
    endpoints_.on_call_started(endpoint.name, wish_for(request), now_);
    allowance_.on_sent(endpoint.name, now_);
    numbers_.count("dispatches");
    numbers_.time("queue_wait", now_ - request.queued_since);
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
        numbers_.count("late_parts_dropped");
        return;
    }
    context& request = requests_.at(owner->second);
    if (index != request.parts_streamed && !is_disabled("stream_order")) {
        return; // A doubled or reordered part: the stream is resumed from the offset that is missing.
    }
    if (request.parts_streamed == 0) {
        numbers_.time("first_token", now - request.arrived);
    }
    ++request.parts_streamed;
    port_.stream({stream_part::kind::text, request.asked.caller, text, make_reply(request)});
}

void entry_core::on_endpoint_answer(const std::string& call_id, const endpoint_answer& answer,
                                    time_point now) {
    now_ = now;
    const auto owner = request_by_call_.find(call_id);
    if (owner == request_by_call_.end()) {
        // The call was given up: its request has been answered or runs elsewhere. Dropping the late
        // answer by the call's id is what keeps answers from reaching another request or coming twice.
        numbers_.count("late_answers_dropped");
        return;
    }
    const std::string id = owner->second;
    context& request = requests_.at(id);
    const std::string endpoint = request.endpoint.name;
    endpoints_.on_load_report(endpoint, answer.report, now);
    note_statement(request, answer.says);
    call_result result = answer.result;
    const bool is_answer = result == call_result::answered;
    const bool is_own = answer.request_id == request.id || is_disabled("own_answer");
    const bool is_named =
        request.is_service() || answer.version == request.version() || is_disabled("named_version");
    if (is_answer && (!is_own || !is_named)) {
        // An engine that obeyed an old order, or mixed up its streams, says so itself by the name or the
        // id in its answer. Such an answer never reaches the caller.
        numbers_.count("wrong_answers_dropped");
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
        result = call_result::cancelled; // Not loaded is no fault of the endpoint's.
    }
    if (result == call_result::leaving) {
        share_leaving(endpoint);
    }
    if (result == call_result::failed) {
        note_broken_call(request, answer);
    }
    // What an endpoint asks for is no failure of it.
    const bool asks_for_rest = result == call_result::refused_not_run && answer.says.back_off;
    end_call(request, asks_for_rest ? call_result::cancelled : result);
    if (is_certain_not_run || answer.version_missing) {
        // "Not run" may be said to the caller only if no earlier call of this request can have run.
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
        take_answer(request, answer);
        fire(id, "answered");
    }
    pump();
}

void entry_core::take_answer(context& request, const endpoint_answer& answer) {
    if (request.answer && request.answer->score) {
        const bool is_better = !request.earlier || *request.answer->score > *request.earlier->score;
        request.earlier = is_better ? request.answer : request.earlier;
    }
    pending_answer arrived;
    arrived.text = answer.text;
    arrived.body = answer.body;
    arrived.tokens = answer.tokens;
    if (request.is_service()) {
        arrived.version = request.asked.service + "/" + request.asked.path;
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

// A dark rating service would cost every answer its whole time limit, twice after a step up. After a few
// missing ratings answers go on without; one is sent beside now and then, to see whether it is back.
void entry_core::ask_rating(context& request) {
    if (is_rater_dark()) {
        numbers_.count("ratings_skipped");
        rate_in_background(request);
        fire(request.id, "rated");
        return;
    }
    // A rating still under way is of an answer that was dropped; it must not be taken for this one's.
    if (!is_disabled("drop_stale_rating")) {
        request_by_call_.erase(request.rating_id);
    }
    request.rating_id = random_.identifier("rate-");
    request_by_call_[request.rating_id] = request.id;
    port_.request_rating(
        {request.rating_id, request.id, request.answer->version, request.asked.body, request.answer->text});
}

void entry_core::on_rating(const std::string& call_id, std::optional<double> score, time_point now) {
    now_ = now;
    ratings_missed_ = score ? 0 : ratings_missed_ + 1;
    const auto background = background_ratings_.find(call_id);
    if (background != background_ratings_.end()) {
        const background_rating rated = background->second;
        background_ratings_.erase(background);
        if (score) {
            credit_.observe(rated.subject.team, *score >= rated.score_wanted);
            note_rating(rated.subject, rated.version, *score, rated.score_wanted, rated.prior);
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
    numbers_.count(score ? "ratings" : "ratings_missing");
    request.answer->score = score;
    if (score) {
        const model_entry* model = view_->model(request.answer->version);
        note_rating(subject_of(request, request.answer->version), request.answer->version, *score,
                    request.team.quality.score, model == nullptr ? 0.5 : model->prior_quality);
    }
    fire(id, "rated");
    pump();
}

void entry_core::retry(context& request) {
    if (const std::optional<error> quarantined = check_quarantine(request)) {
        request.refusal = quarantined;
        put_in_lane(request, true);
        fire(request.id, "refused");
        return;
    }
    if (!retries_.try_take()) {
        request.refusal = error{error_kind::endpoint_failed,
                                "the call failed and too many others are being retried; come back",
                                ran_state::unknown, retry_soon_ms};
        put_in_lane(request, true);
        fire(request.id, "refused");
        return;
    }
    numbers_.count("retries");
    // A silent connection: the engine may still be producing this stream, so ask it once to go on from
    // the part that is missing over a new connection, before starting anew elsewhere.
    const bool may_resume = request.asked.stream && request.parts_streamed > 0 && request.resumes == 0;
    put_in_lane(request, true);
    if (may_resume && endpoints_.takes_work(request.endpoint.name) && is_fresh()) {
        ++request.resumes;
        request.resume_from = request.parts_streamed;
        take_from_lane(request);
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
    numbers_.count("reruns_of_stopped_versions");
    request.answer.reset();
    request.resume_from = 0;
    reroute_queued(request);
}

void entry_core::step_up(context& request) {
    numbers_.count("steps_up");
    if (!request.answer->score) {
        request.stepped_without_rating = true;
    }
    ++request.tier;
    request.has_stepped_up = true;
    choose_tier(request);
    request.pool = view_->model(request.version())->pool;
    request.avoided.clear();
    put_in_lane(request, true);
}

// ---- time ----

void entry_core::check_time(context& request) {
    const bool is_over = now_ >= request.deadline;
    if (is_over) {
        fire(request.id, "expired");
        return;
    }
    if (request.state == "claiming" && now_ - request.claim_sent >= claim_resend) {
        ask_claim(request); // The same attempt through another steward: creating it twice changes nothing.
    }
    if (request.state == "billing") {
        check_billed(request);
    } else if (request.state == "queued") {
        find_other_way(request);
    }
}

// A request that waits for something that will not come: an empty pool, a version loaded nowhere, a host
// that is cut off. It takes another allowed way, or is refused at once with the truth.
void entry_core::find_other_way(context& request) {
    const duration waited = now_ - request.queued_since;
    if (!is_fresh() && waited >= not_fresh_patience) {
        request.refusal =
            error{error_kind::not_fresh, "this host cannot confirm its configuration; use another entry host",
                  ran_state::no, retry_soon_ms};
        fire(request.id, "refused");
        return;
    }
    const std::string version = request.is_service() ? "" : request.version();
    if (waited < no_endpoint_patience ||
        endpoints_.could_serve(request.pool, version, now_, allowed_within(allowance_patience))) {
        return;
    }
    for (std::size_t step = 1; step < request.ladder.size() && !request.is_service(); ++step) {
        const std::size_t tier = (request.tier + step) % request.ladder.size();
        const model_entry* model = view_->model(request.ladder[tier]);
        if (model != nullptr && endpoints_.could_serve(model->pool, request.ladder[tier], now_,
                                                       allowed_within(allowance_patience))) {
            numbers_.count("ways_around_empty_pools");
            take_from_lane(request);
            request.tier = tier;
            request.pool = model->pool;
            put_in_lane(request, true);
            return;
        }
    }
    if (waited >= no_capacity_patience) {
        request.refusal = error{error_kind::no_capacity, "no endpoint of pool \"" + request.pool + "\" is up",
                                ran_state::no, std::max(retry_soon_ms, retry_after_ms(request))};
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
            check_time(found->second);
        }
    }
    pump();
    advance_stop();
}

void entry_core::on_caller_gone(caller_handle caller, time_point now) {
    now_ = now;
    const auto found = request_by_caller_.find(caller);
    if (found == request_by_caller_.end()) {
        return;
    }
    numbers_.count("callers_gone");
    fire(std::string(found->second), "caller_gone");
    pump();
}

} // namespace laurelhoist
