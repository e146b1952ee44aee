/** \file
 * Defines what entries learn about versions: counters that only grow, so that merging them is taking the
 * larger, in any order and as often as they arrive.
 */
#pragma once

#include "bundle/bundle.h"

#include <map>

namespace laurelhoist {

/** Counts of one version at one entry since the entry started. */
struct version_counts {
    std::int64_t answers = 0; ///< whole answers received
    std::int64_t rated = 0;
    std::int64_t below = 0;  ///< rated below the team's score
    std::int64_t failed = 0; ///< errors that the version is to blame for
    std::int64_t released = 0;
    std::int64_t released_below = 0;
};
LAUREL_VALUE_TYPE(version_counts, answers, rated, below, failed, released, released_below)

using counts_by_version = std::map<version_name, version_counts>;

/** \return the name under which evidence about \p version is counted: with the epoch of the roll-out that
 * brings it, so that a resumed roll-out is judged by what came after. */
std::string evidence_key(const fleet_view& view, const version_name& version);

/** The counts of many entries. */
class evidence_pool {
public:
    /** Takes the counts of \p reporter (an entry's incarnation), never lowering one. */
    void merge(const std::string& reporter, const counts_by_version& counts);
    /** \return the sum over all reporters for \p version. */
    version_counts total(const version_name& version) const;
    const std::map<std::string, counts_by_version>& by_reporter() const { return by_reporter_; }

private:
    std::map<std::string, counts_by_version> by_reporter_;
};

} // namespace laurelhoist
