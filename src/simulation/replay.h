/** \file
 * Defines the replay of a recorded trace and the comparison with its expected outcome.
 */
#pragma once

#include "simulation/world.h"

namespace laurelhoist {

struct replay_result {
    world_report report;
    double p95_ms = 0;
    double quality_share = 0;
    std::string established;                 ///< bundle that is established at the end
    std::vector<std::string> unmet_outcomes; ///< outcomes that were missed, each with value and bound
};

/** Replays \p recorded in a world of the size of its site and compares the result with the expected outcome.
 * \param policies policies of the entries, so that policies can be compared on the same trace */
replay_result replay(const trace& recorded, const entry_policies& policies);

} // namespace laurelhoist
