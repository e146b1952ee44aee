/** \file
 * Defines how many requests a cold endpoint may get, and from which hosts.
 *
 * An endpoint is cold for some seconds after it starts: it then takes a few requests a second and breaks down
 * under more. The bound holds for all hosts together, also for those that do not hear of one another.
 *
 * Load pattern: the 28 engines of a failure domain come back at once beside 84 busy ones. All 77 hosts see
 * them idle and send there: 25 to 29 requests in a second to one engine that takes 12.
 *
 * So each cold endpoint has a few sponsors, picked by rendezvous hash among the hosts of its failure domain;
 * each sends to it at a fixed pace, all other hosts leave it out until it is warm.
 */
#pragma once

#include "placement/sponsors.h"

#include <map>
#include <set>

namespace laurelhoist {

/** What the operators say of a service's cold endpoints. */
struct cold_start {
    duration cold_time{};          ///< from the endpoint's start
    double requests_per_s = 0; ///< that a cold endpoint tolerates; 0: the service has no cold endpoints
};

/** The operators' bound on requests that reach one cold endpoint within a second, from all hosts. */
struct cold_bound {
    double overage = 1.5; ///< times what the endpoint tolerates
    double slack = 5;     ///< requests on top of that
};

class cold_endpoints;

/** How the allowance of a cold endpoint is shared out over hosts. */
struct cold_sharing_policy {
    const char* name;
    /// The time between two requests of this host to the endpoint, or nothing if it must send none.
    std::optional<duration> (cold_endpoints::*spacing)(const endpoint_record&, double allowance,
                                                       const host_view&) const;
};

/** The cold endpoints, as one host sees them. No I/O; the time is an argument. */
class cold_endpoints {
public:
    /** \param host its name \param sharing by name, "sponsors" if there is none such; \ref sharing_names */
    cold_endpoints(std::string host, const cold_bound& bound, const std::string& sharing = "sponsors");

    void set_services(std::map<std::string, cold_start> services) { services_ = std::move(services); }
    /** Takes the endpoints as the store lists them. An entry counts from the moment at which it is first seen
     * here, as it does not say when it was written. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Takes the hosts; to be called a few times a second. */
    void set_hosts(const host_view& view, time_point now);

    /** Nothing listened at \p endpoint \p age ago: its process has ended, and when it is back it is cold,
     * which the store says up to three seconds later.
     * \return whether that is news here */
    bool on_refused(const std::string& endpoint, duration age, time_point now);
    /** Endpoints that refused connections within \ref refused_cold_time, and how long ago. */
    std::map<std::string, duration> refused(time_point now) const;
    /** Requests may go to the failure domain \p domain again; its endpoints may have become cold. */
    void on_readmitted(const std::string& domain, time_point now);

    bool is_cold(const std::string& endpoint, time_point now) const;
    /** \return whether this host may send a request to \p endpoint now. */
    bool may_send(const std::string& endpoint, time_point now) const;
    /** \return whether this host will be able to within \p max_wait. */
    bool may_send_within(const std::string& endpoint, duration max_wait, time_point now) const;
    void on_sent(const std::string& endpoint, time_point now);
    /** \return for how long the first of the cold endpoints of \p service stays so, or nothing if there are
     * none. */
    std::optional<duration> first_warm_in(const std::string& service, time_point now) const;

    /** \see cold_sharing_policy::spacing; a pace for two hosts of the endpoint's failure domain. */
    std::optional<duration> spacing_of_sponsors(const endpoint_record& endpoint, double allowance,
                                                const host_view& view) const;
    /** An even part for each. Keeps the bound in the mean only: for experiments. */
    std::optional<duration> spacing_of_all_hosts(const endpoint_record& endpoint, double allowance,
                                                 const host_view& view) const;
    /** For experiments: where all endpoints are cold, nobody is served. */
    std::optional<duration> spacing_of_no_host(const endpoint_record& endpoint, double allowance,
                                              const host_view& view) const;

private:
    struct known_endpoint {
        endpoint_record record;
        time_point warm_at;
        std::optional<time_point> refused_at;
        std::optional<duration> spacing; ///< \see cold_sharing_policy::spacing
        time_point next_send;            ///< not before
    };

    time_point cold_until(const known_endpoint& endpoint) const;
    const known_endpoint* find_cold(const std::string& endpoint, time_point now) const;
    double allowance_of(const std::string& service) const;
    void assign(known_endpoint& endpoint, const host_view& view, time_point now);

    std::string host_;
    cold_bound bound_;
    const cold_sharing_policy* sharing_;
    std::map<std::string, cold_start> services_;
    std::map<std::string, known_endpoint> endpoints_; ///< of services that have cold ones
};

/** \return whether the allowance can be shared in the way called \p name. */
bool is_cold_sharing(const std::string& name);
/** \return the names of the ways to share the allowance, separated by commas. */
std::string cold_sharing_names();

/// How long an endpoint that refused a connection counts as cold. Its process may be back at once, or as late
/// as its entry cold_time, 3.6 s; it writes the entry anew within 1.2 s, which reaches the last host 2 s later.
/// An entry that has lapsed is written anew as well, and says itself how cold the endpoint is.
constexpr duration refused_cold_time = milliseconds(6800);

} // namespace laurelhoist
