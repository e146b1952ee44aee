/** \file
 * Defines the billing record of one request.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** One billed request. Costs are integers, so that sums do not depend on the order of addition. */
struct bill_record {
    std::string team;
    std::string request_id;
    std::string version; ///< model@version of the answer, or service/path
    std::string kind;
    int tier = 0; ///< index of the answer's version in the team's ladder
    std::int64_t tokens = 0;
    std::int64_t cost_micro = 0; ///< total cost of all attempts, in millionths of the currency unit
    double score = -1.0;         ///< rating of the released answer; negative if it was not rated
    std::int64_t latency_ms = 0;
    std::string entry;
    std::int64_t at_ms = 0; ///< wall clock
};
LAUREL_VALUE_TYPE(bill_record, team, request_id, version, kind, tier, tokens, cost_micro, score, latency_ms,
                  entry, at_ms)

/** The identity of a bill: records with the same key are copies of one bill. */
struct bill_key {
    std::string team;
    std::string request_id;
};
LAUREL_VALUE_TYPE(bill_key, team, request_id)

inline bool operator<(const bill_key& left, const bill_key& right) {
    return std::tie(left.team, left.request_id) < std::tie(right.team, right.request_id);
}

inline bill_key key_of(const bill_record& record) {
    return {record.team, record.request_id};
}

} // namespace laurelhoist
