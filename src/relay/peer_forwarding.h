/** \file
 * Chooses the host that takes over the requests of a service whose endpoints this host has lost.
 *
 * A request is forwarded once: the host that gets it handles it like a caller's own, with its quotas, limits
 * and retries, but never forwards it again. Only hosts that have not lost the service themselves are chosen,
 * so that nothing is forwarded where nobody reaches the endpoints.
 */
#pragma once

#include "membership/membership.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laurelhoist {

/** A host to forward a request to. */
struct forwarding_peer {
    std::string host;
    std::string address; ///< at which it accepts forwarded requests, ip:port
};
LAUREL_VALUE_TYPE(forwarding_peer, host, address)

/** The hosts that can take over requests, as this host knows them. No I/O; the time is an argument. */
class peer_forwarding {
public:
    /** \param host name of this host
     * \param domain its failure domain */
    peer_forwarding(std::string host, std::string domain, std::uint64_t seed)
        : host_{std::move(host)}, domain_{std::move(domain)}, random_{seed} {}

    /** Sets the port at which all hosts accept forwarded requests; 0: none does. */
    void set_port(std::uint16_t port) { port_ = port; }
    /** Takes the live hosts; to be called a few times a second. */
    void set_hosts(std::vector<host_status> hosts) { hosts_ = std::move(hosts); }

    /** \return the host to forward a request of \p pool to, or nothing if no other one reaches its endpoints
     * \param avoided names of hosts that have already failed this request
     * \param allowed names of the only hosts that may be chosen; empty: any */
    std::optional<forwarding_peer> choose(const std::string& pool, const std::set<std::string>& avoided,
                                          const std::set<std::string>& allowed, time_point now);
    void on_forwarded(const std::string& host) { ++loads_[host].in_flight; }
    /** \param has_answered whether the host answered, even if it refused */
    void on_ended(const std::string& host, bool has_answered, time_point now);

private:
    struct peer_load {
        int in_flight = 0; ///< requests that this host has forwarded there
        time_point avoided_until;
    };

    std::vector<const host_status*> candidates(const std::string& pool, const std::set<std::string>& avoided,
                                               const std::set<std::string>& allowed, time_point now) const;

    std::string host_;
    std::string domain_;
    random_source random_;
    std::uint16_t port_ = 0;
    std::vector<host_status> hosts_;
    std::map<std::string, peer_load> loads_; ///< by host name
};

} // namespace laurelhoist
