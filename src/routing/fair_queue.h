/** \file
 * Defines the queue of a full pool: weighted fair queueing among teams.
 */
#pragma once

#include "base/base.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace laurelhoist {

/** Ids of the requests that wait for a slot of one pool.
 *
 * Each team has a virtual time that grows by 1/weight with each request taken; the team with the smallest
 * virtual time is served next. A team that was idle starts at the queue's virtual time, so it neither
 * accumulates credit while idle nor waits behind another team's backlog. */
class fair_queue {
public:
    struct queued_request {
        std::string request_id;
        time_point queued_at;
    };

    void push(const std::string& team, const std::string& request_id, time_point now);
    /** Puts a request that has already run once (a retry or a step up) ahead of its team's others. */
    void push_front(const std::string& team, const std::string& request_id, time_point now);
    /** \param weight_of returns the weight of a team
     * \param may_take returns whether a team may take a slot now, by its limit of requests in flight
     * \return the id of the next request, or nothing if none may be taken */
    std::optional<std::string> pop(const std::function<int(const std::string&)>& weight_of,
                                   const std::function<bool(const std::string&)>& may_take);
    /** Removes a request that has been cancelled. */
    void remove(const std::string& team, const std::string& request_id);

    /** \return the share of the slots that \p team gets while the same teams have requests waiting. */
    double share_of(const std::string& team, const std::function<int(const std::string&)>& weight_of) const;
    std::size_t size() const;
    std::size_t size_of(const std::string& team) const;

private:
    struct team_queue {
        std::deque<queued_request> items;
        double virtual_time = 0;
    };
    /** \return the queue of \p team, its virtual time brought up to the queue's if the team was idle. */
    team_queue& activate(const std::string& team);

    std::map<std::string, team_queue> teams_;
    double virtual_time_ = 0;
};

} // namespace laurelhoist
