/** \file
 * Defines what the parts of the roll-out tracker share: the names under which answers are counted together,
 * and how the counts of all hosts are visited.
 */
#pragma once

#include "rollout/release_rollout.h"

namespace laurelhoist::internal {

/// Stands for the answers of all routes together.
constexpr const char* all_routes = "";
/// Stand for how fast streams proceed and for when answers begin, which are tested apart from outcomes. Many
/// answers are too short for a pace and would hide the slow ones in a common test; and the few endpoints of a
/// trial have not read the shared parts of prompts, so that a tenth of a good release's answers to prompts
/// begins late. Answers without a prompt are tested more strictly.
constexpr const char* pace_route = "(pace)";
constexpr const char* first_event_route = "(first event)";
constexpr const char* answer_time_route = "(answer time)";
/// Over which rates of requests are measured: three gossip rounds, so that it covers all hosts.
constexpr duration rate_window = milliseconds(1500);
constexpr std::int64_t min_good_answers = 10; ///< good answers of the new release that the cutover requires

inline bool is_outcome(const release_route& key) {
    return key.route != pace_route && key.route != first_event_route && key.route != answer_time_route;
}

/// \return whether the answers of \p route are weighed by their times and not by how many were late.
inline bool is_timed(const std::string& route) {
    return route == answer_time_route;
}

} // namespace laurelhoist::internal

namespace laurelhoist {

template <class Visit>
void rollout_tracker::for_each_count(const std::string& service, const Visit& visit) const {
    const auto visit_all = [&](const std::map<release_route, release_counts>& uses) {
        for (const auto& [key, counts] : uses) {
            if (key.service == service) {
                visit(key, counts);
            }
        }
    };
    visit_all(own_);
    for (const auto& [host, counted] : by_host_) {
        visit_all(counted.by_route);
    }
}

} // namespace laurelhoist
