#include "rollout/release_stop.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Endpoints whose answers are counted one by one; this bounds the messages between hosts.
constexpr int sampled_endpoints = 24;
constexpr std::size_t max_tallies = 40; ///< samples by hash vary in size
/// Evidence as for a brake, but from more answers: a wrong brake delays a release, a wrong stop ends a
/// service.
constexpr double stop_evidence = 7.6;
constexpr std::int64_t min_bad_answers = 40; ///< operators count a release as bad from 50 on
/// An endpoint fails like the others if it does so at least this often, relative to all together.
constexpr double min_relative_share = 0.5;
constexpr std::int64_t min_bad_of_endpoint = 2; ///< one failure happens to good endpoints, too
constexpr std::int64_t min_answers_of_endpoint = 3;
/// With fewer answers of an endpoint, a single bad one shows that it is bad.
constexpr std::int64_t many_answers_of_endpoint = 8;

} // namespace

void count_answer(std::vector<endpoint_tally>& tallies, const std::string& endpoint, bool is_good,
                  int endpoints) {
    const auto hash = placement_hash(endpoint);
    const auto stride = static_cast<std::uint64_t>(std::max(1, endpoints / sampled_endpoints));
    if (hash % stride != 0) {
        return;
    }
    const auto id = static_cast<std::uint32_t>(hash);
    auto found = std::find_if(tallies.begin(), tallies.end(),
                              [id](const endpoint_tally& each) { return each.endpoint == id; });
    if (found == tallies.end()) {
        if (tallies.size() >= max_tallies) {
            return;
        }
        found = tallies.insert(tallies.end(), {id, 0, 0});
    }
    ++(is_good ? found->good : found->bad);
}

void failure_spread::add(const std::vector<endpoint_tally>& tallies) {
    for (const endpoint_tally& tally : tallies) {
        endpoint_tally& sum = by_endpoint_[tally.endpoint];
        sum.good += tally.good;
        sum.bad += tally.bad;
    }
}

endpoint_tally failure_spread::sum() const {
    endpoint_tally all;
    for (const auto& [id, tally] : by_endpoint_) {
        all.good += tally.good;
        all.bad += tally.bad;
    }
    return all;
}

double failure_spread::relative_failed_part() const {
    const endpoint_tally all = sum();
    if (all.bad == 0) {
        return 0;
    }
    const double good_share = static_cast<double>(all.good) / static_cast<double>(all.good + all.bad);
    double expected = 0;
    double failed = 0;
    for (const auto& [id, tally] : by_endpoint_) {
        const std::int64_t answers = tally.good + tally.bad;
        if (answers == 0) {
            continue;
        }
        const std::int64_t least = answers < many_answers_of_endpoint ? 1 : min_bad_of_endpoint;
        const double none = std::pow(good_share, static_cast<double>(answers));
        const double one = static_cast<double>(answers) * (1 - good_share) *
                           std::pow(good_share, static_cast<double>(answers - 1));
        expected += 1 - none - (least > 1 ? one : 0.0);
        const double share = static_cast<double>(tally.bad) / static_cast<double>(answers);
        failed += tally.bad >= least && share >= min_relative_share * (1 - good_share) ? 1 : 0;
    }
    return expected == 0 ? 0.0 : failed / expected;
}

double failure_spread::failed_part() const {
    const endpoint_tally all = sum();
    if (all.bad == 0) {
        return 0;
    }
    const auto share = [](const endpoint_tally& tally) {
        return static_cast<double>(tally.bad) / static_cast<double>(tally.good + tally.bad);
    };
    int answered = 0;
    int failed = 0;
    for (const auto& [id, tally] : by_endpoint_) {
        if (tally.good + tally.bad >= min_answers_of_endpoint) {
            const bool fails_alike = share(tally) >= min_relative_share * share(all);
            ++answered;
            failed += tally.bad >= min_bad_of_endpoint && fails_alike ? 1 : 0;
        }
    }
    return answered == 0 ? 0.0 : static_cast<double>(failed) / answered;
}

bool is_bad_enough(const release_failures& failures) {
    return failures.evidence >= stop_evidence && failures.bad >= min_bad_answers;
}

bool must_stop(const release_failures& failures) {
    return is_bad_enough(failures) && failures.spread.failed_part() >= min_failed_part;
}

} // namespace laurelhoist
