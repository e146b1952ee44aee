/** \file
 * Defines the queue before a full pool: weighted fair among teams, bounded for each.
 */
#pragma once

#include "base/base.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace laurelhoist {

/** Requests (by id) that wait for a slot of one pool.
 *
 * Each team has a virtual time that grows by 1/weight with each request taken; the team with the smallest
 * is served next. A team that was idle starts at the queue's time, so it can neither save up turns nor
 * be made to wait behind a flood of another. */
class fair_queue {
public:
    struct queued_request {
        std::string request_id;
        time_point queued_at;
    };

    void push(const std::string& team, const std::string& request_id, time_point now);
    /** Puts a request that has run once (a retry or a step up) before the others of its team. */
    void push_front(const std::string& team, const std::string& request_id, time_point now);
    /** \param weight_of the weight of a team
     * \param may_take whether the team may take a slot now (its limit of requests in flight)
     * \return the next request, or nothing if none may be taken */
    std::optional<std::string> pop(const std::function<int(const std::string&)>& weight_of,
                                   const std::function<bool(const std::string&)>& may_take);
    /** Removes a request that was given up. */
    void remove(const std::string& team, const std::string& request_id);

    /** \return the share of the slots that \p team gets while the teams that wait now go on waiting. */
    double share_of(const std::string& team, const std::function<int(const std::string&)>& weight_of) const;
    std::size_t size() const;
    std::size_t size_of(const std::string& team) const;

private:
    struct team_queue {
        std::deque<queued_request> items;
        double virtual_time = 0;
    };
    team_queue& activate(const std::string& team);

    std::map<std::string, team_queue> teams_;
    double virtual_time_ = 0;
};

} // namespace laurelhoist
