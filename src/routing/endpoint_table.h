/** \file
 * Defines what an entry knows of its endpoints and how it chooses one.
 */
#pragma once

#include "chart/chart.h"
#include "membership/membership.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace laurelhoist {

/** What an endpoint says of itself with an answer. Late by nature; a hint, never truth. */
struct load_report {
    int running = -1; ///< requests it runs, all entries' together; negative: not said
    int queued = 0;
    std::vector<std::string> versions; ///< model@version loaded; empty: not said
};
LAUREL_VALUE_TYPE(load_report, running, queued, versions)

/** How a call ended, for the endpoint's standing. */
enum class call_result {
    answered,
    refused_not_run, ///< refused with the certainty that nothing ran (no connection, not loaded, busy)
    leaving,         ///< the endpoint says that it is leaving
    failed,
    cancelled,
};

/** A criteria for an endpoint. */
struct endpoint_criteria {
    std::string pool;
    std::string version;            ///< model@version, empty for services
    std::string prefix;             ///< of the prompt, for the prefix cache; empty: none
    std::set<std::string> avoided;  ///< endpoints that have failed this request
    std::string release{};          ///< of the endpoint's software; empty: any
    std::string excluded_release{}; ///< that the endpoint's software must not be; empty: none
    double endpoint_share = 1.0;    ///< of the endpoints that fit, the same ones on every host; at least one
};

/** Whether an endpoint that takes work may be given some, for reasons beyond its own standing. */
using endpoint_filter = std::function<bool(const endpoint_record&)>;

/** How an endpoint is chosen; the experiment program compares them. */
enum class endpoint_policy { least_expected_latency, round_robin, random, least_in_flight };

/** The endpoints of one entry. */
class endpoint_table {
public:
    /** \param lifecycle charts/endpoint.scxml */
    endpoint_table(chart lifecycle, std::uint64_t seed, endpoint_policy policy = endpoint_policy::least_expected_latency);

    /** Takes the list as the stewards push it; endpoints missing from it are gone. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Sets how many requests one endpoint of \p pool runs before it slows, and how many entries share it. */
    void set_slots(const std::string& pool, int slots, std::size_t sharers);
    /** Notes, before the list says so, that an endpoint is leaving. */
    void mark_leaving(const std::string& name, time_point now);

    /** \return the endpoint to call, or nothing if every one is full or out. */
    std::optional<endpoint_record> choose(const endpoint_criteria& criteria, time_point now,
                                          const endpoint_filter& may_be_used = nullptr);
    /** \return the endpoints that may be called for \p criteria now; empty if every one is full or out.
     * \param may_be_used leaves out others before a share of them is taken; null: none */
    std::vector<endpoint_record> eligible(const endpoint_criteria& criteria, time_point now,
                                          const endpoint_filter& may_be_used = nullptr);
    /** \return whether \p name may be given new work. */
    bool takes_work(const std::string& name) const;
    /** \return whether some endpoint of \p pool, full or not, serves \p version now or very soon. */
    bool could_serve(const std::string& pool, const version_name& version, time_point now,
                     const endpoint_filter& may_be_used = nullptr) const;

    void on_call_started(const std::string& name, const endpoint_criteria& criteria, time_point now);
    void on_call_ended(const std::string& name, call_result result, duration took, time_point now);
    void on_load_report(const std::string& name, const load_report& report, time_point now);
    /** Notes that \p name said it does not have \p version. */
    void on_version_missing(const std::string& name, const version_name& version, time_point now);

    int in_flight(const std::string& pool) const;
    /** \return requests that the pool's endpoints together take now from this entry. */
    double capacity(const std::string& pool) const;
    /** \return the smoothed time of an answer of \p pool in milliseconds, 0 if unknown. */
    double average_latency_ms(const std::string& pool) const;
    std::size_t size() const { return endpoints_.size(); }

private:
    /** Bounds of the requests that this entry has in flight at one endpoint of a pool. */
    struct limit_range {
        double fair = 2; ///< this entry's even share of the slots; never below, or slots would idle
        double initial = 4;
        double largest = 8;
    };
    struct prefix_hint {
        std::uint64_t prefix = 0;
        time_point used_at;
    };
    struct endpoint_state {
        endpoint_record record;
        std::string state;
        int in_flight = 0;
        double limit = 4;
        double average_latency_ms = 0;
        int failures = 0;
        time_point ejected_until;
        load_report report;
        time_point reported_at;
        int in_flight_at_report = 0;
        time_point leaving_since;
        std::map<version_name, time_point> missing_until;
        std::deque<prefix_hint> prefixes;
    };

    void apply_event(endpoint_state& endpoint, const std::string& event);
    bool is_eligible(endpoint_state& endpoint, const endpoint_criteria& criteria, time_point now);
    bool has_version(const endpoint_state& endpoint, const version_name& version, time_point now) const;
    bool has_prefix(const endpoint_state& endpoint, const std::string& prefix, time_point now) const;
    double expected_latency_ms(const endpoint_state& endpoint, time_point now) const;
    endpoint_state* choose_by_expected_latency(const std::vector<endpoint_state*>& eligible, const endpoint_criteria& criteria,
                                time_point now);
    void eject(endpoint_state& endpoint, time_point now);
    void adapt_limit(endpoint_state& endpoint);
    limit_range limits_of(const std::string& pool) const;
    double lowest_average_latency_ms(const std::string& pool) const;

    chart lifecycle_;
    random_source random_;
    endpoint_policy policy_;
    std::size_t round_robin_index_ = 0;
    std::map<std::string, endpoint_state> endpoints_;
    std::map<std::string, limit_range> limits_;
};

} // namespace laurelhoist
