/** \file
 * Limits how many requests a cold endpoint gets, and from which hosts.
 *
 * An endpoint is cold for some seconds after it starts: during that time it takes only a few requests a
 * second and fails under more. The bound applies to all hosts together, including hosts that do not hear of
 * one another.
 *
 * Load pattern: the 28 engines of a failure domain restart at once beside 84 busy ones. All 77 hosts see them
 * idle and send there: an engine that takes 12 requests a second gets 25 to 29.
 *
 * Each cold endpoint therefore has two sponsors, chosen by rendezvous hashing among the hosts of its failure
 * domain. Each sponsor sends to it at a fixed rate; all other hosts do not use it until it is warm.
 */
#pragma once

#include "placement/sponsors.h"

#include <map>
#include <set>

namespace laurelhoist {

/** The configured cold start of a service's endpoints. */
struct cold_start {
    duration cold_time{};      ///< how long an endpoint is cold after its start
    double requests_per_s = 0; ///< rate that a cold endpoint tolerates; 0: the service has no cold endpoints
};

/** Bound on the requests that reach one cold endpoint within any second, from all hosts together:
 * cold_start::requests_per_s * overage + slack. */
struct cold_bound {
    double overage = 1.5; ///< multiple of the rate that the endpoint tolerates
    double slack = 5;     ///< additional requests
};

class cold_endpoints;

/** A policy that divides the allowance of a cold endpoint among hosts. */
struct cold_sharing_policy {
    const char* name;
    /// Returns the interval between two requests of this host to the endpoint, or nothing if it must not
    /// send.
    std::optional<duration> (cold_endpoints::*spacing)(const endpoint_record&, double allowance,
                                                       const host_view&) const;
};

/** The cold endpoints, as one host sees them. No I/O; the time is an argument. */
class cold_endpoints {
public:
    /** \param host name of this host
     * \param sharing name of the sharing policy, see \ref cold_sharing_names; an unknown name means
     * "sponsors" */
    cold_endpoints(std::string host, const cold_bound& bound, const std::string& sharing = "sponsors");

    void set_services(std::map<std::string, cold_start> services) { services_ = std::move(services); }
    /** Takes the endpoints as the store lists them. The cold time in an entry counts from the moment at which
     * this host first sees the entry, because an entry does not state when it was written. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Takes the live hosts and reassigns the rates of cold endpoints; to be called a few times a second. */
    void set_hosts(const host_view& view, time_point now);

    /** Records that \p endpoint refused a connection \p age ago: its process has ended, and once restarted
     * the endpoint is cold, which the store shows up to three seconds later. \return whether other hosts
     * should be told: the refusal was not known or is much newer than the one known
     */
    bool on_refused(const std::string& endpoint, duration age, time_point now);
    /** Forgets that \p endpoint refused a connection, because only this host's links were lost. */
    void forget_refusal(const std::string& endpoint);
    /** \return the endpoints that refused a connection within \ref refused_cold_time, and how long ago. */
    std::map<std::string, duration> refused(time_point now) const;
    /** \return at most \p max_count of \ref refused, the next ones with each call, for hosts that missed
     * them. */
    std::map<std::string, duration> next_refused(std::size_t max_count, time_point now);
    /** Treats the endpoints of the failure domain \p domain as cold, because its evacuation has been revoked
     * and they may have been restarted meanwhile. */
    void on_readmitted(const std::string& domain, time_point now);

    bool is_cold(const std::string& endpoint, time_point now) const;
    /** \return whether this host may send a request to \p endpoint now. */
    bool may_send(const std::string& endpoint, time_point now) const;
    /** \return whether this host may send a request to \p endpoint within \p max_wait. */
    bool may_send_within(const std::string& endpoint, duration max_wait, time_point now) const;
    void on_sent(const std::string& endpoint, time_point now);
    /** \return the time until the first of the cold endpoints of \p service is warm, or nothing if none is
     * cold. */
    std::optional<duration> first_warm_in(const std::string& service, time_point now) const;

    /** Policy "sponsors": the sponsors share the allowance, all other hosts send nothing.
     * \see cold_sharing_policy::spacing */
    std::optional<duration> spacing_of_sponsors(const endpoint_record& endpoint, double allowance,
                                                const host_view& view) const;
    /** Policy "all", for experiments: every host gets an even share. Keeps the bound only on average. */
    std::optional<duration> spacing_of_all_hosts(const endpoint_record& endpoint, double allowance,
                                                 const host_view& view) const;
    /** Policy "none", for experiments: no host sends to a cold endpoint, so no request is served while all
     * endpoints are cold. */
    std::optional<duration> spacing_of_no_host(const endpoint_record& endpoint, double allowance,
                                               const host_view& view) const;

private:
    struct known_endpoint {
        endpoint_record record;
        time_point warm_at;
        std::optional<time_point> refused_at;
        std::optional<duration> spacing; ///< interval between requests of this host; nothing: it sends none
        time_point next_send;            ///< earliest time of this host's next request
    };

    time_point cold_until(const known_endpoint& endpoint) const;
    const known_endpoint* find_cold(const std::string& endpoint, time_point now) const;
    double allowance_of(const std::string& service) const;
    void assign(known_endpoint& endpoint, const host_view& view, time_point now);

    std::string host_;
    cold_bound bound_;
    const cold_sharing_policy* sharing_;
    std::map<std::string, cold_start> services_;
    std::map<std::string, known_endpoint> endpoints_; ///< by name; only of services with a cold start
    std::string last_refused_named_;                  ///< last name that \ref next_refused returned
};

/** \return whether \p name is the name of a sharing policy. */
bool is_cold_sharing(const std::string& name);
/** \return the names of the sharing policies, separated by commas. */
std::string cold_sharing_names();

/// How long an endpoint that refused a connection counts as cold: 3.6 s + 1.2 s + 2 s. Its process restarts
/// at any time until its entry in the store expires after 3.6 s; it rewrites the entry within 1.2 s, and the
/// last host reads that 2 s later. After a later restart the new entry states how long the endpoint is cold.
constexpr duration refused_cold_time = milliseconds(6800);

} // namespace laurelhoist
