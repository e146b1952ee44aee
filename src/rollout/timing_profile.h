/** \file
 * Defines the distribution of the times of a release's answers, relative to the usual time, and how it
 * differs between a good release and one that is several times as slow.
 *
 * A single threshold cannot tell a release whose answers take twice as long from a good one: most of its slow
 * answers are below any threshold that the usual ones rarely exceed. So times are counted in classes, and
 * each answer is weighed by how much more often a slow release has answers of its class.
 *
 * Example: one in a hundred usual answers takes 2.8 to 4 times the usual time, and one in ten of a release of
 * which a third of the answers take three times as long. Such an answer is ten times as likely from the slow
 * release, and adds ln 10 to the evidence against it.
 */
#pragma once

#include "rollout/release_test.h"

#include <array>
#include <cstdint>
#include <vector>

namespace laurelhoist {

/** Number of answers by class of time. Each class begins at sqrt(2) times the time of the one before. The
 * vector is empty, or has one element for each class. */
using timing_counts = std::vector<std::int64_t>;

/** How much a good release may differ from the established one. */
struct timing_tolerance {
    double stretch = 1;    ///< factor by which all of its answers may be slower
    double late_share = 0; ///< share of its answers that may be late for reasons of the network
};

/** Counts an answer. \param ratio its time relative to the usual one */
void count_time(timing_counts& counts, double ratio);
/** Adds \p added to \p sum. */
void add_times(timing_counts& sum, const timing_counts& added);
/** \return the larger count of each class. */
timing_counts larger_times(const timing_counts& left, const timing_counts& right);
/** \return what \p counted has beyond \p before. */
timing_counts new_times(const timing_counts& counted, const timing_counts& before);
/** \return the number of all answers. */
std::int64_t count_of(const timing_counts& counts);

/** Number of the ways in which a release may be slow that \ref weigh_times considers. */
constexpr std::size_t slow_release_count = 5;

/** Weighs the answers of a release against those of the established one.
 * \param added answers that were not weighed yet
 * \param established all answers of the established release
 * \param against what the test that brakes the release tolerates
 * \param in_favor what the test that completion requires tolerates
 * \return the change for each way in which a release may be slow; nothing without new answers */
std::vector<evidence_change> weigh_times(const timing_counts& added, const timing_counts& established,
                                         const timing_tolerance& against, const timing_tolerance& in_favor);

} // namespace laurelhoist
