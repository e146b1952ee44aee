/** \file
 * Defines the counters of answers by version that entries report. They only grow, so merging takes the larger
 * value: reports may arrive in any order and more than once.
 */
#pragma once

#include "bundle/bundle.h"

#include <map>

namespace laurelhoist {

/** Counts of one version at one entry since the entry started. */
struct version_counts {
    std::int64_t answers = 0; ///< complete answers received
    std::int64_t rated = 0;
    std::int64_t below = 0;          ///< answers rated below the team's score
    std::int64_t failed = 0;         ///< errors attributed to the version
    std::int64_t released = 0;       ///< answers sent to callers
    std::int64_t released_below = 0; ///< answers sent to callers although rated below the score
};
LAUREL_VALUE_TYPE(version_counts, answers, rated, below, failed, released, released_below)

using counts_by_version = std::map<version_name, version_counts>;

/** \return the key under which answers of \p version are counted. While the version is under roll-out the key
 * includes the bundle and its epoch, so that a resumed roll-out starts from zero. */
std::string evidence_key(const fleet_view& view, const version_name& version);

/** Counts of all entries, kept by reporter. */
class evidence_pool {
public:
    /** Merges the counts of \p reporter, one incarnation of an entry; a count never decreases. */
    void merge(const std::string& reporter, const counts_by_version& counts);
    /** \return the sum over all reporters for \p version. */
    version_counts total(const version_name& version) const;
    const std::map<std::string, counts_by_version>& by_reporter() const { return by_reporter_; }

private:
    std::map<std::string, counts_by_version> by_reporter_;
};

} // namespace laurelhoist
