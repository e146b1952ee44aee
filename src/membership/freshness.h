/** \file
 * Defines how an entry knows that its configuration is the latest. On a host that is partitioned or was
 * paused, this check guarantees that a withdrawn version receives no new work.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** An entry serves only while its revision was confirmed within this time. An accepted change is therefore in
 * force everywhere this long after its acceptance, whether or not every host can be reached. */
constexpr duration freshness_limit = seconds(3);

/** The confirmations that an entry has received. */
class freshness {
public:
    /** Notes that a steward confirmed \p revision as the latest.
     * \param asked_at when the entry sent the question, by its own clock; the answer cannot be older
     * \param evidence_age how old the steward's own evidence was when it answered */
    void on_confirmation(time_point asked_at, duration evidence_age, std::int64_t revision);

    /** Notes that \p revision exists, from any source. A node with an older revision is no longer fresh. */
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
