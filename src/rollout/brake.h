/** \file
 * Defines the brake, which stops the roll-out of a bad version: a sequential test that tells a bad version
 * from a good one with as few answers as the error probabilities allow.
 *
 * The test is Wald's sequential probability ratio test. A bad answer or a failure adds log(p1/p0) to the
 * evidence, a good answer adds log((1-p1)/(1-p0)), which is negative. At log(1/false_brake_chance) the
 * version is braked, at log(missed_brake_chance) it has passed. Example: with a baseline of 0.10, p0 = 0.13
 * and p1 = 0.50, a bad answer adds 1.35, a good one subtracts 0.55, and a version with half of its answers
 * bad is braked after 19 answers on average.
 */
#pragma once

#include "rollout/evidence.h"

namespace laurelhoist {

enum class brake_verdict { undecided, passed, braked };

constexpr double false_brake_chance = 0.0005; ///< probability that a good version is braked
constexpr double missed_brake_chance = 0.01;  ///< probability that a bad version passes

/** The two hypotheses of the test, as shares of bad answers. */
struct brake_hypotheses {
    double acceptable_bad_share = 0.13;  ///< p0, the share of a good version
    double unacceptable_bad_share = 0.5; ///< p1, the share of a bad version
};

/** \param stated_quality the quality that the operators signed off for the new version
 * \param established the counts of the established version of the same model, which shift the baseline
 *        when the rater becomes stricter for all versions, so that a drifting rater brakes no good version */
brake_hypotheses hypotheses_for(double stated_quality, const version_counts& established,
                                const rollout_plan& plan);

/** \return the verdict on a version with \p counts. */
brake_verdict evaluate(const version_counts& counts, const brake_hypotheses& hypotheses);

} // namespace laurelhoist
