/** \file
 * Communication of the entry with stewards: configuration, freshness, bills, claims, the fleet, and the
 * planned stop.
 */
#include "node/entry_core.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration ask_interval = milliseconds(800);
constexpr int asks_between_records = 10;
constexpr duration bill_resend_interval = milliseconds(300);
constexpr duration extra_holder_delay = milliseconds(60);
constexpr int default_retry_after_ms = 500;

// Copies to \p message the counts that differ between \p now and \p sent, and records them in \p sent.
template <class Counts>
void collect_changed(const Counts& now, Counts& sent, Counts& message) {
    for (const auto& [name, counts] : now) {
        const auto held = sent.find(name);
        if (held == sent.end() || held->second != counts) {
            message[name] = counts;
            sent[name] = counts;
        }
    }
}

} // namespace

// ---- links ----

void entry_core::on_steward_up(const std::string& incarnation, const std::string& domain, time_point now) {
    now_ = now;
    links_[incarnation] = {domain, {}, {}, {}, 0};
    last_ask_ = {};
    ask_stewards();
}

void entry_core::on_steward_down(const std::string& incarnation, time_point now) {
    now_ = now;
    links_.erase(incarnation);
    outbox_.on_holder_lost(incarnation);
    send_bills();
}

void entry_core::on_steward_message(const std::string& incarnation, const node_message& message,
                                    time_point now) {
    now_ = now;
    const auto link = links_.find(incarnation);
    if (link == links_.end()) {
        return;
    }
    std::visit([this, &incarnation](const auto& typed) { on(incarnation, typed); }, message);
    dispatch_queues();
}

void entry_core::ask_stewards() {
    if (last_ask_ != time_point{} && now_ - last_ask_ < ask_interval) {
        return;
    }
    last_ask_ = now_;
    for (auto& [incarnation, link] : links_) {
        entry_ask ask;
        ask.asked_at = to_micros(now_);
        ask.revision = revision();
        const entry_record self{settings_.name,   settings_.incarnation, settings_.address,
                                settings_.domain, host_state_,           0};
        if (link.sent_record != self || ++link.asks_since_record >= asks_between_records) {
            ask.entry = {self};
            link.sent_record = self;
            link.asks_since_record = 0;
        }
        collect_changed(counts_, link.sent_counts, ask.counts);
        collect_changed(team_counts_, link.sent_teams, ask.teams);
        port_.send_to_steward(incarnation, ask);
    }
}

void entry_core::on(const std::string& /*from*/, const entry_confirm& message) {
    const time_point asked_at = from_micros(message.asked_at);
    if (asked_at > now_) {
        return; // Not a time of this clock; accepting it would overstate the freshness.
    }
    freshness_.on_confirmation(asked_at, duration{message.evidence_age}, message.revision);
    metrics_.gauge("freshness_age_ms", to_ms(freshness_.age(now_)));
    const outcome<std::string> ready = host_chart_.next(host_state_, "ready");
    if (value_of(ready) != nullptr && is_ready(now_)) {
        host_state_ = *value_of(ready);
        log_info("serving", {{"revision", revision()}});
    }
}

bool entry_core::is_ready(time_point now) const {
    return view_->established() != nullptr && freshness_.is_fresh(now, base_view_->revision());
}

// ---- configuration ----

void entry_core::on(const std::string& /*from*/, const config_update& message) {
    if (message.revision <= revision() && !is_disabled("only_forward")) {
        return; // Duplicate or late: a node only moves to a higher revision.
    }
    const outcome<shared_view> next = apply_update(*base_view_, message);
    if (const error* failure = error_of(next)) {
        log_info("config_update_refused", {{"revision", message.revision}, {"reason", failure->message}});
        return;
    }
    apply_config(*value_of(next));
}

void entry_core::apply_config(shared_view next) {
    const bool is_forward =
        invariant("configuration_never_reverts", is_successor(base_view_->head(), next->head()), [&] {
            return json{{"from", revision()}, {"to", next->revision()}};
        });
    if (!is_forward) {
        return;
    }
    base_view_ = std::move(next);
    metrics_.count("configurations_applied");
    metrics_.gauge("revision", static_cast<double>(revision()));
    log_info("configuration_in_force", {{"revision", revision()}});
    update_slot_limits();
    apply_brake_notice();
    last_ask_ = {};
    ask_stewards(); // Reports at once that the revision is in force here.
}

