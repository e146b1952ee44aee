// The part of an exchange that decides during a planned stop whether the request can still be answered.
#include "relay/exchange.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration retry_after_stopping = milliseconds(100);
/// If the oldest request has waited for less, requests have just begun to wait, and the rate at which others
/// were taken before tells nothing about them.
constexpr duration min_wait_for_rate = milliseconds(500);

} // namespace

duration exchange::expected_wait(time_point now) const {
    if (waiting_id_.empty() || is_being_served_) {
        return duration::zero();
    }
    const waiting_room& room = state_.waiting.at(service_);
    if (is_passed_over_ || room.oldest_wait(now) < min_wait_for_rate) {
        return duration::zero();
    }
    return room.expected_wait(waiting_id_, now, state_.team_weight).value_or(duration::zero());
}

duration exchange::expected_answer_time(time_point now) const {
    const auto times = state_.route_answer_times.find(route_->name);
    const std::optional<duration> high =
        times == state_.route_answer_times.end() ? std::nullopt : times->second.high(now);
    const duration whole = high.value_or(usual_answer_time(*route_));
    if (!has_begun_answer_) {
        return whole;
    }
    const duration streamed = last_event_at_ - arrived_at_ - milliseconds(first_event_ms_);
    return std::max(duration::zero(), whole - streamed);
}

stop_prospect exchange::make_stop_prospect(duration wait, time_point now) const {
    stop_prospect prospect;
    prospect.kind = route_->kind;
    prospect.until_stop = state_.time_until_stop(now);
    prospect.until_expiry = time_left(now);
    prospect.wait = wait;
    prospect.answer_time = expected_answer_time(now);
    return prospect;
}

bool exchange::would_outlast_stop(time_point now) const {
    return state_.is_stopping && !can_finish_before_stop(make_stop_prospect(duration::zero(), now));
}

// A caller that has just arrived finds another host at once. Here it would take an endpoint from those that
// have waited and would have to begin anew elsewhere.
bool exchange::admit_to_stopping_host() {
    if (!state_.is_stopping) {
        return true;
    }
    const time_point now = monotonic_now();
    stop_prospect prospect = make_stop_prospect(duration::zero(), now);
    prospect.is_arriving = true;
    if (!is_behind_others() && can_finish_before_stop(prospect)) {
        return true;
    }
    refuse_for_stop(prospect);
    return false;
}

bool exchange::stop_if_hopeless(time_point now) {
    if (!state_.is_stopping || !has_started_ || !is_in_state("waiting")) {
        return false;
    }
    const stop_prospect prospect = make_stop_prospect(expected_wait(now), now);
    if (can_finish_before_stop(prospect)) {
        return false;
    }
    auto self = shared_from_this();
    refuse_for_stop(prospect);
    return true;
}

void exchange::refuse_for_stop(const stop_prospect& prospect) {
    state_.measured.count("requests_refused_by_stop");
    log_info("request_refused_by_stop",
             {{"request", terms_.id},
              {"service", service_},
              {"is_arriving", prospect.is_arriving},
              {"waits", !waiting_id_.empty()},
              {"took_ms", static_cast<std::int64_t>(to_ms(monotonic_now() - arrived_at_))},
              {"attempts", attempts_},
              {"may_have_run", may_have_run_},
              {"until_stop_ms", static_cast<std::int64_t>(to_ms(prospect.until_stop))},
              {"wait_ms", static_cast<std::int64_t>(to_ms(prospect.wait))},
              {"answer_ms", static_cast<std::int64_t>(to_ms(prospect.answer_time))}});
    if (may_have_run_) {
        answer_failure(status_bad_gateway, "stopping",
                       "the request may have run: check for its result before you send it again", {});
    } else {
        answer_failure(status_unavailable, "stopping", "connect to another entry: this one is stopping",
                       retry_after_stopping);
    }
}

void exchange::record_answer_time(time_point now) {
    const bool is_whole_run = attempt_.events_before_attempt == 0;
    if (!attempt_.is_forwarded() && !attempt_.has_waited() && is_whole_run) {
        state_.route_answer_times[route_->name].observe(now - attempt_.sent_at, now);
    }
}

// A connection that closes without an answer says neither whether the request ran nor that it did not.
void exchange::end_with_process() {
    auto self = shared_from_this();
    log_cut_by_stop();
    if (has_begun_answer_ || is_caller_gone_ || route_ == nullptr) {
        return;
    }
    if (connection_) {
        may_have_run_ = may_have_run_ || is_in_state("asked");
        settle_attempt(call_result::cancelled, release_evidence::none);
        release_connection(false);
    }
    refuse_for_stop(make_stop_prospect(duration::zero(), monotonic_now()));
}

void exchange::log_cut_by_stop() const {
    const time_point now = monotonic_now();
    const time_point heard_at = std::max(attempt_.heard_at, arrived_at_);
    const bool is_sent = is_in_state("asked") || is_in_state("answering");
    log_warning("request_cut_by_stop", {{"request", terms_.id},
                                        {"state", exchange_state_},
                                        {"sent_ms_ago", is_sent ? to_ms(now - attempt_.sent_at) : -1.0},
                                        {"peer", attempt_.peer},
                                        {"is_from_peer", caller_->is_from_peer()},
                                        {"endpoint", attempt_.chosen.endpoint.name},
                                        {"attempts", attempts_},
                                        {"events_to", events_.last_id()},
                                        {"is_waiting_for_caller", is_waiting_for_caller()},
                                        {"unsent_bytes", caller_->unsent_bytes()},
                                        {"took_ms", to_ms(now - arrived_at_)},
                                        {"heard_ms_ago", to_ms(now - heard_at)}});
}

} // namespace laurelhoist
