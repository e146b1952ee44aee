/** \file
 * Defines the traffic configuration as the relay reads it: routes, services, teams and the limits of what
 * callers may send. Values only; \ref routing_table adds the lookups.
 */
#pragma once

#include "base/base.h"

#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/** What may be repeated of a request. */
enum class route_kind {
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once for each attempt of the caller
    stream,         ///< answered by server-sent events; may be repeated only if it may be resumed
};

/** One destination of a route and its weight among the others. */
struct weighted_service {
    std::string service;
    int weight = 1;
};

/** Where requests go, by host and longest path prefix. */
struct traffic_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false;              ///< a stream that another endpoint may go on with
    duration timeout{};                     ///< the longest time that a caller is kept waiting
    duration latency_objective{};           ///< to the whole answer; of a stream, to its first event
    duration gap_objective{};               ///< the longest pause between two events
    int priority = 0;                       ///< 0 is the most urgent
    int max_attempts = 1;                   ///< endpoints that one request may be sent to
    bool allows_anonymous = false;          ///< no key needed
    std::vector<std::string> models;        ///< smallest first; empty: the caller names the model
    std::vector<weighted_service> services; ///< at least one

    bool may_repeat() const {
        return kind == route_kind::idempotent || (kind == route_kind::stream && is_resumable);
    }
};

/** What the engines of a service are like. */
struct engine_profile {
    int slots = 0; ///< requests that run at once on one endpoint
    std::vector<std::string> models;
};

struct traffic_service {
    std::string name;
    std::optional<engine_profile> engine; ///< none: a plain service
    /// For how long an endpoint is cold after its start.
    duration cold_time{};
    /// Requests that a cold endpoint tolerates from all hosts; 0: none is ever cold.
    double cold_requests_per_s = 0;
};

/** Bounds of what callers may send, and how long they may take. */
struct caller_limits {
    std::size_t header_bytes = 16 << 10;
    std::size_t body_bytes = 4 << 20;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

struct traffic_team {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the route's
};

struct traffic_config {
    std::int64_t version = 0;  ///< the operators' number
    std::int64_t revision = 0; ///< the store's, by which two configurations are ordered
    std::vector<traffic_route> routes;
    std::vector<traffic_service> services;
    caller_limits limits;
    std::vector<traffic_team> teams; ///< none: requests need no key
};

} // namespace laurelhoist
