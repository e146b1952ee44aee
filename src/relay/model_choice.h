/** \file
 * Defines the cascade over model sizes: which model a request starts on, and when its answer is good enough.
 *
 * The largest model can answer every request, at many times the cost and several times the engine time of the
 * smallest, which can answer about half of them. A request therefore starts on the smallest model. The
 * confidence stated in the answer's head, which arrives before the first token is forwarded, decides whether
 * the answer is accepted or a larger model is asked. When engines are lost or a team sends many times its
 * usual load, a larger model could miss the latency objective; the smaller model's answer is then accepted as
 * it is.
 */
#pragma once

#include "placement/placement.h"

#include <algorithm>

namespace laurelhoist {

/** A model that could answer a request now. */
struct model_option {
    std::size_t size = 0;    ///< index in the route's models, smallest first
    double predicted_ms = 0; ///< predicted time to the first token at the endpoint that would be chosen
};

/** When the answer of a smaller model is accepted. */
struct cascade_settings {
    /// Lowest accepted confidence, 0 to 100, indexed by the route's priority; the last entry also applies to
    /// all less urgent priorities. Less urgent routes accept lower confidence, because the cost of the larger
    /// model is a larger part of the value of their answers.
    std::vector<int> least_confidence = {50, 50, 35};

    int confidence_for(int priority) const {
        const auto last = static_cast<int>(least_confidence.size()) - 1;
        return least_confidence[static_cast<std::size_t>(std::clamp(priority, 0, last))];
    }
};

/** \param options one for each model that has an endpoint, smallest first
 * \param priority the route's priority, 0 is the most urgent
 * \param remaining_ms time left of the objective for the first token
 * \return the index in \p options of the largest model that is predicted to meet the objective, or nothing if
 * none does */
std::optional<std::size_t> largest_model_in_time(const std::vector<model_option>& options, int priority,
                                                 double remaining_ms);

} // namespace laurelhoist
