/** \file
 * Learns how fast each endpoint makes the events of its streams, relative to the other endpoints of its pool.
 *
 * Endpoints of one pool may run on machines of different speed. Each host sees few streams of each endpoint,
 * so hosts exchange what they have measured. Only the ratio to the median endpoint under the same model is
 * kept: it does not depend on the model, and a load that slows all endpoints changes nothing.
 */
#pragma once

#include "membership/membership.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laurelhoist {

/** The pace of one endpoint's process as a host has measured it. */
struct pace_notice {
    std::uint32_t process = 0; ///< \ref process_hash of the endpoint
    int percent = 100;         ///< time for each event, relative to the median endpoint of the pool
    int streams = 0;           ///< number of streams measured, the older ones in part
};
LAUREL_VALUE_TYPE(pace_notice, process, percent, streams)

/** A factor that has become high, or is no longer. */
struct pace_change {
    std::string endpoint;
    double factor = 1;
    double streams = 0; ///< number of streams that show it, the older ones in part
};

/** The pace of the endpoints as one host knows it. No I/O; the time is an argument. */
class endpoint_pace {
public:
    /// A factor from which on a change is reported, and below which its return is.
    static constexpr double high_factor = 1.25;
    static constexpr double returned_factor = 1.15;

    /** Takes the endpoints as the store lists them. A new process starts without evidence. */
    void update(const std::vector<endpoint_record>& endpoints);
    /** Records a stream of \p endpoint.
     * \param ms_per_event time between its first and its last event by the number of events between
     * \return the reported changes */
    std::vector<pace_change> observe(const endpoint_record& endpoint, const std::string& model,
                                     double ms_per_event, time_point now);
    /** Takes what another host has measured, in place of what it said before.
     * \param sender name of that host
     * \return the reported changes */
    std::vector<pace_change> merge(const std::string& sender, const std::vector<pace_notice>& notices,
                                   time_point now);
    /** Erases the factors without recent evidence. \return the reported changes, with those of processes that
     * are no longer listed */
    std::vector<pace_change> end_old_factors(time_point now);
    /** \return at most \p max_count of this host's measurements, the next ones with each call; none while
     * all endpoints appear to be alike. */
    std::vector<pace_notice> next_to_gossip(std::size_t max_count, time_point now);
    /** \return the time that \p endpoint takes for an event, relative to the median endpoint, 0.5 to 4; 1
     * without enough evidence. */
    double factor(const std::string& endpoint, time_point now) const;

private:
    /// A mean whose observations lose weight with time.
    struct decaying_mean {
        double sum = 0;
        double weight = 0;
        time_point at;
        void add(double value, double its_weight, time_point now);
        double weight_at(time_point now) const;
        double mean() const { return weight > 0 ? sum / weight : 1.0; }
    };
    struct measured_endpoint {
        std::uint32_t process = 0;
        std::string pool;
        std::map<std::string, decaying_mean> ms_per_event; ///< by model
        decaying_mean own;                                 ///< ratios to the median, of this host
        std::map<std::string, decaying_mean> heard;        ///< ratios to the median, by sender
        bool is_reported = false;
    };
    struct listed_endpoint {
        std::string name;
        std::string pool;
    };
    struct known_factor {
        double factor = 1;
        time_point until;
    };
    struct median_time {
        std::optional<double> ms; ///< nothing if too few endpoints have recent streams
        time_point until;
    };
    /** \return the median time for an event over the endpoints of \p pool with recent streams, or nothing if
     * there are too few. */
    std::optional<double> median_of(const std::string& pool, const std::string& model, time_point now);
    /** Replaces what \p sender said of an endpoint. */
    static void hear(measured_endpoint& endpoint, const std::string& sender, const pace_notice& notice,
                     time_point now);
    /** Sets the factor of an endpoint by its evidence; appends to \p changes if that is reported. */
    void renew_factor(const std::string& name, measured_endpoint& endpoint, time_point now,
                      std::vector<pace_change>& changes);
    bool appear_alike(time_point now) const;

    std::unordered_map<std::uint32_t, listed_endpoint> listed_;          ///< by process
    std::map<std::string, measured_endpoint> measured_;                  ///< by endpoint name
    std::map<std::pair<std::string, std::string>, median_time> medians_; ///< by pool and model
    std::unordered_map<std::string, known_factor> factors_;              ///< those that are not 1
    std::vector<pace_change> ended_; ///< of processes that are no longer listed, not reported yet
    std::string last_gossiped_;
};

} // namespace laurelhoist
