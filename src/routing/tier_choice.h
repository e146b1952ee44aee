/** \file
 * Defines the choice of the tier (the step of a team's ladder of versions) at which a request starts.
 */
#pragma once

#include "base/base.h"

#include <vector>

namespace laurelhoist {

/** Estimates for one step of the ladder, for one request. */
struct tier_option {
    double cost = 0;   ///< cost of one answer
    double chance = 0; ///< probability that an answer meets the score if the request starts here
    double chance_after_step_up = 0; ///< probability that it does after a cheaper step has failed the request
    double latency_ms = 0;           ///< time of one answer
};

/** A team's requirements. */
struct tier_requirements {
    double target_share = 0.95; ///< probability of meeting the score that the choice has to reach
    double latency_budget_ms = 30000;
    bool may_step_up = true; ///< false for streams: what has been sent cannot be taken back
};

/** Finds the step with the lowest expected cost that meets the target within the latency budget.
 *
 * The expected cost of starting at a step is its own cost plus the cost of the later steps, each weighted
 * with the probability that it is reached. Example: with costs 1 and 20 and chances 0.8 and 0.98, starting at
 * the cheap step costs 1 + 0.2 * 20 = 5, starting at the costly one 20. Without a step up only the step's own
 * chance and cost count. The last step is always a candidate, whatever its latency.
 * \return the index of the step; if none meets the target, the one with the highest chance
 * \pre \p options is not empty */
std::size_t choose_start(const std::vector<tier_option>& options, const tier_requirements& requirements);

} // namespace laurelhoist
