/** \file
 * Defines the reader of the ledger: the union of all segments by key.
 */
#pragma once

#include "ledger/segment_buffer.h"

namespace laurelhoist {

/** Sum of one team's bills. */
struct team_total {
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
    std::int64_t cost_micro = 0;
};
LAUREL_VALUE_TYPE(team_total, requests, tokens, cost_micro)

/** What became of a team's requests, counted since an entry started or within one minute. */
struct team_counts {
    std::int64_t asked = 0;
    std::int64_t whole = 0;   ///< answered whole
    std::int64_t refused = 0; ///< not run
    std::int64_t failed = 0;  ///< ran, or may have run, without a whole answer
};
LAUREL_VALUE_TYPE(team_counts, asked, whole, refused, failed)

/** The counts of one minute as one steward saw them; an immutable object of the platform. */
struct counts_bucket {
    std::int64_t minute = 0; ///< since 1970
    std::map<std::string, team_counts> teams;
};
LAUREL_VALUE_TYPE(counts_bucket, minute, teams)

/** The ledger as read from segments; adding a segment twice changes nothing. */
class ledger_book {
public:
    void add(const ledger_segment& segment);

    const std::map<bill_key, bill_record>& records() const { return records_; }
    /** \return how many copies were duplicates away; each stewards' copy of a record adds one. */
    std::int64_t duplicates() const { return duplicates_; }
    std::map<std::string, team_total> totals() const;

private:
    std::map<bill_key, bill_record> records_;
    std::int64_t duplicates_ = 0;
};

} // namespace laurelhoist
