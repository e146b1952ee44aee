/** \file
 * Prices the pauses that a prompt causes in the streams which run at the same endpoint.
 *
 * While an engine reads a long prompt, its streams make no events. One prompt is within the aim of their
 * routes; several in a row, or one at a slow engine, are not. The cost spreads long prompts in time and over
 * engines. It is no part of the predicted time to the first event.
 */
#pragma once

#include <algorithm>

namespace laurelhoist {

/** What one more prompt means for the streams at an endpoint. */
struct prompt_pause {
    double reading_ms = 0;       ///< time to read the prompts that wait there and this one
    int running = 0;             ///< streams there
    double gap_objective_ms = 0; ///< aim for the longest pause of a stream; 0: there is none
};

/** \return the cost in ms; 0 if no stream runs there or the pause is short. It is bounded, because a request
 * that waits elsewhere for as long as a stream may pause gains nothing. */
inline double pause_cost_ms(const prompt_pause& pause) {
    constexpr double share_of_objective = 0.5; // The rest is for the streams' own steps.
    constexpr double cost_of_ms = 0.2;         // For each running stream.
    const double excess_ms = pause.reading_ms - pause.gap_objective_ms * share_of_objective;
    if (pause.gap_objective_ms <= 0 || pause.running <= 0 || excess_ms <= 0) {
        return 0.0;
    }
    return std::min(excess_ms * cost_of_ms * pause.running, pause.gap_objective_ms);
}

} // namespace laurelhoist
