/** \file
 * Admission of requests by the entry: authentication, the versions or the service that may be used, the first
 * tier, and the limits of the queue.
 */
#include "node/entry_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr int min_retry_after_ms = 50;
constexpr int max_retry_after_ms = 5000;
constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr double queue_budget_share = 0.5; ///< largest share of the latency budget that may pass in a queue

bool contains(const std::vector<std::string>& items, const std::string& item) {
    return std::find(items.begin(), items.end(), item) != items.end();
}

std::string digest_of(const caller_request& incoming) {
    return sha256_hex(incoming.service + "\n" + incoming.path + "\n" + incoming.body.dump());
}

} // namespace

std::string team_key_hash(const std::string& key) {
    return sha256_hex(key);
}

std::optional<error> entry_core::check_caller(const caller_request& incoming, const team_entry*& team) const {
    if (host_state_ == "draining" || host_state_ == "stopped") {
        return error{error_kind::stopping, "this host is stopping; ask /v1/entries for another",
                     ran_state::no, min_retry_after_ms};
    }
    if (view_->established() == nullptr) {
        return error{error_kind::not_fresh, "no bundle is in force here yet; try another entry host",
                     ran_state::no, 1000};
    }
    if (incoming.team_key.empty()) {
        return error{error_kind::unauthorized, "send your team's key as \"Authorization: Bearer <key>\""};
    }
    team = view_->team_by_key(team_key_hash(incoming.team_key));
    if (team == nullptr) {
        return error{error_kind::unauthorized, "no team has this key; ask your operators for the right one"};
    }
    if (incoming.idempotency_key.size() > max_idempotency_key_bytes) {
        return error{error_kind::invalid_request, "the Idempotency-Key is longer than 256 bytes; shorten it"};
    }
    return std::nullopt;
}

std::optional<error> entry_core::prepare_model_request(context& request) {
    request.ladder = resolve_ladder(*view_, request.pins);
    if (request.team.ladder.empty()) {
        return error{error_kind::forbidden,
                     "team " + request.team.name + " may use no model; ask your operators"};
    }
    if (request.ladder.empty()) {
        return error{error_kind::withdrawn,
                     "every version that team " + request.team.name +
                         " may use is withdrawn; a new bundle is needed",
                     ran_state::no, max_retry_after_ms};
    }
    for (const auto& [model, version] : request.pins.version_by_model) {
        const version_name pinned = model + "@" + version;
        if (!is_usable(request.team.name, pinned)) {
            request.moved_from = pinned;
        }
    }
    choose_tier(request);
    request.pool = view_->model(request.version())->pool;
    return std::nullopt;
}

std::optional<error> entry_core::prepare_service_request(context& request) {
    const bundle* document = view_->bundle_for(unit_hash(request.pins.session));
    const service_entry* service = find_service(*document, request.incoming.service);
    if (service == nullptr) {
        return error{error_kind::not_found, "there is no service \"" + request.incoming.service + "\""};
    }
    const team_entry* team = find_team(*document, request.team.name);
    if (team == nullptr || !contains(team->services, request.incoming.service)) {
        return error{error_kind::forbidden, "team " + request.team.name + " may not use service \"" +
                                                request.incoming.service + "\"; ask your operators"};
    }
    const service_call* call = find_call(*service, request.incoming.path);
    if (call == nullptr) {
        return error{error_kind::not_found, "service \"" + request.incoming.service + "\" has no call \"" +
                                                request.incoming.path + "\""};
    }
    request.is_idempotent = call->idempotent;
    request.pool = service->pool;
    constexpr double micro = 1e6;
    request.cost_micro = static_cast<std::int64_t>(service->cost_per_call * micro);
    return std::nullopt;
}

int entry_core::weight_of(const std::string& team) const {
    const team_entry* entry = find_team(*view_->established(), team);
    return entry == nullptr ? 1 : entry->weight;
}

// A request whose expected wait exceeds its share of the latency budget is refused at once, with a time after
// which to retry: an answer that comes too late takes a slot from one that would be in time.
std::optional<error> entry_core::check_queue(const context& request) const {
    const auto queued = team_queued_.find(request.team.name);
    const int waiting = queued == team_queued_.end() ? 0 : queued->second;
    double wait_ms = 0;
    const auto queue = queues_.find(request.queue_name());
    if (queue != queues_.end()) {
        const double share =
            queue->second.share_of(request.team.name, [this](const std::string& t) { return weight_of(t); });
        const double slots = std::max(1.0, endpoints_.capacity(request.pool) * share);
        wait_ms = static_cast<double>(queue->second.size_of(request.team.name)) *
                  endpoints_.average_latency_ms(request.pool) / slots;
    }
    if (waiting < request.team.max_queued && wait_ms <= queue_budget_share * request.team.latency_budget_ms) {
        return std::nullopt;
    }
    const int retry_ms = std::clamp(static_cast<int>(wait_ms), min_retry_after_ms, max_retry_after_ms);
    return error{error_kind::queue_full,
                 "team " + request.team.name + " has " + std::to_string(waiting) +
                     " requests waiting here; retry after the given time, or use another entry host",
                 ran_state::no, retry_ms};
}

