#include "relay/model_load.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr duration observation_interval = milliseconds(250);
constexpr duration smoothing_time = seconds(1);
/// Smoothed share of saturated engines from which on each level is taken. The most urgent routes keep larger
/// models until hardly any engine has room.
constexpr double raising_shares[model_load::highest_level] = {0.5, 0.6, 0.8};
constexpr double lowering_share = 0.25;
constexpr duration min_time_to_raise = seconds(1); ///< a level shows its effect only after a while
constexpr duration min_hold = seconds(2);
constexpr duration max_hold = seconds(16);
/// A level that is taken again this soon after it was left was left too early.
constexpr duration too_early = seconds(8);
/// Part of its budget within which the most urgent route asks a larger model at the highest level.
constexpr double urgent_share = 0.5;

} // namespace

bool model_load::is_due(time_point now) const {
    return now - observed_at_ >= observation_interval;
}

bool model_load::observe(double saturated_share, time_point now) {
    const double kept = std::exp(-to_ms(now - observed_at_) / to_ms(smoothing_time));
    share_ = share_ * kept + saturated_share * (1 - kept);
    observed_at_ = now;
    if (level_ < highest_level && share_ >= raising_shares[level_]) {
        return raise(now);
    }
    return level_ > 0 && share_ <= lowering_share && lower(now);
}

bool model_load::raise(time_point now) {
    if (now - changed_at_ < min_time_to_raise) {
        return false;
    }
    hold_ = now - lowered_at_ < too_early ? std::min(hold_ * 2, max_hold) : min_hold;
    changed_at_ = now;
    ++level_;
    return true;
}

bool model_load::lower(time_point now) {
    if (now - changed_at_ < hold_) {
        return false;
    }
    changed_at_ = now;
    lowered_at_ = now;
    --level_;
    return true;
}

bool model_load::may_step_up(int priority) const {
    return std::clamp(priority, 0, highest_level - 1) < highest_level - level_;
}

double model_load::step_up_share(int priority) const {
    if (may_step_up(priority)) {
        return 1.0;
    }
    return priority <= 0 ? urgent_share : 0.0;
}

} // namespace laurelhoist
