// The part of an exchange that decides under load: whether a request may be placed, how urgent it is, and
// when a refused caller may return.
#include "relay/exchange.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration retry_after_full = milliseconds(700);
/// An estimate of at least this part of the time left is refined by a prediction.
constexpr double near_time_left = 0.5;

std::int64_t rounded_ms(duration span) {
    return static_cast<std::int64_t>(to_ms(span));
}

} // namespace

bool exchange::observes_load() const {
    return state_.settings.in_use.refuses_hopeless || state_.settings.in_use.protects_shares;
}

std::string exchange::load_kind() const {
    return route_->name + "/" + std::to_string(urgency());
}

void exchange::observe_arrival(time_point now) {
    service_pressure& pressure = state_.admission.service(service_);
    if (pressure.update(now)) {
        const char* state = pressure.is_pressed() ? "pressed" : "calm";
        state_.measured.count(std::string("services_") + state);
        log_info("service_pressure", {{"service", service_},
                                      {"state", state},
                                      {"ratio", pressure.ratio(now)},
                                      {"waiting", pressure.ahead()}});
    }
    if (!state_.settings.in_use.protects_shares) {
        return;
    }
    team_usage& teams = state_.admission.teams;
    const std::string team = team_name();
    if (!pressure.is_pressed()) {
        return;
    }
    demotion_ = teams.demotion(team, priority(), terms_.id, now);
    if (demotion_ > 0) {
        state_.measured.count("requests_demoted");
    }
    const double share = teams.demoted_share(team, now);
    if (share > 0 && state_.admission.may_log(team, now)) {
        const auto [present, usual] = teams.rates(team, now);
        log_info("team_over_share",
                 {{"team", team}, {"present", present}, {"usual", usual}, {"demoted_share", share}});
    }
}

admission_inputs exchange::make_admission_inputs(time_point now) const {
    const service_pressure& pressure = state_.admission.service(service_);
    admission_inputs inputs;
    inputs.request = terms_.id;
    inputs.is_pressed = pressure.is_pressed();
    inputs.time_left = time_left(now);
    inputs.priority = priority();
    inputs.drain_time = pressure.drain_time(now);
    if (!inputs.drain_time) {
        inputs.drain_time = state_.endpoints.allowance().time_until_available(service_, now);
    }
    return inputs;
}

// The prediction takes a choice among all endpoints, so it is made only where it may decide.
double exchange::answered_within_ms(double time_left_ms, time_point now) {
    const service_pressure& pressure = state_.admission.service(service_);
    const double unpredicted_ms = pressure.answered_within_ms(load_kind(), urgency(), 0, now);
    const bool is_near = unpredicted_ms <= time_left_ms && unpredicted_ms >= time_left_ms * near_time_left;
    if (!is_near || route_->models.empty()) {
        return unpredicted_ms;
    }
    const model_placements best = placements_from(0, 1, make_placement_criteria(), now);
    if (best.options.empty()) {
        return unpredicted_ms;
    }
    return pressure.answered_within_ms(load_kind(), urgency(), best.options.front().predicted_ms, now);
}

bool exchange::admit_load() {
    if (!observes_load()) {
        return true;
    }
    const time_point now = monotonic_now();
    observe_arrival(now);
    service_pressure& pressure = state_.admission.service(service_);
    // The caller of a stream that has begun would lose what it has received.
    const bool may_refuse = !caller_->is_from_peer() && terms_.last_event_id == 0;
    if (state_.settings.in_use.refuses_hopeless && pressure.is_pressed() && may_refuse) {
        admission_inputs inputs = make_admission_inputs(now);
        inputs.answered_ms = answered_within_ms(to_ms(inputs.time_left), now);
        const admission_decision decision = decide(inputs);
        if (const auto* refusal = std::get_if<rejected>(&decision)) {
            refuse_for_load(*refusal, inputs);
            return false;
        }
    }
    // Refused requests do not count: their repeats would make the usage of the team seem larger.
    if (state_.settings.in_use.protects_shares && !caller_->is_from_peer()) {
        state_.admission.teams.on_request(team_name(), priority(), now); // The other host has counted it.
    }
    pressure.on_accepted(urgency(), route_->latency_objective, now);
    is_ahead_ = true;
    return true;
}

void exchange::refuse_for_load(const rejected& refusal, const admission_inputs& inputs) {
    state_.measured.count("requests_refused_for_load");
    log_info("request_refused_for_load", {{"request", terms_.id},
                                          {"service", service_},
                                          {"route", route_->name},
                                          {"team", team_name()},
                                          {"predicted_ms", static_cast<std::int64_t>(inputs.answered_ms)},
                                          {"time_left_ms", rounded_ms(inputs.time_left)},
                                          {"retry_after_ms", rounded_ms(refusal.retry_after)},
                                          {"reason", refusal.reason}});
    answer_failure(status_unavailable, refusal.reason,
                   "retry later: the service is too busy to answer within the time limit",
                   refusal.retry_after);
}

void exchange::observe_first_event(time_point now) {
    if (!is_ahead_) {
        return;
    }
    is_ahead_ = false;
    service_pressure& pressure = state_.admission.service(service_);
    pressure.on_left(urgency(), true, now);
    const double predicted_ms = attempt_.model.empty() ? 0 : attempt_.chosen.predicted_ms;
    pressure.on_first_event(load_kind(), now - arrived_at_, predicted_ms, route_->latency_objective, now);
}

void exchange::observe_end(time_point now, bool is_served, bool is_out_of_time) {
    if (route_ == nullptr || !observes_load()) {
        return;
    }
    service_pressure& pressure = state_.admission.service(service_);
    if (is_ahead_ && is_served) {
        observe_first_event(now); // A whole answer that another host has forwarded at once.
    } else if (is_ahead_) {
        is_ahead_ = false;
        pressure.on_left(urgency(), false, now);
        if (is_out_of_time) {
            const double predicted_ms = attempt_.model.empty() ? 0 : attempt_.chosen.predicted_ms;
            pressure.on_first_event(load_kind(), now - arrived_at_, predicted_ms, route_->latency_objective,
                                    now);
        }
    } else if (is_served && first_event_ms_ >= 0) {
        pressure.on_answered(load_kind(), now - arrived_at_ - milliseconds(first_event_ms_), now);
    }
}

int exchange::priority() const {
    return team_ != nullptr && team_->priority ? *team_->priority : route_->priority;
}

int exchange::urgency() const {
    constexpr int base_urgency = 3;
    constexpr int least_urgent = 9;
    return std::clamp(base_urgency + priority() + demotion_, 0, least_urgent);
}

duration exchange::time_to_room(time_point now) const {
    const service_pressure& pressure = state_.admission.service(service_);
    const bool is_measured = pressure.is_pressed() || pressure.drain_time(now).has_value();
    return state_.settings.in_use.refuses_hopeless && is_measured ? time_to_return(make_admission_inputs(now))
                                                                  : retry_after_full;
}

} // namespace laurelhoist