bool entry_core::answer_from_reply_cache(const caller_request& incoming, const team_entry& team) {
    if (incoming.idempotency_key.empty()) {
        return false;
    }
    const bill_key key{team.name, incoming.idempotency_key};
    caller_reply reply;
    const auto kept = reply_cache_.find(key);
    if (kept != reply_cache_.end()) {
        reply = kept->second.reply;
        if (kept->second.request_digest != digest_of(incoming)) {
            const error reused{error_kind::conflict,
                               "this Idempotency-Key was used for another request; use a new one"};
            reply = {};
            reply.status = http_status(reused.kind);
            reply.body = to_error_body(reused, "");
        }
    } else if (request_by_key_.count(key) > 0) {
        const error open{error_kind::in_progress,
                         "a request with this Idempotency-Key is in progress; retry later",
                         ran_state::unknown, 500};
        reply.status = http_status(open.kind);
        reply.body = to_error_body(open, request_by_key_[key]);
        reply.retry_after_ms = open.retry_after_ms;
    } else {
        return false;
    }
    reply.caller = incoming.caller;
    metrics_.count("answers_from_memory");
    if (incoming.stream && reply.status == 200) {
        stream_part text{stream_part::kind::text, incoming.caller, "", reply};
        text.text = reply.body["choices"][0]["message"]["content"].get<std::string>();
        port_.stream(text);
        port_.stream({stream_part::kind::end, incoming.caller, "", reply});
        return true;
    }
    port_.reply(reply);
    return true;
}

void entry_core::on_request(const caller_request& incoming, time_point now) {
    now_ = now;
    metrics_.count("requests");
    const team_entry* team = nullptr;
    std::optional<error> refusal = check_caller(incoming, team);
    if (!refusal && answer_from_reply_cache(incoming, *team)) {
        return;
    }
    context request;
    request.state = chart_.definition().initial();
    request.id = random_.identifier("req-");
    request.bill_id = incoming.idempotency_key.empty() ? request.id : incoming.idempotency_key;
    request.incoming = incoming;
    request.arrived = now;
    if (!refusal) {
        request.team = *team;
        request.request_digest = digest_of(incoming);
        request.deadline = now + milliseconds(team->latency_budget_ms);
        request.pins =
            read_session(incoming.session, team->name, settings_.session_key, random_.identifier("s-"));
        if (!is_disabled("token_revision")) {
            freshness_.on_known_revision(request.pins.revision);
        }
        refusal = request.is_service() ? prepare_service_request(request) : prepare_model_request(request);
    }
    if (!refusal) {
        refusal = check_quarantine(request);
    }
    if (!refusal) {
        refusal = check_queue(request);
    }
    request.refusal = refusal;
    if (team != nullptr) {
        ++team_counts_[team->name].asked;
    }
    const std::string id = request.id;
    request_by_caller_[incoming.caller] = id;
    if (!refusal && !incoming.idempotency_key.empty()) {
        request_by_key_[{request.team.name, request.bill_id}] = id;
    }
    requests_.emplace(id, std::move(request));
    fire(id, refusal ? "refused" : "admitted");
    dispatch_queues();
}

quality_estimator::subject entry_core::subject_of(const context& request, const version_name& version) const {
    return {request.team.name, request.incoming.kind, version, request.has_stepped_up};
}

std::vector<tier_option> entry_core::tier_options(const context& request, std::size_t first) const {
    std::vector<tier_option> options;
    constexpr double per_thousand = 1000;
    for (std::size_t i = first; i < request.ladder.size(); ++i) {
        const model_entry* model = view_->model(request.ladder[i]);
        quality_estimator::subject subject = subject_of(request, request.ladder[i]);
        tier_option option;
        option.cost = model->cost_per_1k_tokens * request.incoming.expected_tokens / per_thousand;
        option.latency_ms =
            model->first_token_ms + static_cast<double>(model->token_ms) * request.incoming.expected_tokens;
        option.chance = quality_.chance(subject, model->prior_quality);
        subject.after_step_up = true;
        option.chance_after_step_up = quality_.chance(subject, model->prior_quality);
        options.push_back(option);
    }
    return options;
}

void entry_core::choose_tier(context& request) {
    const std::size_t first = request.has_stepped_up ? std::min(request.tier, request.ladder.size() - 1) : 0;
    switch (policies_.tier) {
    case tier_policy::always_cheap:
    case tier_policy::fixed_ladder:
        request.tier = first;
        return;
    case tier_policy::always_costly:
        request.tier = request.ladder.size() - 1;
        return;
    case tier_policy::ours:
        break;
    }
    const bool may_step_up = request.team.rate_answers && !request.incoming.stream;
    const double left_ms = to_ms(request.deadline - now_);
    const double target = request.incoming.stream
                              ? credit_.stream_target(request.team.name, request.team.quality.share)
                              : request.team.quality.share;
    request.tier = first + choose_start(tier_options(request, first), {target, left_ms, may_step_up});
}

} // namespace laurelhoist
