/** \file
 * The one public header of the burn report library: how fast each team's error budgets burn, from the
 * ledger and the counts that the stewards keep in the platform.
 */
#pragma once

#include "bundle/bundle.h"
#include "ledger/ledger.h"

namespace laurelhoist {

/** What the report is made from. */
struct burn_input {
    std::vector<objective_entry> objectives;
    std::map<std::string, double> score_by_team; ///< the score that an answer must reach
    std::set<version_name> stopped;              ///< withdrawn or braked: answers of these are exposure
    std::vector<bill_record> bills;
    std::vector<counts_bucket> counts;
    std::int64_t now_ms = 0; ///< wall clock
};

/** One objective of one team over one window. */
struct burn_line {
    std::string team;
    std::string objective; ///< "latency", "quality", "availability" or "exposure"
    std::int64_t window_minutes = 0;
    std::int64_t events = 0;
    double attained = 0; ///< share of good events
    double wanted = 0;
    /// Share of bad events over the share that the objective allows: 1 uses the budget up exactly.
    double burn_rate = 0;
    double budget_left = 0; ///< of the window's budget; negative when overspent
};
LAUREL_VALUE_TYPE(burn_line, team, objective, window_minutes, events, attained, wanted, burn_rate,
                  budget_left)

/** What one version did for one team over the longest window. */
struct version_line {
    std::string team;
    version_name version;
    std::int64_t requests = 0;
    double request_share = 0;
    double cost = 0;
    double cost_share = 0;
    double quality_share = -1; ///< of the rated answers; negative: none was rated
    std::int64_t p95_ms = 0;
    bool is_stopped = false;
};
LAUREL_VALUE_TYPE(version_line, team, version, requests, request_share, cost, cost_share, quality_share,
                  p95_ms, is_stopped)

struct burn_report {
    std::vector<burn_line> lines;
    std::vector<version_line> versions;
    std::int64_t newest_bill_age_ms = -1;  ///< negative: there is none
    std::int64_t newest_count_age_ms = -1; ///< counts are whole minutes, so up to two minutes old
};
LAUREL_VALUE_TYPE(burn_report, lines, versions, newest_bill_age_ms, newest_count_age_ms)

/** The windows over which burn is told, in minutes. */
constexpr std::int64_t burn_windows[] = {5, 60, 360};

/** \return the report on \p input. */
burn_report make_burn_report(const burn_input& input);

} // namespace laurelhoist
