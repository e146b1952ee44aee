/** \file
 * Defines when the roll-out of a bundle may take its next step.
 */
#pragma once

#include "rollout/brake.h"

namespace laurelhoist {

/** Measures how long the current step has been in force. Each steward measures for itself, so any other can
 * continue a roll-out when a steward dies, at worst one bake time later. */
class bake_timer {
public:
    /** Takes the current head; restarts the bake time if the roll-out, its step or its state has changed. */
    void observe(const fleet_head& head, time_point now);
    /** \return how long the current step has been rolling; zero in any state but "rolling". */
    duration elapsed(time_point now) const;

private:
    std::string bundle_id_;
    std::string state_;
    int step_ = -1;
    time_point since_;
};

/** The next action on a roll-out. */
enum class step_action { wait, step, finish };

/** Evidence about one version under roll-out. */
struct version_assessment {
    brake_verdict verdict = brake_verdict::undecided;
    std::int64_t rated = 0; ///< rated answers and failures since the roll-out began or was resumed
};

/** \param elapsed how long the current step has been in force
 * \param loaded whether the engines have loaded the capacity for the next share; orders to load do not count
 * \param assessments one for each version under roll-out */
step_action next_step(const bundle& rolling, const bundle_status& status, duration elapsed, bool loaded,
                      const std::vector<version_assessment>& assessments);

} // namespace laurelhoist
