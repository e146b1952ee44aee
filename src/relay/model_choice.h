/** \file
 * Defines the cascade over model sizes: which one a request starts on, and when its answer is good enough.
 *
 * The largest model answers every request, at many times the cost and several times the engine time of the
 * smallest, which answers about half. So a request starts on the smallest; the answer's own confidence,
 * which comes before its first token is passed on, decides whether it is taken or a larger one is asked.
 * Load pattern: when engines are lost or a team sends many times its usual, the larger model would be late
 * for everybody; then the small answer is taken as it is.
 */
#pragma once

#include "placement/placement.h"

#include <algorithm>

namespace laurelhoist {

/** What one model would give a request now. */
struct model_option {
    std::size_t size = 0;    ///< index in the route's models, smallest first
    double predicted_ms = 0; ///< to the first token at the endpoint that would be chosen
};

/** When an answer of a smaller model is taken. */
struct cascade_settings {
    /// By the route's priority, 0 to 100; the last one holds for all that are less urgent. Less urgent routes
    /// are content with less, because for them the larger model costs a larger part of what the answer is
    /// worth.
    std::vector<int> least_confidence = {50, 50, 35};

    int confidence_for(int priority) const {
        const auto last = static_cast<int>(least_confidence.size()) - 1;
        return least_confidence[static_cast<std::size_t>(std::clamp(priority, 0, last))];
    }
};

/** \param options one for each size that has an endpoint, smallest first; not empty
 * \param priority of the route, 0 is the most urgent
 * \param remaining_ms of the objective to the first token
 * \return the index in \p options of the largest model that is predicted to keep to the objective, or
 * nothing if none does */
std::optional<std::size_t> largest_model_in_time(const std::vector<model_option>& options, int priority,
                                           double remaining_ms);

} // namespace laurelhoist
