/** \file
 * Defines the in-memory ledger that is built from segments: the union of their records by key.
 */
#pragma once

#include "ledger/segment_buffer.h"

namespace laurelhoist {

/** Totals over the bills of one team. */
struct team_total {
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
    std::int64_t cost_micro = 0;
};
LAUREL_VALUE_TYPE(team_total, requests, tokens, cost_micro)

/** Outcomes of the requests of one team, counted since an entry started or within one minute. */
struct team_counts {
    std::int64_t asked = 0;   ///< all requests
    std::int64_t whole = 0;   ///< answered completely
    std::int64_t refused = 0; ///< not run
    std::int64_t failed = 0;  ///< ran, or may have run, without a complete answer
};
LAUREL_VALUE_TYPE(team_counts, asked, whole, refused, failed)

/** The counts of one minute that one steward collected; stored as an immutable platform object. */
struct counts_bucket {
    std::int64_t minute = 0; ///< minutes since 1970
    std::map<std::string, team_counts> teams;
};
LAUREL_VALUE_TYPE(counts_bucket, minute, teams)

/** The ledger as read from segments. Adding a segment twice does not change the records. */
class ledger_book {
public:
    void add(const ledger_segment& segment);

    const std::map<bill_key, bill_record>& records() const { return records_; }
    /** \return how many added records had a key that was already present. */
    std::int64_t duplicates() const { return duplicates_; }
    std::map<std::string, team_total> totals() const;

private:
    std::map<bill_key, bill_record> records_;
    std::int64_t duplicates_ = 0;
};

} // namespace laurelhoist
