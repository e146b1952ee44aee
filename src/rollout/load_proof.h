/** \file
 * Defines whether a release has been tried at the load that it will have once it serves all requests.
 *
 * A release may fail from a number of simultaneous requests on. Its answers are evidence only for the loads
 * at which they were given, and the load of its endpoints still rises for as long as a stream takes after the
 * cutover. Completion stops the established endpoints, so it waits for such evidence: either one endpoint has
 * carried more at the peak of the trial than each will have, or the new endpoints have taken over the load.
 *
 * Example: 240 answers are under way and 12 endpoints run the new release. At the peak one of them had 36
 * under way, which is more than 1.6 x 240 / 12, so the roll-out may be completed on schedule.
 */
#pragma once

#include "base/base.h"

#include <optional>

namespace laurelhoist {

/** Answers of a service that have begun and not ended, over all hosts, and the endpoints of its new release.
 */
struct rollout_load {
    double on_established = 0;
    double on_new = 0;
    int new_endpoints = 1;
    int trial_endpoints = 1; ///< endpoints that share the peak of the trial
};

/** The loads that the new release of one roll-out has carried. */
class load_proof {
public:
    /** Includes the load at the peak of the trial; to be called for each decision. */
    void on_trial_peak(const rollout_load& load);
    /** Includes the load after the cutover. */
    void on_cut_over(const rollout_load& load, time_point now);
    /** \return whether the release has carried the load to come. */
    bool is_sufficient(const rollout_load& load, time_point now) const;
    /** \return the largest load of one endpoint that lasted from one decision to the next. */
    double carried() const { return carried_; }
    /** \return the load to expect at the busiest endpoint of the new release. */
    static double expected(const rollout_load& load);

private:
    double last_ = 0;
    double carried_ = 0;
    std::optional<time_point> taken_over_since_;
};

} // namespace laurelhoist
