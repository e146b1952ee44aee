/** \file
 * Decides which routes still ask larger models while the engines of a service are saturated.
 *
 * An answer of a larger model takes several times the engine time of a small one. While requests wait for
 * engines, that time decides how many callers are answered in time at all. The least urgent routes give up
 * larger models first and get them back last, one step at a time; the most urgent one then still asks a
 * larger model where engines have much room. A level that had to be taken again soon
 * after it was left is held for longer, so that the routes do not alternate.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** The use of larger models for one service, as one host sees its engines. No I/O; the time is an argument.
 */
class model_load {
public:
    static constexpr int highest_level = 3;

    /** Takes how loaded the engines are; to be called before \ref may_step_up, at any interval.
     * \param saturated_share share of the engines whose prompts or streams are more than they carry, 0 to 1
     * \return whether the level has changed */
    bool observe(double saturated_share, time_point now);
    /** \return whether a new observation is due. */
    bool is_due(time_point now) const;
    /** \return whether a route of \p priority, 0 is the most urgent, may ask a larger model within all of its
     * budget. */
    bool may_step_up(int priority) const;
    /** \return the part of its budget, 0 to 1, within which a larger model has to be predicted for a route of
     * \p priority to ask it. The most urgent route always keeps a part, because some of its requests are too
     * hard for a small model. */
    double step_up_share(int priority) const;
    /** \return how many priorities, from the least urgent on, do without larger models, the most urgent one
     * in part. */
    int level() const { return level_; }
    /** \return the share of saturated engines, smoothed. */
    double saturated_share() const { return share_; }

private:
    bool raise(time_point now);
    bool lower(time_point now);

    int level_ = 0;
    double share_ = 0;
    time_point observed_at_;
    time_point changed_at_;
    time_point lowered_at_;
    duration hold_ = seconds(2); ///< how long a level is kept before the next lower one
};

} // namespace laurelhoist
