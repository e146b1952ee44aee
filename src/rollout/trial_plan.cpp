#include "rollout/trial_plan.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// Load of the endpoint that has the peak, as a multiple of the mean load of an established one: a burst
/// doubles the load, and the load of single endpoints varies.
constexpr double peak_load_factor = 2.5;
constexpr double base_load_factor = 0.75; ///< load of an endpoint during the rest of the trial
/// Fractions of the exposure bound for the two parts of the trial; the rest is for the time after the
/// cutover.
constexpr double base_exposure_fraction = 0.22;
constexpr double peak_exposure_fraction = 0.14;
constexpr double max_peak_fraction_of_time = 1.0 / 6;

} // namespace

double peak_trial_share(int endpoints) {
    return std::min(max_trial_share, peak_load_factor / std::max(1, endpoints));
}

trial_plan plan_trial(double peak_share, double exposure_share, duration time_limit, double evidence_share) {
    trial_plan plan;
    plan.peak_share = peak_share;
    plan.overload_share = peak_share;
    plan.base_share =
        std::min(peak_share / peak_load_factor * base_load_factor, base_exposure_fraction * exposure_share);
    const double rise = plan.peak_share - plan.base_share;
    const double fraction =
        std::min(max_peak_fraction_of_time, peak_exposure_fraction * exposure_share / rise);
    plan.peak_time = std::chrono::duration_cast<duration>(time_limit * fraction);
    plan.max_peak_time = std::chrono::duration_cast<duration>(time_limit * max_peak_fraction_of_time);
    plan.base_share = std::max(plan.base_share, evidence_share);
    plan.peak_share = std::max(plan.peak_share, evidence_share);
    return plan;
}

} // namespace laurelhoist
