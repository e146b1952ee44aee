#include "rollout/brake.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// With fewer rated or failed answers, the established version does not raise the baseline.
constexpr std::int64_t min_answers_for_baseline = 50;
constexpr double max_acceptable_bad_share = 0.9;
constexpr double max_unacceptable_bad_share = 0.98;

double observed_bad_share(const version_counts& counts) {
    const std::int64_t seen = counts.rated + counts.failed;
    if (seen < min_answers_for_baseline) {
        return 0.0;
    }
    return static_cast<double>(counts.below + counts.failed) / static_cast<double>(seen);
}

} // namespace

brake_hypotheses hypotheses_for(double stated_quality, const version_counts& established,
                                const rollout_plan& plan) {
    const double baseline = std::max(1.0 - stated_quality, observed_bad_share(established));
    const double good = std::min(max_acceptable_bad_share, baseline + plan.tolerated_drop);
    const double bad =
        std::min(max_unacceptable_bad_share, std::max(baseline + plan.braked_drop, good + 0.02));
    return {good, bad};
}

brake_verdict evaluate(const version_counts& counts, const brake_hypotheses& hypotheses) {
    const auto bad = static_cast<double>(counts.below + counts.failed);
    const auto good = static_cast<double>(counts.rated - counts.below);
    const double evidence =
        bad * std::log(hypotheses.unacceptable_bad_share / hypotheses.acceptable_bad_share) +
        good * std::log((1 - hypotheses.unacceptable_bad_share) / (1 - hypotheses.acceptable_bad_share));
    if (evidence >= std::log(1.0 / false_brake_chance)) {
        return brake_verdict::braked;
    }
    return evidence <= std::log(missed_brake_chance) ? brake_verdict::passed : brake_verdict::undecided;
}

} // namespace laurelhoist
