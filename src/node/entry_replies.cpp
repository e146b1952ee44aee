/** \file
 * The end of a request in the entry: billing, release and refusal.
 */
#include "node/entry_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr std::size_t max_cached_replies = 2000;
constexpr duration degraded_billing_wait = milliseconds(200);
constexpr int default_retry_after_ms = 500;
constexpr duration rater_probe_interval = seconds(1);

bool contains(const version_name& version, const std::vector<version_name>& ladder) {
    return std::find(ladder.begin(), ladder.end(), version) != ladder.end();
}

} // namespace

version_counts& entry_core::counts_of(const version_name& version) {
    return counts_[evidence_key(*view_, version)];
}

void entry_core::record_rating(const quality_estimator::subject& subject, const version_name& version,
                               double score, double required_score, double prior) {
    const bool is_met = score >= required_score;
    quality_.observe(subject, is_met, prior);
    version_counts& counts = counts_of(version);
    ++counts.rated;
    counts.below += is_met ? 0 : 1;
}

// ---- billing ----

void entry_core::bill(context& request) {
    const bool is_earlier_better = has_earlier_answer(request) && request.answer && request.answer->score &&
                                   *request.earlier_answer->score > *request.answer->score;
    if (is_earlier_better) {
        request.answer = request.earlier_answer;
    }
    check_version_not_stopped(request);
    bill_record record;
    record.team = request.team.name;
    record.request_id = request.bill_id;
    record.version = request.answer->version;
    record.kind = request.incoming.kind;
    record.tier = request.answer->tier;
    record.tokens = request.answer->tokens;
    record.cost_micro = request.cost_micro;
    record.score = request.answer->score.value_or(-1.0);
    record.latency_ms = static_cast<std::int64_t>(to_ms(now_ - request.arrived));
    record.entry = settings_.incarnation;
    record.at_ms = port_.wall_clock_ms();
    request.billing_since = now_;
    request_by_bill_[key_of(record)] = request.id;
    outbox_.add(record, now_);
    if (!request.is_idempotent) {
        finish_claim(request, "done");
    }
    send_bills();
    if (is_disabled("bill_before_release")) {
        fire(request.id, "billed");
    }
}

// An answer from a version that was stopped while the answer was produced must not reach the caller. This is
// the last check: once billing has begun, the answer is released.
void entry_core::check_version_not_stopped(const context& request) const {
    const bool may_finish =
        request.is_service() || (request.incoming.stream && request.team.on_withdrawal == "finish");
    invariant("stopped_answer_is_held_back", may_finish || !view_->is_stopped(request.answer->version), [&] {
        return json{{"request", request.id}, {"version", request.answer->version}};
    });
}

void entry_core::bill_earlier(context& request) {
    request.answer = request.earlier_answer;
    bill(request);
}

// An answer is released when its bill would survive the loss of any one failure domain. After
// \c degraded_billing_wait a copy at one steward is enough, since this entry holds a second one. Without any,
// the answer is held back: nothing is released unbilled.
void entry_core::check_bill_copies(context& request) {
    const std::size_t copies = outbox_.copies({request.team.name, request.bill_id});
    const bool is_degraded = now_ - request.billing_since >= degraded_billing_wait;
    if (copies >= wanted_copies() || (copies >= 1 && is_degraded)) {
        metrics_.count(copies >= target_bill_copies ? "bills_held_twice" : "bills_held_once");
        fire(request.id, "billed");
    }
}

void entry_core::fail_unbilled(context& request) {
    outbox_.on_drained({request.team.name, request.bill_id});
    send_error(request, {error_kind::ledger_unavailable,
                         "no steward could hold the bill, so the answer was not released; retry later",
                         ran_state::yes, default_retry_after_ms});
}

// ---- release ----

