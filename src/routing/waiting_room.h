/** \file
 * Defines the queue of requests that wait for an endpoint of one service, and the order in which they are
 * taken.
 *
 * Load pattern: a service has room for a part of what arrives, and one team sends many times its usual. In no
 * order, each team is served in proportion to what it sends; here its excess waits behind its own requests.
 */
#pragma once

#include "base/base.h"

#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace laurelhoist {

/** A request that waits; immutable. */
struct waiting_request {
    std::string id; ///< unique among those that wait
    std::string team;
    int priority = 0;          ///< 0 is the most urgent
    time_point objective_at{}; ///< when its answer is due
    time_point expires_at{};   ///< when its caller stops waiting
};

inline bool operator==(const waiting_request& left, const waiting_request& right) {
    return std::tie(left.id, left.team, left.priority, left.objective_at, left.expires_at) ==
           std::tie(right.id, right.team, right.priority, right.objective_at, right.expires_at);
}
inline bool operator!=(const waiting_request& left, const waiting_request& right) {
    return !(left == right);
}

/** The requests that wait for an endpoint of one service.
 *
 * Three in four are taken by priority; among equal priority by weighted fair queueing: each team has a
 * virtual time that grows by 1/weight with each request taken, the smallest is next, and a team that was idle
 * starts at the queue's virtual time. Within a team, requests that have run before come first, then those
 * whose objective can still be met by that objective, then the others by arrival. One in four is taken from
 * the teams in turn, and there from the priority that was served longest ago: of n teams that wait, each gets
 * at least one of 4n requests taken. */
class waiting_room {
public:
    using weight_function = std::function<double(const std::string& team)>;

    /** Which requests may be taken now; an unset function excludes none. */
    struct selection {
        std::function<bool(const std::string& team)> may_take;
        std::function<bool(const std::string& id)> may_place;
    };

    void push(const waiting_request& request, time_point now);
    /** Puts a request that has already run once (a retry or a step up) ahead of its team's others. */
    void push_front(const waiting_request& request, time_point now);
    /** Removes a request that no longer waits. \return whether it was waiting */
    bool remove(const std::string& id);
    /** \return the request to be taken next, valid until the room changes; null if none may be taken */
    const waiting_request* next(time_point now, const selection& allowed = {});
    /** Takes \p id, which \ref next has returned, and charges its team.
     * \return whether it was waiting */
    bool take(const std::string& id, time_point now, const weight_function& weight_of);
    /** \ref next and \ref take in one. */
    std::optional<waiting_request> pop(time_point now, const weight_function& weight_of,
                                       const selection& allowed = {});

    bool contains(const std::string& id) const { return index_.count(id) > 0; }
    std::size_t size() const { return index_.size(); }
    std::size_t size_of(const std::string& team) const;
    /** \return how long the oldest request has waited; 0 if none waits. */
    duration oldest_wait(time_point now) const;
    /** \return an estimate of how many requests are taken before \p id if no other arrives; 0 if it does not
     * wait. */
    std::size_t ahead_of(const std::string& id, const weight_function& weight_of) const;
    /** \return the time until \p id is taken at the rate of the last seconds, or nothing if too few were
     * taken to tell. */
    std::optional<duration> expected_wait(const std::string& id, time_point now,
                                          const weight_function& weight_of) const;
    /** \return whether the place of \p id lets it be answered before it expires.
     * \param answer_time time that its answer takes once an endpoint has it */
    bool can_be_answered(const std::string& id, duration answer_time, time_point now,
                         const weight_function& weight_of) const;
    /** \return the share of the endpoints that \p team gets while the same teams have requests waiting. */
    double share_of(const std::string& team, const weight_function& weight_of) const;

private:
    enum class place_group { run_before, in_time, late };
    struct place {
        place_group group = place_group::in_time;
        std::int64_t key = 0;
        std::uint64_t arrival = 0;
        bool operator<(const place& other) const {
            return std::tie(group, key, arrival) < std::tie(other.group, other.key, other.arrival);
        }
    };
    struct entry {
        waiting_request request;
        place at;
        time_point since;
    };
    using entry_list =
        boost::multi_index_container<entry, boost::multi_index::indexed_by<boost::multi_index::ranked_unique<
                                                boost::multi_index::member<entry, place, &entry::at>>>>;
    /** The requests of one team at one priority. */
    struct line {
        entry_list entries;
        double virtual_time = 0;
        std::uint64_t served = 0; ///< when a request was last taken, or the line was last empty
    };
    using turn_order = std::set<std::pair<double, std::string>>; ///< teams by virtual time
    struct level {
        std::map<std::string, line> lines;
        turn_order active; ///< teams with requests
        turn_order idle;   ///< teams without, whose virtual time is ahead of the level's
        double virtual_time = 0;
        std::size_t size = 0;
    };
    struct team_state {
        std::size_t size = 0;
        std::uint64_t turn = 0;   ///< when the team last had a reserved turn, or began to wait
        std::set<int> priorities; ///< of its requests
    };
    struct location {
        std::string team;
        int priority = 0;
        place at;
    };

    void insert(const waiting_request& request, place at, time_point now);
    void begin_waiting(level& of, const waiting_request& request);
    void end_waiting(level& of, const location& from);
    bool is_reserved_turn() const;
    const waiting_request* next_in_order(time_point now, const selection& allowed);
    const waiting_request* next_in_turn(time_point now, const selection& allowed);
    const waiting_request* first_of(line& from, time_point now, const selection& allowed);
    void move_late(line& from, time_point now);
    void charge(const location& taken, double weight, bool is_reserved);
    void record_turn(const std::string& team, bool is_reserved);

    std::map<int, level> levels_;                           ///< by priority, those with requests
    std::map<std::string, team_state> teams_;               ///< those with requests
    std::set<std::pair<std::uint64_t, std::string>> turns_; ///< teams by their last reserved turn
    std::unordered_map<std::string, location> index_;
    std::multiset<time_point> since_;
    std::deque<time_point> taken_at_; ///< when the last requests were taken
    std::uint64_t events_ = 0;        ///< orders arrivals and turns
    int taken_in_order_ = 0;          ///< since the last reserved turn
};

} // namespace laurelhoist
