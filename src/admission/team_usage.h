/** \file
 * Learns how much each team sends now and usually, so that load beyond a team's usual load can give way.
 *
 * Each host sees a random sample of all requests. The mean over this host and the hosts heard of recently
 * estimates the usage of all hosts, also when some of them are lost.
 *
 * Load pattern: two of 24 teams send eight times their usual load. If engines serve all requests in the order
 * of arrival, every team is late as often as these two.
 */
#pragma once

#include "base/base.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace laurelhoist {

/** One team's requests at one host in the last second. */
struct team_sample {
    std::string team;
    std::int64_t tenths = 0; ///< requests in a second, in tenths
};
LAUREL_VALUE_TYPE(team_sample, team, tenths)

/** The present and the usual rate of each team. */
class team_usage {
public:
    static constexpr std::size_t max_samples = 8;       ///< teams in a message
    static constexpr std::int64_t max_tenths = 100'000; ///< larger numbers of other hosts count as this
    static constexpr std::size_t max_hosts = 64;        ///< hosts whose samples are kept
    static constexpr std::size_t max_teams = 1024;      ///< further teams count as usual
    static constexpr duration sample_lifetime = seconds(2);
    static constexpr double min_weight = 0.25; ///< of the mean of all teams
    /// A team that sends up to this many times its usual load is not demoted.
    static constexpr double tolerance = 1.25;

    /** Records a request that arrived at this host.
     * \param priority 0 is the most urgent */
    void on_request(const std::string& team, int priority, time_point now);
    /** Merges the samples of \p host, which replace its earlier ones. Without any samples, the earlier ones
     * are kept until they are too old.
     * \param is_known whether a team is configured; samples of other teams are ignored */
    void merge(const std::string& host, std::vector<team_sample> samples, time_point now,
               const std::function<bool(const std::string& team)>& is_known);
    /** \return the teams with the most requests at this host */
    std::vector<team_sample> samples_to_gossip(time_point now);

    /** \return the team's present rate divided by its usual rate; 1 if there is too little evidence. */
    double overuse(const std::string& team, time_point now);
    /** \return the team's usual rate in relation to the mean of all teams, at least \ref min_weight; 1 if
     * nothing is known */
    double weight(const std::string& team, time_point now);
    /** \return the part of the team's requests that is beyond its usual load, 0 to 1. */
    double demoted_share(const std::string& team, time_point now);
    /** Decides about one request of a team that sends more than usual. The least urgent requests of the team
     * are demoted first.
     * \return by how many steps the request is less urgent than its priority says, 0 to 3 */
    int demotion(const std::string& team, int priority, const std::string& request, time_point now);
    /** \return the requests of the team in the last second at one host, present and usual. */
    std::pair<double, double> rates(const std::string& team, time_point now);

private:
    static constexpr std::size_t priorities = 4; ///< less urgent requests count with the last
    struct own_count {
        std::array<double, priorities> requests{}; ///< decayed with a time constant of one second
        time_point at;
        double sum_at(time_point now) const;
    };
    struct host_samples {
        std::vector<team_sample> samples;
        bool is_full = false; ///< teams that are not named may have requests, too
        time_point at;
    };
    struct team_rate {
        double present = 0; ///< requests per second, mean over the hosts
        double usual = 0;
        double evidence = 0; ///< requests of the last second at all hosts heard of
        time_point since;
        time_point seen_at;
    };

    void refresh(time_point now);
    void forget_old_samples(time_point now);
    void learn(team_rate& rate, time_point now, duration elapsed);
    const team_rate* find(const std::string& team, time_point now);

    std::map<std::string, own_count> own_;
    std::map<std::string, host_samples> hosts_;
    std::map<std::string, team_rate> rates_;
    double mean_usual_ = 0;
    time_point refreshed_at_;
};

} // namespace laurelhoist
