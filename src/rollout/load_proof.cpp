#include "rollout/load_proof.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr double busiest_to_mean = 1.6; ///< load of the busiest endpoint, as a multiple of the mean
/// The new endpoints have taken over the load once the established ones have at most this part of it.
constexpr double max_left_behind = 0.1;
/// For how long they have to have it: answers fail within 0.1 s, and counts are up to 0.5 s old.
constexpr duration take_over_time = milliseconds(1000);

} // namespace

double load_proof::expected(const rollout_load& load) {
    return busiest_to_mean * (load.on_established + load.on_new) / std::max(1, load.new_endpoints);
}

void load_proof::on_trial_peak(const rollout_load& load) {
    const double each = load.on_new / std::max(1, load.trial_endpoints);
    carried_ = std::max(carried_, std::min(last_, each));
    last_ = each;
}

void load_proof::on_cut_over(const rollout_load& load, time_point now) {
    const bool has_taken_over = load.on_established <= 1 + max_left_behind * load.on_new;
    if (!has_taken_over) {
        taken_over_since_.reset();
    } else if (!taken_over_since_) {
        taken_over_since_ = now;
    }
}

bool load_proof::is_sufficient(const rollout_load& load, time_point now) const {
    const bool has_taken_over = taken_over_since_ && now - *taken_over_since_ >= take_over_time;
    return has_taken_over || carried_ >= expected(load);
}

} // namespace laurelhoist
