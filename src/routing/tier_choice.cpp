#include "routing/tier_choice.h"

namespace laurelhoist {

namespace {

/** Estimates for a request that starts at one step and may step up to the end of the ladder. */
struct ladder_estimate {
    double cost = 0;             ///< expected cost
    double chance = 0;           ///< probability that some step meets the score
    double worst_latency_ms = 0; ///< time if every step is reached
};

ladder_estimate estimate_from(const std::vector<tier_option>& options, std::size_t start, bool may_step_up) {
    ladder_estimate estimate;
    double reach_probability = 1.0;
    for (std::size_t i = start; i < options.size(); ++i) {
        const double chance = i == start ? options[i].chance : options[i].chance_after_step_up;
        estimate.cost += reach_probability * options[i].cost;
        estimate.chance += reach_probability * chance;
        estimate.worst_latency_ms += options[i].latency_ms;
        reach_probability *= 1.0 - chance;
        if (!may_step_up) {
            break;
        }
    }
    return estimate;
}

// Chances are estimates, so one that misses the target by less than this still meets it.
constexpr double target_slack = 0.01;

bool is_better(const ladder_estimate& candidate, const ladder_estimate& best,
               const tier_requirements& requirements) {
    const double target = requirements.target_share - target_slack;
    const bool candidate_meets = candidate.chance >= target;
    const bool best_meets = best.chance >= target;
    if (candidate_meets != best_meets) {
        return candidate_meets;
    }
    return candidate_meets ? candidate.cost < best.cost : candidate.chance > best.chance;
}

} // namespace

std::size_t choose_start(const std::vector<tier_option>& options, const tier_requirements& requirements) {
    std::size_t best = options.size() - 1;
    ladder_estimate best_estimate = estimate_from(options, best, requirements.may_step_up);
    for (std::size_t i = 0; i + 1 < options.size(); ++i) {
        const ladder_estimate candidate = estimate_from(options, i, requirements.may_step_up);
        if (candidate.worst_latency_ms <= requirements.latency_budget_ms &&
            is_better(candidate, best_estimate, requirements)) {
            best = i;
            best_estimate = candidate;
        }
    }
    return best;
}

} // namespace laurelhoist
