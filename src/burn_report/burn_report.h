/** \file
 * The public header of the burn report library: computes each team's error-budget burn rates from the ledger
 * and the request counts that the stewards store in the platform.
 */
#pragma once

#include "bundle/bundle.h"
#include "ledger/ledger.h"

namespace laurelhoist {

/** Input of the report. */
struct burn_input {
    std::vector<objective_entry> objectives;
    std::map<std::string, double> score_by_team; ///< score that an answer must reach
    std::set<version_name> stopped; ///< withdrawn or braked versions; their answers count as exposure
    std::vector<bill_record> bills;
    std::vector<counts_bucket> counts;
    std::int64_t now_ms = 0; ///< wall clock
};

/** Result for one objective of one team over one window. */
struct burn_line {
    std::string team;
    std::string objective; ///< "latency", "quality", "availability" or "exposure"
    std::int64_t window_minutes = 0;
    std::int64_t events = 0;
    double attained = 0; ///< share of good events
    double wanted = 0;   ///< share of good events that the objective requires
    /// Share of bad events divided by the share that the objective allows; at 1 the budget is just used up.
    double burn_rate = 0;
    double budget_left = 0; ///< fraction of the window's budget; negative when overspent
};
LAUREL_VALUE_TYPE(burn_line, team, objective, window_minutes, events, attained, wanted, burn_rate,
                  budget_left)

/** Totals of one version for one team over all bills of the input. */
struct version_line {
    std::string team;
    version_name version; ///< or service/path for a plain service, as in the bill
    std::int64_t requests = 0;
    double request_share = 0;
    double cost = 0;
    double cost_share = 0;
    double quality_share = -1; ///< share of rated answers at or above the score; negative: none was rated
    std::int64_t p95_ms = 0;
    bool is_stopped = false;
};
LAUREL_VALUE_TYPE(version_line, team, version, requests, request_share, cost, cost_share, quality_share,
                  p95_ms, is_stopped)

struct burn_report {
    std::vector<burn_line> lines;
    std::vector<version_line> versions;
    std::int64_t newest_bill_age_ms = -1; ///< negative: there are no bills
    /// From the start of the newest counted minute, so up to two minutes; negative: there are no counts.
    std::int64_t newest_count_age_ms = -1;
};
LAUREL_VALUE_TYPE(burn_report, lines, versions, newest_bill_age_ms, newest_count_age_ms)

/** Windows of the burn rates in minutes. */
constexpr std::int64_t burn_windows[] = {5, 60, 360};

/** \return the report computed from \p input. */
burn_report make_burn_report(const burn_input& input);

} // namespace laurelhoist