bool entry_core::is_brake_notice_current() const {
    const fleet_head& head = base_view_->head();
    const auto rolling = head.bundles.find(brake_notice_.bundle_id);
    return !brake_notice_.versions.empty() && head.rolling == brake_notice_.bundle_id &&
           rolling != head.bundles.end() && rolling->second.epoch == brake_notice_.epoch;
}

// A brake takes effect before it is written to the platform: the versions of the latest notice count as
// stopped until their roll-out is resumed, which begins a new epoch, or ends.
void entry_core::apply_brake_notice() {
    view_ = base_view_;
    if (is_brake_notice_current()) {
        fleet_head head = base_view_->head();
        for (const version_name& version : brake_notice_.versions) {
            head.braked.emplace(version, version_stop{"brake notice", 0, ""});
        }
        std::map<std::string, bundle> documents;
        for (const std::string& id : fleet_view::needed_documents(head)) {
            documents[id] = *base_view_->document(id);
        }
        view_ = std::make_shared<fleet_view>(std::move(head), std::move(documents));
    }
    reroute_open_requests();
}

void entry_core::on(const std::string& /*from*/, const brake_notice& message) {
    const bool is_same_rollout =
        message.bundle_id == brake_notice_.bundle_id && message.epoch == brake_notice_.epoch;
    brake_notice merged =
        is_same_rollout ? brake_notice_ : brake_notice{message.bundle_id, message.epoch, {}};
    for (const version_name& version : message.versions) {
        if (std::find(merged.versions.begin(), merged.versions.end(), version) == merged.versions.end()) {
            merged.versions.push_back(version);
        }
    }
    const bool is_older = message.bundle_id == brake_notice_.bundle_id && message.epoch < brake_notice_.epoch;
    if (merged == brake_notice_ || is_older) {
        return;
    }
    brake_notice_ = merged;
    log_warning("braked", {{"versions", merged.versions}, {"bundle", merged.bundle_id}});
    apply_brake_notice();
}

