/** \file
 * Defines how much of a service's requests a release on trial gets, by the age of its roll-out.
 *
 * For most of its time the trial is small. Shortly before the cutover it rises to a peak, at which a single
 * endpoint carries more than the load that it will have later: a release whose faults begin at a number of
 * simultaneous requests shows them there, while few callers meet them and the established release still runs.
 * The share never falls, so that no session returns to the established release. It is larger for a service
 * that is asked rarely, because a decision takes some dozens of answers, whatever the load.
 *
 * Example: of 60 endpoints each carries 1/60 of the requests. A trial of 24 s starts with 0.75/60 of them.
 * For its last 4 s it has 2.5/60, all at the same endpoint.
 */
#pragma once

#include "base/base.h"

#include <tuple>

namespace laurelhoist {

/// Share of the session hashes that any trial may choose; only these sessions are recorded.
constexpr double max_trial_share = 0.2;

/** Shares of the requests that use a release on trial. */
struct trial_plan {
    double base_share = 0;     ///< until the peak
    double peak_share = 0;     ///< from the peak until the cutover
    double overload_share = 0; ///< part of \ref peak_share that goes to a single endpoint at the peak
    duration peak_time{};      ///< time from the beginning of the peak to the cutover
    duration max_peak_time{};  ///< the same if the exposure bound leaves more
};

inline bool operator==(const trial_plan& l, const trial_plan& r) {
    return std::tie(l.base_share, l.peak_share, l.overload_share, l.peak_time, l.max_peak_time) ==
           std::tie(r.base_share, r.peak_share, r.overload_share, r.peak_time, r.max_peak_time);
}
inline bool operator!=(const trial_plan& l, const trial_plan& r) {
    return !(l == r);
}

/** \return the peak share for a service of which \p endpoints run the established release. */
double peak_trial_share(int endpoints);

/** \param peak_share \ref peak_trial_share, as the hosts agreed on it
 * \param exposure_share share of a roll-out's requests that a bad release may get
 * \param time_limit time of the whole roll-out
 * \param evidence_share least share of the whole trial, because of the answers that a decision takes */
trial_plan plan_trial(double peak_share, double exposure_share, duration time_limit,
                      double evidence_share = 0);

} // namespace laurelhoist
