/** \file
 * Defines the result of a laurel-load run; scripts under tools/ read its JSON form.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

/** Counts, costs and latencies of one run. */
struct load_run_report {
    std::int64_t asked = 0;   ///< requests
    std::int64_t whole = 0;   ///< complete answers
    std::int64_t refused = 0; ///< not executed, after all attempts
    std::int64_t failed = 0;  ///< may have been executed, after all attempts
    std::int64_t lost = 0;    ///< requests without a final answer
    std::int64_t foreign = 0; ///< answers that belong to another request
    std::int64_t good = 0;    ///< model answers at or above the required score
    std::int64_t model_answers = 0;
    std::int64_t tokens = 0;        ///< of all complete model answers
    std::int64_t bad_released = 0;  ///< answers from the version known to be bad
    std::int64_t bad_below = 0;     ///< those of bad_released that are below the required score
    std::int64_t restarts = 0;      ///< streamed answers with a restart event, complete or not
    std::int64_t billed = 0;        ///< ledger records of this run
    std::int64_t unbilled = 0;      ///< complete answers without a ledger record
    std::int64_t doubled_calls = 0; ///< calls executed more than once; -1: the stand-in did not answer
    double cost = 0;                ///< of the billed requests
    double cost_always_costly = 0;  ///< of the same tokens at the price of the costliest version
    double p50_ms = 0;
    double p95_ms = 0;
    double p99_ms = 0;
    double first_token_p95_ms = 0;
};
LAUREL_VALUE_TYPE(load_run_report, asked, whole, refused, failed, lost, foreign, good, model_answers, tokens,
                  bad_released, bad_below, restarts, billed, unbilled, doubled_calls, cost,
                  cost_always_costly, p50_ms, p95_ms, p99_ms, first_token_p95_ms)

} // namespace laurelhoist
