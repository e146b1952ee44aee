/** \file
 * Defines the brake: a sequential test that tells a bad version from a good one with as few answers as
 * the chosen error chances allow.
 *
 * The test is Wald's sequential probability ratio test. Each rated answer or failure adds
 * log(p1/p0) when bad and log((1-p1)/(1-p0)) when good; above log(1/false_brake) the version is braked,
 * below log(missed) it has passed. Example: baseline 0.10, p0 = 0.13, p1 = 0.50: a bad answer adds 1.35,
 * a good one takes 0.55 away, and a version with half its answers bad is braked after 19 on average.
 */
#pragma once

#include "rollout/evidence.h"

namespace laurelhoist {

enum class brake_verdict { undecided, passed, braked };

constexpr double false_brake_chance = 0.0005;
constexpr double missed_brake_chance = 0.01;

/** The two hypotheses that the test tells apart. */
struct brake_hypotheses {
    double acceptable_bad_share = 0.13;
    double unacceptable_bad_share = 0.5;
};

/** \param stated_quality the quality that the operators signed off for the new version
 * \param established the counts of the established version of the same model, which shift the baseline
 *        when the rater turns harsh for everybody, so that a drifting rater does not brake good versions */
brake_hypotheses hypotheses_for(double stated_quality, const version_counts& established, const rollout_plan& plan);

/** \return the verdict on a version with \p counts. */
brake_verdict evaluate(const version_counts& counts, const brake_hypotheses& hypotheses);

} // namespace laurelhoist
