// The part of an exchange that reports the load and bounds the memory for request bodies and the work of
// answers.
#include "relay/exchange.h"

#include <utility>

namespace laurelhoist {

namespace {

constexpr duration retry_after_no_memory = milliseconds(500);

} // namespace

load_key exchange::key_of_load() const {
    return {service_, route_ == nullptr ? std::string{} : route_->name, team_name()};
}

// Guards against long answers that take the processor time of all other requests.
void exchange::bound_answer_work() {
    if (!connection_ || attempt_.unspent_work == 0 ||
        state_.answer_work.spend(attempt_.work, std::exchange(attempt_.unspent_work, 0))) {
        return;
    }
    connection_->defer_reading();
    state_.measured.count("answer_deferrals");
    if (!std::exchange(attempt_.has_deferred, true)) {
        owner_.report_deferred(terms_.id, attempt_.chosen.endpoint.name, attempt_.work.total);
    }
}

void exchange::resume_deferred(time_point now) {
    if (!connection_ || !connection_->is_reading_deferred()) {
        return;
    }
    attempt_.heard_at = now; // The endpoint was not silent meanwhile.
    connection_->resume_deferred_reading();
}

std::optional<waiting_time> exchange::waiting(time_point now) const {
    if (!is_in_state("waiting")) {
        return std::nullopt;
    }
    return waiting_time{key_of_load(), now - (has_started_ ? waiting_since_ : arrived_at_)};
}

bool exchange::is_late(duration took) const {
    const duration first = first_event_ms_ >= 0 ? milliseconds(first_event_ms_) : took;
    // A caller that reads slowly makes pauses, too.
    const bool has_long_gap = !attempt_.has_waited() && route_->gap_objective > duration::zero() &&
                              milliseconds(longest_gap_ms_) > route_->gap_objective;
    return first > route_->latency_objective || has_long_gap;
}

void exchange::record_load(const std::string& outcome, int status, duration took) {
    ended_request ended;
    ended.key = key_of_load();
    ended.outcome = outcome;
    ended.status = status;
    const bool is_served = outcome == "served";
    ended.is_late = is_served && is_late(took);
    if (first_event_ms_ >= 0) {
        ended.first_event = milliseconds(first_event_ms_);
    } else if (is_served) {
        ended.first_event = took;
    }
    state_.load.on_ended(ended, arrived_at_ + took);
}

// Guards against a host that runs out of memory because endpoints read slowly, or many requests wait.
bool exchange::admit_body() {
    if (!request_.is_body_dropped && has_room_for_head(request_.holding(), state_.requests_held())) {
        return true;
    }
    log_info("request_refused_for_memory", {{"request", terms_.id},
                                            {"bytes", held_request_.bytes()},
                                            {"held_bytes", state_.held_for_requests()},
                                            {"limit_bytes", state_.settings.request_buffer_bytes}});
    answer_failure(status_unavailable, "no_memory", "retry later: this host holds too many long requests",
                   retry_after_no_memory);
    return false;
}

// Guards against long answers that wait for slow callers in all of the host's memory, or at all endpoints.
bool exchange::admit_answer() {
    const auto found = state_.long_answers.find(route_->name);
    if (found == state_.long_answers.end() ||
        has_room_for_expected(found->second, state_.held_for_answers(0), state_.passed_on)) {
        return true;
    }
    state_.measured.count("requests_refused_for_answers");
    log_info("request_refused_for_memory", {{"request", terms_.id},
                                            {"expected_bytes", found->second},
                                            {"held_bytes", state_.answer_bytes.held()},
                                            {"caller_bytes", state_.caller_bytes.held()},
                                            {"limit_bytes", state_.settings.answer_buffer_bytes}});
    answer_failure(status_unavailable, "no_memory", "retry later: this host holds too many long answers",
                   retry_after_no_memory);
    return false;
}

} // namespace laurelhoist
