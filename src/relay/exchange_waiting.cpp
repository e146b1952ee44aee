// The part of an exchange that waits for an endpoint with room.
#include "relay/exchange.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// Requests whose answer has begun are ahead of all priorities: a pause in an answer is worse than a late
/// beginning, and an answer that is cut off is lost.
constexpr int priority_of_begun_answers = -1;
/// A request that may wait longer is judged again after half of its expected wait, within these bounds.
constexpr duration min_judged_after = milliseconds(100);
constexpr duration max_judged_after = milliseconds(1000);
/// A stream takes up to this part of its time limit from its first event on.
constexpr int time_limits_of_stream = 2;
/// Callers abandon a stream after a pause of the longest of these.
constexpr duration min_abandoned_gap = seconds(2);
constexpr int latency_objectives_to_abandon = 4;
constexpr int gap_objectives_to_abandon = 8;

} // namespace

duration exchange::max_queue_time() const {
    constexpr int share_of_objective = 2;
    if (has_begun_answer_ && state_.settings.in_use.orders_waiting) {
        return std::max({min_abandoned_gap, route_->latency_objective * latency_objectives_to_abandon,
                         route_->gap_objective * gap_objectives_to_abandon});
    }
    return route_->latency_objective / share_of_objective;
}

duration exchange::time_to_answer() const {
    return route_->kind == route_kind::stream
               ? std::max(route_->latency_objective, route_->timeout / time_limits_of_stream)
               : route_->latency_objective;
}

bool exchange::is_behind_others() const {
    if (!state_.settings.in_use.orders_waiting || is_being_served_ || has_begun_answer_) {
        return false;
    }
    const auto room = state_.waiting.find(service_);
    return room != state_.waiting.end() && room->second.size() > 0;
}

void exchange::wait_for_room(time_point now) {
    if (!state_.settings.in_use.orders_waiting || !waiting_id_.empty()) {
        return;
    }
    waiting_id_ = std::to_string(++owner_.last_waiting_id_);
    owner_.waiting_[waiting_id_] = weak_from_this();
    const int urgency = has_begun_answer_ ? priority_of_begun_answers : priority();
    const waiting_request waiting{waiting_id_, team_name(), urgency, arrived_at_ + route_->latency_objective,
                                  expires_at_};
    waiting_room& room = state_.waiting[service_];
    if (is_first_attempt_ && forwards_ == 0) {
        room.push(waiting, now);
    } else {
        room.push_front(waiting, now);
    }
    ahead_at_entry_ = room.ahead_of(waiting_id_, state_.team_weight);
    is_passed_over_ = false;
    judged_at_ = waiting_since_ + max_queue_time();
    state_.measured.count("requests_waited");
    if (stop_if_hopeless(now)) {
        return;
    }
    // Another one may be next, or the endpoints with room may suit only this one.
    owner_.wake_waiting(service_);
}

const char* exchange::name_of(wait_end end) {
    switch (end) {
    case wait_end::placed:
        return "placed";
    case wait_end::refused:
        return "refused";
    case wait_end::left:
        break;
    }
    return "left";
}

void exchange::log_wait(wait_end end, duration waited, std::size_t still_waiting) const {
    log_info("request_waited", {{"request", terms_.id},
                                {"service", service_},
                                {"team", team_name()},
                                {"priority", priority()},
                                {"waited_ms", static_cast<std::int64_t>(to_ms(waited))},
                                {"ahead", ahead_at_entry_},
                                {"still_waiting", still_waiting},
                                {"outcome", name_of(end)}});
}

void exchange::end_wait(wait_end end) {
    if (!is_in_state("waiting") || service_.empty()) {
        return;
    }
    const time_point now = monotonic_now();
    const duration waited = now - std::max(waiting_since_, started_at_);
    waited_ += waited;
    if (waiting_id_.empty()) {
        return;
    }
    waiting_room& room = state_.waiting.at(service_);
    if (end == wait_end::placed) {
        room.take(waiting_id_, now, state_.team_weight);
    } else {
        room.remove(waiting_id_);
    }
    owner_.waiting_.erase(waiting_id_);
    waiting_id_.clear();
    log_wait(end, waited, room.size());
    if (end == wait_end::refused) {
        state_.measured.count("requests_refused_waiting");
    }
}

bool exchange::leave_room_if_served() {
    auto self = shared_from_this();
    const std::string id = waiting_id_;
    is_being_served_ = true;
    dispatch();
    is_being_served_ = false;
    return waiting_id_ != id;
}

// A request whose objective has passed still waits while it can be answered within its time limit: its caller
// would otherwise have to come back, behind everybody else. It takes no endpoint from those in time, because
// they are placed before it.
bool exchange::may_wait_on(time_point now) {
    if (!state_.settings.in_use.orders_waiting || waiting_id_.empty()) {
        return false;
    }
    // The rate at which others are taken tells nothing about a request that does not suit their endpoints.
    if (has_begun_answer_ || is_passed_over_) {
        return false;
    }
    const waiting_room& room = state_.waiting.at(service_);
    if (!room.can_be_answered(waiting_id_, time_to_answer(), now, state_.team_weight)) {
        return false;
    }
    const duration wait = room.expected_wait(waiting_id_, now, state_.team_weight).value_or(max_judged_after);
    judged_at_ = now + std::clamp<duration>(wait / 2, min_judged_after, max_judged_after);
    return true;
}

// on_tick calls check_waiting every 50 ms.
void exchange::check_waiting(time_point now) {
    if (stop_if_hopeless(now)) {
        return;
    }
    const bool is_ordered = !waiting_id_.empty();
    const bool has_waited_enough = is_ordered ? now > judged_at_ : now - waiting_since_ > max_queue_time();
    if (now >= expires_at_ || (has_waited_enough && !may_wait_on(now))) {
        answer_failure(may_have_run_ ? status_gateway_timeout : status_unavailable, "no_room",
                       "retry later: every endpoint of the service is full", time_to_room(now));
    } else if (!is_ordered) {
        dispatch();
    }
}

} // namespace laurelhoist
