/** \file
 * Defines the state that an entry keeps of each endpoint, and the choice of an endpoint for a request.
 */
#pragma once

#include "chart/chart.h"
#include "membership/membership.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace laurelhoist {

/** Load that an endpoint reports with an answer. It is out of date on arrival, so it is only a hint. */
struct load_report {
    int running = -1; ///< requests that it runs for all entries together; negative: not reported
    int queued = 0;   ///< requests that wait in the endpoint's own queue
    std::vector<std::string> versions; ///< loaded versions as model@version; empty: not reported
};
LAUREL_VALUE_TYPE(load_report, running, queued, versions)

/** How a call to an endpoint ended. */
enum class call_result {
    answered,
    refused_not_run, ///< refused, and certainly not executed (no connection, version not loaded, busy)
    leaving,         ///< the endpoint says that it is shutting down
    failed,
    unanswered, ///< no connection, answer or event within the time limit, which a short pause explains
    cancelled,
};

/** What an endpoint must satisfy to serve a request. */
struct endpoint_criteria {
    std::string pool;
    std::string version;            ///< model@version; empty for services without versions
    std::string prefix;             ///< prefix of the prompt, for the endpoint's prefix cache; empty: none
    std::set<std::string> avoided;  ///< names of endpoints that have already failed this request
    std::string release{};          ///< software release that the endpoint must run; empty: any
    std::string excluded_release{}; ///< software release that the endpoint must not run; empty: none
    /// Share of the matching endpoints to use: the same ones on every host, at least one.
    double endpoint_share = 1.0;
    bool uses_single_endpoint = false; ///< only the first endpoint of those of \ref endpoint_share
};

/** Tells whether an endpoint that accepts work may be used, by rules beyond the endpoint's own state. */
using endpoint_filter = std::function<bool(const endpoint_record&)>;

/** How an endpoint is chosen. The benchmark program compares the policies. */
enum class endpoint_policy { least_expected_latency, round_robin, random, least_in_flight };

/** The endpoints that one entry knows, with their health, load and cached prefixes. */
class endpoint_table {
public:
    /** \param lifecycle the state machine of an endpoint, charts/endpoint.scxml */
    endpoint_table(chart lifecycle, std::uint64_t seed,
                   endpoint_policy policy = endpoint_policy::least_expected_latency);

    /** Replaces the list of endpoints. One that is missing is dropped as soon as its calls have ended. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Sets how many requests an endpoint of \p pool runs before it slows down, and how many entries share
     * each endpoint. */
    void set_slots(const std::string& pool, int slots, std::size_t sharers);
    /** Records that an endpoint is shutting down, possibly before the list shows it. */
    void mark_leaving(const std::string& name, time_point now);

    /** \return the endpoint to call, or nothing if none matches with room for a request. */
    std::optional<endpoint_record> choose(const endpoint_criteria& criteria, time_point now,
                                          const endpoint_filter& may_be_used = nullptr);
    /** \return the endpoints that may be called for \p criteria now; empty if none matches with room.
     * \param may_be_used excludes endpoints before the share is taken; null: excludes none */
    std::vector<endpoint_record> eligible(const endpoint_criteria& criteria, time_point now,
                                          const endpoint_filter& may_be_used = nullptr);
    /** \return whether \p name is live or probing, and so may get new requests. */
    bool takes_work(const std::string& name) const;
    /** \return whether some endpoint of \p pool, full or not, can serve \p version now or within 0.5 s. */
    bool could_serve(const std::string& pool, const version_name& version, time_point now,
                     const endpoint_filter& may_be_used = nullptr) const;

    void on_call_started(const std::string& name, const endpoint_criteria& criteria, time_point now);
    /** Records that a part of a streamed answer has arrived. A probe whose stream has gone on for as long as
     * answers usually take ends the probing: streams may last many times that.
     * \param took time since the call started */
    void on_call_progress(const std::string& name, duration took);
    void on_call_ended(const std::string& name, call_result result, duration took, time_point now);
    /** Ends the ejections in \p pool, whose endpoints failed because this host had lost its links. Each gets
     * a single request first. */
    void end_ejections(const std::string& pool, time_point now);
    void on_load_report(const std::string& name, const load_report& report, time_point now);
    /** Records that \p name answered that it has not loaded \p version. */
    void on_version_missing(const std::string& name, const version_name& version, time_point now);

    int in_flight(const std::string& pool) const;
    /** \return how many requests of this entry the endpoints of \p pool run at once under their limits. */
    double capacity(const std::string& pool) const;
    /** \return the mean over the endpoints of \p pool of their smoothed answer times, in milliseconds; 0 if
     * unknown. */
    double average_latency_ms(const std::string& pool) const;
    std::size_t size() const { return endpoints_.size(); }

private:
    /** Bounds of the concurrency limit: the requests that this entry has in flight at one endpoint. */
    struct limit_range {
        /// This entry's even share of the slots. A queue does not lower the limit further, or slots would
        /// idle.
        double fair = 2;
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
        time_point silent_since; ///< when the first of the latest unanswered calls was made
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
    endpoint_state* choose_by_expected_latency(const std::vector<endpoint_state*>& eligible,
                                               const endpoint_criteria& criteria, time_point now);
    void record_failure(endpoint_state& endpoint, call_result result, duration took, time_point now);
    void eject(endpoint_state& endpoint, time_point now);
    void reinstate(endpoint_state& endpoint);
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
