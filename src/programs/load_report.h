/** \file
 * Defines what laurel-load reports of its run; the JSON form is read by the scripts under tools/.
 */
#pragma once

#include "base/base.h"

namespace laurelhoist {

struct load_run_report {
    std::int64_t asked = 0;
    std::int64_t whole = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t lost = 0;
    std::int64_t foreign = 0;
    std::int64_t good = 0;
    std::int64_t model_answers = 0;
    std::int64_t tokens = 0;
    std::int64_t bad_released = 0;
    std::int64_t bad_below = 0;
    std::int64_t restarts = 0;
    std::int64_t billed = 0;
    std::int64_t unbilled = 0;
    std::int64_t doubled_calls = 0;
    double cost = 0;
    double cost_always_costly = 0;
    double p50_ms = 0;
    double p95_ms = 0;
    double p99_ms = 0;
    double first_token_p95_ms = 0;
};
LAUREL_VALUE_TYPE(load_run_report, asked, whole, refused, failed, lost, foreign, good, model_answers, tokens,
                  bad_released, bad_below, restarts, billed, unbilled, doubled_calls, cost,
                  cost_always_costly, p50_ms, p95_ms, p99_ms, first_token_p95_ms)

} // namespace laurelhoist
