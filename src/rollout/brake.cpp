#include "rollout/brake.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr std::int64_t enough_for_baseline = 50;
constexpr double largest_good_share = 0.9;
constexpr double largest_bad_share = 0.98;

double observed_bad_share(const version_counts& counts) {
    const std::int64_t seen = counts.rated + counts.failed;
    if (seen < enough_for_baseline) {
        return 0.0;
    }
    return static_cast<double>(counts.below + counts.failed) / static_cast<double>(seen);
}

} // namespace

brake_limits limits_for(double stated_quality, const version_counts& established, const rollout_plan& plan) {
    const double baseline = std::max(1.0 - stated_quality, observed_bad_share(established));
    const double good = std::min(largest_good_share, baseline + plan.tolerated_drop);
    const double bad = std::min(largest_bad_share, std::max(baseline + plan.braked_drop, good + 0.02));
    return {good, bad};
}

brake_verdict judge(const version_counts& counts, const brake_limits& limits) {
    const auto bad = static_cast<double>(counts.below + counts.failed);
    const auto good = static_cast<double>(counts.rated - counts.below);
    const double evidence = bad * std::log(limits.bad_bad_share / limits.good_bad_share) +
                            good * std::log((1 - limits.bad_bad_share) / (1 - limits.good_bad_share));
    if (evidence >= std::log(1.0 / false_brake_chance)) {
        return brake_verdict::braked;
    }
    return evidence <= std::log(missed_brake_chance) ? brake_verdict::passed : brake_verdict::undecided;
}

} // namespace laurelhoist