void entry_core::check_release(const context& request) {
    const pending_answer& answer = *request.answer;
    invariant("billed_exactly_once", outbox_.copies({request.team.name, request.bill_id}) >= 1, [&] {
        return json{{"request", request.id}};
    });
    if (request.is_service()) {
        return;
    }
    const std::string model = model_of(answer.version);
    if (request.pin_at_dispatch && model_of(*request.pin_at_dispatch) == model) {
        invariant("session_keeps_version", *request.pin_at_dispatch == answer.version, [&] {
            return json{{"session", request.pins.session},
                        {"pin", *request.pin_at_dispatch},
                        {"got", answer.version}};
        });
    }
    invariant("allowed_answer",
              view_->is_withdrawn(answer.version) || contains(answer.version, request.ladder), [&] {
                  return json{{"request", request.id}, {"got", answer.version}};
              });
}

caller_reply entry_core::make_reply(const context& request) const {
    caller_reply reply;
    reply.caller = request.incoming.caller;
    reply.request_id = request.id;
    reply.moved_from = request.moved_from;
    session_pins pins = request.pins;
    if (!request.is_service()) {
        const version_name version = request.answer ? request.answer->version : request.version();
        reply.version = version;
        reply.tier = request.answer ? request.answer->tier : static_cast<int>(request.tier);
        // Pins the whole ladder and not only the model that answered: otherwise two concurrent first requests
        // of a session return tokens with different pins, and the later token drops the earlier pin.
        for (const version_name& step : request.ladder) {
            pins.version_by_model[model_of(step)] = version_of(step);
        }
        pins.version_by_model[model_of(version)] = version_of(version);
    }
    pins.revision = std::max(pins.revision, revision());
    reply.session = encode_session(pins, settings_.session_key);
    return reply;
}

void entry_core::release(context& request) {
    check_release(request);
    count_release(request);
    caller_reply reply = make_reply(request);
    const pending_answer& answer = *request.answer;
    if (request.is_service()) {
        reply.status = answer.status;
        reply.body = answer.body;
    } else {
        reply.body = {
            {"id", request.id},
            {"object", "chat.completion"},
            {"model", answer.version},
            {"choices", json::array({{{"index", 0},
                                      {"message", {{"role", "assistant"}, {"content", answer.text}}},
                                      {"finish_reason", "stop"}}})},
            {"usage", {{"completion_tokens", answer.tokens}}},
            {"laurelhoist",
             {{"version", answer.version},
              {"tier", answer.tier},
              {"request_id", request.id},
              {"quality_met", !answer.score || *answer.score >= request.team.quality.score}}}};
    }
    cache_reply(request, reply);
    if (request.incoming.stream) {
        port_.stream({stream_part::kind::end, request.incoming.caller, "", reply});
        rate_in_background(request);
    } else {
        port_.reply(reply);
    }
}

void entry_core::count_release(const context& request) {
    metrics_.count("released");
    ++team_counts_[request.team.name].whole;
    if (request.is_service()) {
        return;
    }
    version_counts& counts = counts_of(request.answer->version);
    ++counts.released;
    if (request.answer->score) {
        credit_.observe(request.team.name, *request.answer->score >= request.team.quality.score);
    }
    if (request.answer->score && *request.answer->score < request.team.quality.score) {
        ++counts.released_below;
    }
}

void entry_core::cache_reply(const context& request, const caller_reply& reply) {
    if (request.incoming.idempotency_key.empty()) {
        return;
    }
    const bill_key key{request.team.name, request.bill_id};
    if (reply_cache_.count(key) == 0) {
        reply_cache_order_.push_back(key);
    }
    reply_cache_[key] = {reply, request.request_digest, now_};
    if (reply_cache_order_.size() > max_cached_replies) {
        reply_cache_.erase(reply_cache_order_.front());
        reply_cache_order_.pop_front();
    }
}

