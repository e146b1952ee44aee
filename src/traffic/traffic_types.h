/** \file
 * Defines the traffic configuration of the relay: routes, services, teams and the limits on what callers may
 * send. These are plain values; \ref routing_table adds the lookups.
 */
#pragma once

#include "base/base.h"

#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/** Whether and how a request may be retried. */
enum class route_kind {
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once per attempt of the caller
    stream,         ///< answered by server-sent events; may be retried only if it is resumable
};

/** One destination of a route, with its weight in the traffic split. */
struct weighted_service {
    std::string service;
    int weight = 1;
};

/** The destination and the rules of requests with a given host and path prefix. */
struct traffic_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false;     ///< whether another endpoint may continue the stream
    duration timeout{};            ///< maximum time that a caller waits
    duration latency_objective{};  ///< target time to the complete answer, or to the first event of a stream
    duration gap_objective{};      ///< target for the longest pause between two events
    int priority = 0;              ///< 0 is the most urgent
    int max_attempts = 1;          ///< maximum number of times that a request is sent to an endpoint
    bool allows_anonymous = false; ///< whether requests without a key are accepted
    std::vector<std::string> models;        ///< smallest first; if empty, the caller names the model
    std::vector<weighted_service> services; ///< at least one

    /** \return whether a request that may have run may be sent again. */
    bool may_repeat() const {
        return kind == route_kind::idempotent || (kind == route_kind::stream && is_resumable);
    }
};

/** Capacity and models of the engines of a service. */
struct engine_profile {
    int slots = 0; ///< concurrent requests on one endpoint
    std::vector<std::string> models;
};

/** A service that routes send requests to. */
struct traffic_service {
    std::string name;
    std::optional<engine_profile> engine; ///< unset for a plain service
    /// How long an endpoint counts as cold after its start.
    duration cold_time{};
    /// Rate limit of a cold endpoint over all hosts; at 0, no endpoint counts as cold.
    double cold_requests_per_s = 0;
};

/** Limits on the size of requests and on the time that callers take to send them. */
struct caller_limits {
    std::size_t header_bytes = 16 << 10;
    std::size_t body_bytes = 4 << 20;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

/** A team of callers and its API keys. */
struct traffic_team {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides the priority of the route
};

/** One version of the traffic configuration. */
struct traffic_config {
    std::int64_t version = 0;  ///< version number assigned by the operators
    std::int64_t revision = 0; ///< revision assigned by the store, which orders configurations
    std::vector<traffic_route> routes;
    std::vector<traffic_service> services;
    caller_limits limits;
    std::vector<traffic_team> teams; ///< if empty, requests need no key
};

} // namespace laurelhoist
