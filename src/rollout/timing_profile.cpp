#include "rollout/timing_profile.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laurelhoist {

namespace {

constexpr std::size_t timing_classes = 10;
constexpr double classes_per_doubling = 2;
constexpr double first_bound = 0.5; ///< shortest time of the second class, relative to the usual time
/// Classes from this one on begin at 4 times the usual time, where late connections and hosts put answers.
constexpr std::size_t first_late_class = 7;
/// How the times of services vary, for a service that has few answers: as many are assumed to have had these
/// shares.
constexpr double prior_answers = 10;
/// What few answers of the established release leave uncertain: how the assumed shares fit, and how many
/// answers are late for reasons of the network.
constexpr double stretch_of_assumed = 0.4;
constexpr double unseen_late_answers = 2;
/// Part of the answers of a slow release that is spread over all classes: its shares are not known exactly,
/// so that no single answer decides.
constexpr double unexplained_share = 0.03;
/// Log likelihood ratio of one answer at most: connections that take a second come several at a time.
constexpr double max_ratio_of_answer = 1.5;

using time_shares = std::array<double, timing_classes>;
constexpr time_shares prior_shares = {0.15, 0.18, 0.22, 0.18, 0.13, 0.07, 0.03, 0.02, 0.01, 0.01};

/** A release of which \ref share of the answers take \ref factor times as long. */
struct slow_release {
    double factor = 1;
    double share = 0;
};
constexpr std::array<slow_release, slow_release_count> slow_releases = {
    {{2, 0.4}, {2, 1}, {3, 0.3}, {5, 0.15}, {6, 0.6}}};

time_shares shares_of(const timing_counts& counts) {
    const double all = static_cast<double>(count_of(counts)) + prior_answers;
    time_shares shares{};
    for (std::size_t i = 0; i < timing_classes; ++i) {
        const double counted = i < counts.size() ? static_cast<double>(counts[i]) : 0.0;
        shares[i] = (counted + prior_answers * prior_shares[i]) / all;
    }
    return shares;
}

/// \return the shares if all times were \p factor times as long.
time_shares stretched(const time_shares& shares, double factor) {
    const double classes = classes_per_doubling * std::log2(factor);
    const auto whole = static_cast<std::size_t>(classes);
    const double part = classes - static_cast<double>(whole);
    time_shares result{};
    for (std::size_t i = 0; i < timing_classes; ++i) {
        result[std::min(timing_classes - 1, i + whole)] += shares[i] * (1 - part);
        result[std::min(timing_classes - 1, i + whole + 1)] += shares[i] * part;
    }
    return result;
}

/// \return \p shares of which the part \p part is replaced by \p others.
time_shares mixed(const time_shares& shares, const time_shares& others, double part) {
    time_shares result{};
    for (std::size_t i = 0; i < timing_classes; ++i) {
        result[i] = (1 - part) * shares[i] + part * others[i];
    }
    return result;
}

/// \return \p tolerance, widened for what \p established answers leave uncertain.
timing_tolerance widened(const timing_tolerance& tolerance, std::int64_t established) {
    const double answers = static_cast<double>(established) + prior_answers;
    return {tolerance.stretch * (1 + stretch_of_assumed * prior_answers / answers),
            tolerance.late_share + unseen_late_answers / answers};
}

time_shares spread_over(std::size_t first_class) {
    time_shares result{};
    std::fill(result.begin() + static_cast<std::ptrdiff_t>(first_class), result.end(),
              1.0 / static_cast<double>(timing_classes - first_class));
    return result;
}

/// \return the log likelihood ratio of \p slow to a good release, for the answers \p added.
double log_ratio(const timing_counts& added, const time_shares& usual, const slow_release& slow,
                 const timing_tolerance& tolerance) {
    const time_shares stretched_usual = stretched(usual, tolerance.stretch);
    const time_shares good = mixed(stretched_usual, spread_over(first_late_class), tolerance.late_share);
    const time_shares bad = mixed(mixed(stretched_usual, stretched(stretched_usual, slow.factor), slow.share),
                                  spread_over(0), unexplained_share);
    double sum = 0;
    for (std::size_t i = 0; i < timing_classes; ++i) {
        sum += static_cast<double>(added[i]) * std::min(max_ratio_of_answer, std::log(bad[i] / good[i]));
    }
    return sum;
}

} // namespace

void count_time(timing_counts& counts, double ratio) {
    counts.resize(timing_classes);
    const double above_first =
        classes_per_doubling * std::log2(std::max(ratio, first_bound / 2) / first_bound);
    const auto index = static_cast<std::int64_t>(std::floor(above_first)) + 1;
    ++counts[static_cast<std::size_t>(std::clamp<std::int64_t>(index, 0, timing_classes - 1))];
}

void add_times(timing_counts& sum, const timing_counts& added) {
    sum.resize(timing_classes);
    for (std::size_t i = 0; i < std::min(timing_classes, added.size()); ++i) {
        sum[i] += added[i];
    }
}

timing_counts larger_times(const timing_counts& left, const timing_counts& right) {
    timing_counts result(std::max(left.size(), right.size()));
    for (std::size_t i = 0; i < result.size(); ++i) {
        result[i] = std::max(i < left.size() ? left[i] : 0, i < right.size() ? right[i] : 0);
    }
    return result;
}

timing_counts new_times(const timing_counts& counted, const timing_counts& before) {
    timing_counts result = counted;
    for (std::size_t i = 0; i < std::min(result.size(), before.size()); ++i) {
        result[i] = std::max<std::int64_t>(0, result[i] - before[i]);
    }
    return result;
}

std::int64_t count_of(const timing_counts& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::int64_t{0});
}

std::vector<evidence_change> weigh_times(const timing_counts& added, const timing_counts& established,
                                         const timing_tolerance& against, const timing_tolerance& in_favor) {
    std::vector<evidence_change> changes;
    if (count_of(added) == 0) {
        return changes;
    }
    const time_shares usual = shares_of(established);
    const timing_tolerance of_brake = widened(against, count_of(established));
    const timing_tolerance of_completion = widened(in_favor, count_of(established));
    for (const slow_release& slow : slow_releases) {
        changes.push_back(
            {log_ratio(added, usual, slow, of_brake), -log_ratio(added, usual, slow, of_completion), 0});
    }
    return changes;
}

} // namespace laurelhoist