// A stream is sent before it can be rated; its rating still updates the quality estimates and the brake.
void entry_core::rate_in_background(const context& request) {
    constexpr std::size_t max_background_ratings = 500;
    const bool is_probe_due = now_ >= next_rater_probe_;
    if (background_ratings_.size() >= max_background_ratings || (is_rater_unavailable() && !is_probe_due)) {
        return;
    }
    next_rater_probe_ = now_ + rater_probe_interval;
    const std::string id = random_.identifier("rate-");
    const model_entry* model = view_->model(request.answer->version);
    background_ratings_[id] = {subject_of(request, request.answer->version), request.answer->version,
                               request.team.quality.score, model == nullptr ? 0.5 : model->prior_quality};
    port_.request_rating(
        {id, request.id, request.answer->version, request.incoming.body, request.answer->text});
}

// ---- refusals ----

void entry_core::send_error(const context& request, const error& failure) {
    invariant("not_run_is_true", failure.ran != ran_state::no || !request.may_have_run, [&] {
        return json{
            {"request", request.id}, {"kind", to_string(failure.kind)}, {"attempts", request.attempts}};
    });
    if (!request.team.name.empty()) {
        team_counts& counts = team_counts_[request.team.name];
        ++(failure.ran == ran_state::no ? counts.refused : counts.failed);
    }
    metrics_.count(std::string("refused_") + to_string(failure.kind));
    caller_reply reply;
    reply.caller = request.incoming.caller;
    reply.status = http_status(failure.kind);
    reply.body = to_error_body(failure, request.id);
    reply.request_id = request.id;
    reply.retry_after_ms = failure.retry_after_ms;
    if (request.incoming.stream) {
        port_.stream({stream_part::kind::failure, request.incoming.caller, "", reply});
    } else {
        port_.reply(reply);
    }
}

error entry_core::refusal_of(const context& request) const {
    const error late{error_kind::deadline_exceeded,
                     "the latency budget of the team ran out before a slot was free; retry later",
                     ran_state::no, default_retry_after_ms};
    const error no_taker{error_kind::no_capacity,
                         "no endpoint of pool \"" + request.pool + "\" takes work now; retry later",
                         ran_state::no, default_retry_after_ms};
    error refusal = request.refusal.value_or(now_ >= request.deadline ? late : no_taker);
    if (request.may_have_run && !is_disabled("not_run_truth")) {
        refusal.ran = ran_state::unknown;
    }
    return refusal;
}

void entry_core::answer_error(context& request) {
    send_error(request, *request.refusal);
}

void entry_core::give_up(context& request) {
    if (!request.may_have_run) {
        finish_claim(request, "voided");
    }
    send_error(request, refusal_of(request));
}

void entry_core::answer_from_claim(context& request) {
    const claim_record& claim = *request.taken_claim;
    if (claim.request_digest != request.request_digest) {
        send_error(request, {error_kind::conflict,
                             "this Idempotency-Key was used for another request; use a new one"});
        return;
    }
    if (claim.state != "done") {
        send_error(request,
                   {error_kind::outcome_unknown,
                    "an earlier call with this Idempotency-Key may have run; its outcome is not known yet",
                    ran_state::unknown, default_retry_after_ms});
        return;
    }
    metrics_.count("answers_from_claims");
    caller_reply reply = make_reply(request);
    reply.status = claim.status;
    reply.body = claim.answer;
    port_.reply(reply);
}

void entry_core::fail(context& request) {
    const bool is_late = now_ >= request.deadline;
    const error_kind kind = !request.is_idempotent ? error_kind::outcome_unknown
                            : is_late              ? error_kind::deadline_exceeded
                                                   : error_kind::endpoint_failed;
    const std::string message =
        request.is_idempotent
            ? "no endpoint gave a complete answer in time; it is safe to send the request again"
            : "the call was sent and its answer was lost; check /v1/requests before sending it again";
    send_error(request,
               {kind, message, ran_state::unknown, request.is_idempotent ? default_retry_after_ms : 0});
}

void entry_core::abandon(context& request) {
    if (!request.may_have_run) {
        finish_claim(request, "voided");
    }
}

} // namespace laurelhoist
