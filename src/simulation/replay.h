/** \file
 * Defines the replay of a recorded trace against its stated outcome.
 */
#pragma once

#include "simulation/world.h"

namespace laurelhoist {

struct replay_result {
    world_report report;
    double p95_ms = 0;
    double quality_share = 0;
    std::string established;
    std::vector<std::string> unmet_outcomes; ///< outcomes that were not reached; empty: all were
};

/** Plays \p recorded in a world of its site's sizes and compares what comes out with what must.
 * \param policies what to decide by, to compare policies on the same trace */
replay_result replay(const trace& recorded, const entry_policies& policies);

} // namespace laurelhoist