// No answer of a version that was just stopped may reach a caller, so its open requests are rerouted.
void entry_core::reroute_open_requests() {
    std::vector<std::string> ids;
    for (const auto& [id, request] : requests_) {
        if (!request.is_service()) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    for (const std::string& id : ids) {
        const auto found = requests_.find(id);
        if (found == requests_.end()) {
            continue;
        }
        context& request = found->second;
        if (request.state == "queued") {
            if (!is_disabled("reroute_on_change")) {
                reroute_queued(request);
            }
        } else if (!is_usable(request.team.name, request.version()) && !is_disabled("stop_in_flight")) {
            fire(id, "stopped");
        }
    }
}

void entry_core::reroute_queued(context& request) {
    request.ladder = resolve_ladder(*view_, request.pins);
    if (request.ladder.empty()) {
        request.refusal = error{error_kind::withdrawn, "every version that the team may use is withdrawn",
                                request.may_have_run ? ran_state::unknown : ran_state::no, 0};
        request.ladder = {""};
        request.tier = 0;
        fire(request.id, "refused");
        return;
    }
    request.tier = std::min(request.tier, request.ladder.size() - 1);
    choose_tier(request);
    request.pool = view_->model(request.version())->pool;
    push_to_queue(request, true);
}

// ---- the fleet ----

void entry_core::on(const std::string& /*from*/, const fleet_update& message) {
    entries_ = message.entries;
    stewards_ = message.stewards;
    std::vector<endpoint_record> endpoints = message.endpoints;
    if (is_disabled("leaving_endpoints")) {
        for (endpoint_record& endpoint : endpoints) {
            endpoint.state = "live";
        }
    }
    endpoints_.update(endpoints, now_);
    allowance_.update(endpoints, now_);
    for (const std::string& name : message.leaving) {
        endpoints_.mark_leaving(name, now_);
    }
    sharers_ = message.sharers;
    update_slot_limits();
    update_rate_limit_shares();
}

void entry_core::update_slot_limits() {
    for (const bundle* document : {base_view_->established(), base_view_->rolling()}) {
        for (const pool_entry& pool : document == nullptr ? std::vector<pool_entry>{} : document->pools) {
            const auto sharers = sharers_.find(pool.name);
            endpoints_.set_slots(pool.name, pool.slots, sharers == sharers_.end() ? 1 : sharers->second);
        }
    }
}

void entry_core::on(const std::string& /*from*/, const endpoints_leaving& message) {
    for (const std::string& name : message.names) {
        endpoints_.mark_leaving(name, now_);
    }
}

void entry_core::announce_leaving_endpoint(const std::string& endpoint) {
    for (const auto& [incarnation, link] : links_) {
        port_.send_to_steward(incarnation, endpoints_leaving{{endpoint}});
    }
}

std::vector<entry_choice> entry_core::entries_for(const std::string& session) const {
    constexpr std::size_t max_choices = 6;
    std::vector<entry_choice> choices = choose_entries(session, entries_, max_choices);
    if (choices.empty() && host_state_ == "serving") {
        choices.push_back({settings_.address, settings_.domain});
    }
    return choices;
}

// ---- bills ----

// Each bill goes to two stewards in different failure domains; the others get only what these have not
// acknowledged after \c extra_holder_delay. Sending every record to every steward would double the bytes of
// each request.
void entry_core::send_bills() {
    if (outbox_.size() == 0) {
        return;
    }
    std::set<std::string> domains;
    for (const auto& [incarnation, link] : links_) {
        const bool is_preferred = domains.size() < target_bill_copies && domains.insert(link.domain).second;
        const duration least_age = is_preferred ? duration::zero() : extra_holder_delay;
        std::vector<bill_record> unsent =
            outbox_.take_records_to_send(incarnation, now_, bill_resend_interval, least_age);
        if (!unsent.empty()) {
            port_.send_to_steward(incarnation, bill_batch{std::move(unsent)});
        }
    }
}

void entry_core::on(const std::string& from, const bill_held& message) {
    const std::string domain = links_.at(from).domain;
    for (const bill_key& key : message.keys) {
        outbox_.on_copy_stored(key, from, domain);
        const auto waiting = request_by_bill_.find(key);
        if (waiting != request_by_bill_.end()) {
            check_bill_copies(requests_.at(waiting->second));
        }
    }
}

void entry_core::on(const std::string& /*from*/, const bill_drained& message) {
    for (const bill_key& key : message.keys) {
        outbox_.on_drained(key);
        const auto waiting = request_by_bill_.find(key);
        if (waiting != request_by_bill_.end()) {
            check_bill_copies(requests_.at(waiting->second));
        }
    }
}

// ---- claims and look-ups ----

void entry_core::on(const std::string& /*from*/, const claim_reply& message) {
    const auto found = requests_.find(message.operation);
    if (found == requests_.end() || found->second.state != "claiming") {
        return;
    }
    context& request = found->second;
    if (message.result == "created") {
        request.holds_claim = true;
        fire(message.operation, "claimed");
    } else if (message.result == "taken") {
        request.claim_attempt.clear(); // The claim of another attempt; there is nothing to void.
        request.taken_claim = message.claim;
        fire(message.operation, "claim_taken");
    } else {
        request.refusal =
            error{error_kind::platform_unavailable,
                  "the platform cannot store the claim that keeps this call from running twice; retry later",
                  ran_state::no, default_retry_after_ms};
        fire(message.operation, "claim_failed");
    }
}

void entry_core::on_lookup(caller_handle caller, const std::string& team_key, const std::string& key,
                           time_point now) {
    now_ = now;
    caller_reply reply;
    reply.caller = caller;
    const team_entry* team = view_->team_by_key(team_key_hash(team_key));
    if (team == nullptr) {
        const error refused{error_kind::unauthorized,
                            "no team has this key; ask your operators for the right one"};
        reply.status = http_status(refused.kind);
        reply.body = to_error_body(refused, key);
        port_.reply(reply);
        return;
    }
    const auto open = requests_.find(key);
    const bool is_own_open = open != requests_.end() && open->second.team.name == team->name;
    const auto kept = reply_cache_.find({team->name, key});
    if (is_own_open || request_by_key_.count({team->name, key}) > 0) {
        reply.body = {{"request", key}, {"state", "in_progress"}, {"ran", "unknown"}};
        port_.reply(reply);
    } else if (kept != reply_cache_.end()) {
        reply.body = {
            {"request", key}, {"state", "done"}, {"ran", "yes"}, {"answer", kept->second.reply.body}};
        port_.reply(reply);
    } else if (links_.empty()) {
        reply.body = {{"request", key}, {"state", "unknown"}, {"ran", "unknown"}};
        port_.reply(reply);
    } else {
        const std::string operation = random_.identifier("look-");
        lookups_[operation] = caller;
        port_.send_to_steward(links_.begin()->first, lookup_request{operation, team->name, key});
    }
}

void entry_core::on(const std::string& /*from*/, const lookup_reply& message) {
    const auto found = lookups_.find(message.operation);
    if (found == lookups_.end()) {
        return;
    }
    caller_reply reply;
    reply.caller = found->second;
    lookups_.erase(found);
    const claim_record& claim = message.claim;
    if (message.result == "found" && claim.state == "done") {
        reply.body = {{"request", claim.key}, {"state", "done"}, {"ran", "yes"}, {"answer", claim.answer}};
    } else if (message.result == "found" && claim.state == "voided") {
        reply.body = {{"request", claim.key}, {"state", "voided"}, {"ran", "no"}};
    } else {
        reply.body = {{"request", claim.key}, {"state", "unknown"}, {"ran", "unknown"}};
    }
    port_.reply(reply);
}

// ---- the planned stop ----

void entry_core::begin_stop(time_point now) {
    now_ = now;
    const outcome<std::string> next = host_chart_.next(host_state_, "stop");
    if (value_of(next) == nullptr) {
        return;
    }
    host_state_ = *value_of(next);
    stop_began_ = now;
    log_info("stopping", {{"open_requests", requests_.size()}, {"undrained_bills", outbox_.size()}});
    last_ask_ = {};
    ask_stewards();
}

// Callers cache the list of entries, so a leaving host accepts requests until every cached list has expired;
// then it refuses new ones, finishes the open ones and hands over its bills. No timer ends an open request: a
// planned stop must not cut off an answer.
void entry_core::advance_stop() {
    if (host_state_ == "leaving" && now_ - stop_began_ >= settings_.entry_list_cache_time) {
        host_state_ = *value_of(host_chart_.next(host_state_, "unadvertised"));
        last_ask_ = {};
    }
    if (host_state_ == "draining" && requests_.empty() && are_bills_handed_over()) {
        invariant("planned_stop_cuts_nothing", requests_.empty(), [&] {
            return json{{"open", requests_.size()}};
        });
        host_state_ = *value_of(host_chart_.next(host_state_, "empty"));
        log_info("stopped", {{"undrained_bills", outbox_.size()}});
    }
}

bool entry_core::are_bills_handed_over() const {
    return outbox_.min_copies() >= wanted_copies();
}

std::size_t entry_core::wanted_copies() const {
    std::set<std::string> domains;
    for (const auto& [incarnation, link] : links_) {
        domains.insert(link.domain);
    }
    return std::clamp<std::size_t>(domains.size(), 1, target_bill_copies);
}

// ---- messages that an entry never receives from a steward ----

void entry_core::on(const std::string& /*from*/, const hello_message& /*message*/) {}
void entry_core::on(const std::string& /*from*/, const entry_ask& /*message*/) {}
void entry_core::on(const std::string& /*from*/, const bill_batch& /*message*/) {}
void entry_core::on(const std::string& /*from*/, const claim_request& /*message*/) {}
void entry_core::on(const std::string& /*from*/, const claim_finish& /*message*/) {}
void entry_core::on(const std::string& /*from*/, const lookup_request& /*message*/) {}
void entry_core::on(const std::string& /*from*/, const peer_ask& /*message*/) {}
void entry_core::on(const std::string& /*from*/, const peer_answer& /*message*/) {}

} // namespace laurelhoist
