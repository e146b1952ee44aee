/** \file
 * Defines the choice of the tier at which a request starts.
 */
#pragma once

#include "base/base.h"

#include <vector>

namespace laurelhoist {

/** What is known of one step of the ladder for one request. */
struct tier_option {
    double cost = 0;                 ///< of one answer
    double chance = 0;               ///< that an answer of a request that starts here meets the score
    double chance_after_step_up = 0; ///< the same for a request that a cheaper step has failed
    double latency_ms = 0;           ///< of one answer
};

/** What a team asks of the choice. */
struct tier_requirements {
    double target_share = 0.95;
    double latency_budget_ms = 30000;
    bool may_step_up = true; ///< false for streams: what has been sent cannot be taken back
};

/** Finds the step at which the expected cost is lowest while the target and the budget are kept.
 *
 * Expected cost of starting at step i: its own, plus with the chance of missing the score that of the
 * steps after it. Example: costs 1 and 20, chances 0.8 and 0.98: starting cheap costs 1 + 0.2 * 20 = 5,
 * starting costly 20. Without a step up only the step's own chance counts, so the cheapest step that
 * meets the target alone is taken.
 * \return the index of the step; if none meets the target, the one that comes closest
 * \pre \p options is not empty */
std::size_t choose_start(const std::vector<tier_option>& options, const tier_requirements& requirements);

} // namespace laurelhoist
