/** \file
 * Defines how an entry knows that its configuration is the latest: the guard behind "a withdrawn version
 * receives no new work" on a host that is cut off or was paused.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** An entry serves while its revision was confirmed within this time. Any change is therefore in force
 * everywhere this long after it was accepted, whether or not a host can be reached. */
constexpr duration freshness_limit = seconds(3);

/** The confirmations that an entry has received. */
class freshness {
public:
    /** Notes that a steward confirmed \p revision as the latest.
     * \param asked_at when the entry sent the question, on its own clock: the answer can only be newer
     * \param evidence_age how old the steward's own evidence was when it answered */
    void on_confirmation(time_point asked_at, duration evidence_age, std::int64_t revision);

    /** Notes that \p revision exists, from whoever knows: a node with an older one is not fresh any more. */
    void on_known_revision(std::int64_t revision);
    /** \return whether a node that holds \p revision may serve at \p now. */
    bool is_fresh(time_point now, std::int64_t revision) const;
    /** \return the age of the latest confirmation. */
    duration age(time_point now) const { return now - fresh_as_of_; }
    std::int64_t known_revision() const { return known_revision_; }

private:
    bool confirmed_ = false;
    time_point fresh_as_of_;
    std::int64_t known_revision_ = 0;
};

} // namespace laurelhoist
