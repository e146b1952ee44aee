#include "admission/service_pressure.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laurelhoist {

namespace {

/// Weight of the assumption that a value is 0, in samples.
constexpr double prior_weight = 1;
/// A service is pressed when requests take this part of their objective on average: the slower ones of them
/// are late then.
constexpr double pressed_ratio = 0.5;
constexpr double calm_ratio = 0.3;
/// The same for the part of attempts that endpoints reject because they are full.
constexpr double pressed_rejections = 0.25;
constexpr double calm_rejections = 0.05;
/// A service is calm only after it has not been busy for this long.
constexpr duration min_calm_time = seconds(2);
/// From fewer answers in a second, the drain cannot be told from chance.
constexpr double min_drained = 5;
/// Part of the drain that is assumed to be left for a request despite more urgent ones.
constexpr double min_drain_share = 0.05;
constexpr double max_min_drain_share = 0.25;
/// Fewer arrivals of more urgent requests in a second cannot be told from chance.
constexpr double min_overtaking = 20;
/// Part of the estimated time in a queue that counts, as the margin for its error.
constexpr double queue_certainty = 0.8;
constexpr std::size_t max_kinds = 256;

// The part left is the difference of two counts of about this size, which is known no better than to the mean
// error of this difference.
double left_for_any(double drain) {
    return std::clamp(std::sqrt(2 / drain), min_drain_share, max_min_drain_share);
}

} // namespace

void decayed_sum::add(double value, time_point now) {
    sum_ = at(now) + value;
    at_ = now;
}

double decayed_sum::at(time_point now) const {
    return sum_ * std::exp(-to_ms(std::max(now - at_, duration::zero())) / to_ms(time_constant_));
}

void recent_mean::add(double value, time_point now) {
    deviations_.add(std::abs(value - mean(now)), now);
    weight_.add(1, now);
    sum_.add(value, now);
}

double recent_mean::mean(time_point now) const {
    return sum_.at(now) / (weight_.at(now) + prior_weight);
}

double recent_mean::low(time_point now) const {
    return std::max(0.0, mean(now) - deviations_.at(now) / (weight_.at(now) + prior_weight));
}

service_pressure::service_pressure()
    : arrived_{decayed_sum{seconds(1)}, decayed_sum{seconds(1)}, decayed_sum{seconds(1)},
               decayed_sum{seconds(1)}, decayed_sum{seconds(1)}, decayed_sum{seconds(1)},
               decayed_sum{seconds(1)}, decayed_sum{seconds(1)}, decayed_sum{seconds(1)},
               decayed_sum{seconds(1)}} {}

std::size_t service_pressure::index(int urgency) {
    return static_cast<std::size_t>(std::clamp(urgency, 0, int{urgencies} - 1));
}

service_pressure::answer_times* service_pressure::times_of(const std::string& kind) {
    if (times_.size() >= max_kinds && times_.count(kind) == 0) {
        return nullptr;
    }
    return &times_[kind];
}

void service_pressure::on_accepted(int urgency, duration objective, time_point now) {
    if (objective > duration::zero()) {
        accepted_.add(1, now);
        objectives_ms_.add(to_ms(objective), now);
    }
    ++ahead_.at(index(urgency));
    arrived_.at(index(urgency)).add(1, now);
}

void service_pressure::on_left(int urgency, bool is_answered, time_point now) {
    --ahead_.at(index(urgency));
    if (is_answered) {
        drained_.add(1, now);
    }
}

void service_pressure::on_first_event(const std::string& kind, duration took, double predicted_ms,
                                      duration objective, time_point now) {
    if (objective > duration::zero()) {
        ratio_.add(to_ms(took) / to_ms(objective), now);
    }
    if (answer_times* times = times_of(kind)) {
        times->beyond_prediction_ms.add(std::max(0.0, to_ms(took) - predicted_ms), now);
    }
}

void service_pressure::on_answered(const std::string& kind, duration after_first_event, time_point now) {
    if (answer_times* times = times_of(kind)) {
        times->after_first_event_ms.add(to_ms(after_first_event), now);
    }
}

bool service_pressure::update(time_point now) {
    const double rejected = rejected_.at(now);
    const double rejections = rejected / (rejected + drained_.at(now) + min_drained);
    const bool was_pressed = is_pressed_;
    if (ratio(now) > calm_ratio || rejections > calm_rejections) {
        last_busy_at_ = now;
    }
    if (ratio(now) >= pressed_ratio || rejections >= pressed_rejections) {
        is_pressed_ = true;
    } else if (now - last_busy_at_ >= min_calm_time) {
        is_pressed_ = false;
    }
    return is_pressed_ != was_pressed;
}

double service_pressure::ratio(time_point now) const {
    const double measured = ratio_.mean(now);
    const double drain = drained_.at(now);
    const double accepted = accepted_.at(now);
    if (drain < min_drained || accepted < min_drained) {
        return measured;
    }
    constexpr double ms_per_s = 1000;
    const double objective_ms = objectives_ms_.at(now) / accepted;
    return std::max(measured, ms_per_s * ahead() / drain / objective_ms);
}

int service_pressure::ahead() const {
    return std::accumulate(ahead_.begin(), ahead_.end(), 0);
}

std::optional<duration> service_pressure::drain_time(time_point now) const {
    const double drain = drained_.at(now);
    if (drain < 1) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>((ahead() + 1) / drain));
}

// The work ahead is that of the same or a higher urgency; more urgent requests that arrive later go first,
// too.
double service_pressure::queue_ms(int urgency, time_point now) const {
    const double drain = drained_.at(now);
    if (drain < min_drained) {
        return 0;
    }
    double ahead = 0;
    double overtaking = 0;
    for (std::size_t i = 0; i <= index(urgency); ++i) {
        ahead += ahead_.at(i);
        overtaking += i < index(urgency) ? arrived_.at(i).at(now) : 0;
    }
    if (overtaking < min_overtaking) {
        overtaking = 0;
    }
    constexpr double ms_per_s = 1000;
    return queue_certainty * ms_per_s * ahead / std::max(drain - overtaking, drain * left_for_any(drain));
}

double service_pressure::answered_within_ms(const std::string& kind, int urgency, double predicted_ms,
                                            time_point now) const {
    const auto found = times_.find(kind);
    double first_ms = predicted_ms;
    double rest_ms = 0;
    if (found != times_.end()) {
        first_ms += found->second.beyond_prediction_ms.low(now);
        rest_ms = found->second.after_first_event_ms.low(now);
    }
    return std::max(first_ms, queue_ms(urgency, now)) + rest_ms;
}

} // namespace laurelhoist
