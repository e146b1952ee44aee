/** \file
 * Defines when a roll-out may take its next step.
 */
#pragma once

#include "rollout/brake.h"

namespace laurelhoist {

/** What a steward has seen of the step in force. It starts anew in each steward, so a roll-out whose
 * steward dies is continued by any other, at worst one bake time later. */
class bake_timer {
public:
    /** Notes the head; restarts the bake time when the roll-out, its step or its state has changed. */
    void observe(const fleet_head& head, time_point now);
    /** \return how long the step in force has been elapsed while rolling; zero otherwise. */
    duration elapsed(time_point now) const;

private:
    std::string bundle_id_;
    std::string state_;
    int step_ = -1;
    time_point since_;
};

/** What to do with a roll-out next. */
enum class step_action { wait, step, finish };

/** What a steward knows of one version under roll-out. */
struct version_assessment {
    brake_verdict verdict = brake_verdict::undecided;
    std::int64_t rated = 0; ///< rated answers and failures since the roll-out began or was resumed
};

/** \param loaded whether the capacity for the next share is loaded on the engines, not merely ordered
 * \param assessments one for each version under roll-out */
step_action next_step(const bundle& rolling, const bundle_status& status, duration elapsed, bool loaded,
                      const std::vector<version_assessment>& assessments);

} // namespace laurelhoist
