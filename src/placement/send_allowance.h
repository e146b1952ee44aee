/** \file
 * Decides whether this host may send a request to an endpoint now, beyond the endpoint's health: whether its
 * failure domain is evacuated, whether it announced that it is leaving, asked for backoff or stated a rate
 * limit, and whether it is cold.
 *
 * Every placement is checked here: first attempts and retries, steps up to a larger model, resumed streams,
 * trials of a release, calls of plain services and queued requests. All checks have to pass, so that the
 * strictest one binds.
 */
#pragma once

#include "membership/endpoint_reach.h"
#include "membership/evacuation_set.h"
#include "placement/back_offs.h"
#include "placement/brittle_endpoints.h"
#include "placement/cold_endpoints.h"
#include "placement/leaving_endpoints.h"
#include "placement/rate_limits.h"

namespace laurelhoist {

/** The statements that an endpoint makes about itself in one answer. */
struct endpoint_statement {
    /// Requests per second that it takes from all hosts together; nothing: no limit.
    std::optional<double> rate_limit{};
    /// For how long it wants no further requests from this host; nothing: no backoff.
    std::optional<duration> back_off{};
    bool is_leaving = false; ///< the endpoint is about to stop
    /// Requests that it can reject in a second without ending; nothing: any number.
    std::optional<double> rejections_per_s{};
};

/** The changes that an \ref endpoint_statement caused on this host. */
struct statement_effects {
    bool is_limit_changed = false;       ///< \see rate_limits::note
    bool has_back_off = false;           ///< the statement asked for a backoff
    bool is_brittleness_changed = false; ///< its pool is brittle now, or no longer
    bool is_newly_leaving = false;       ///< the endpoint was not known to be leaving
};

/** The reason why this host sends an endpoint no request now. */
enum class exclusion {
    none,
    unreachable,  ///< this host has lost its pool and could not connect to it
    evacuated,    ///< operators have ordered the evacuation of its failure domain
    leaving,      ///< it has announced that it is leaving
    back_off,     ///< it has asked this host for a backoff that is not over
    rate_limited, ///< it has stated a rate limit, and this host may not send its next request yet
    brittle,      ///< a rejection could end it, and this host holds no free permit of it
    cold,         ///< it is cold, and this host may not send its next request yet
};

const char* to_string(exclusion reason);

/** All reasons of one host for not sending to an endpoint. No I/O; the time is an argument. */
class send_allowance {
public:
    /** \param host name of this host
     * \param cold cold endpoints as this host sees them */
    send_allowance(std::string host, cold_endpoints cold);

    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Takes the live hosts; to be called a few times a second. */
    void set_hosts(const host_view& view, time_point now);
    /** Sets the failure domains whose endpoints get no requests. Endpoints of domains that are no longer
     * evacuated count as cold. */
    void set_evacuated(const evacuation_set& evacuated, time_point now);

    /** \return the first reason that forbids sending to \p endpoint for longer than \p max_wait */
    exclusion exclusion_of(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    /** \return whether this host has learned, at or after \p chosen_at, of a rate limit, a backoff or a leave
     * announcement of \p endpoint. */
    bool is_excluded_since(const endpoint_record& endpoint, time_point chosen_at) const;
    /** \return the estimated time until an endpoint of \p service that is cold, rate limited or in a backoff
     * period may get a request, or nothing if there is no such endpoint */
    std::optional<duration> time_until_available(const std::string& service, time_point now) const;
    void on_sent(const std::string& endpoint, time_point now);
    /** Records that the answer to a request has begun, or that the request has ended without one. */
    void on_answered(const std::string& endpoint) { brittle_.on_answered(endpoint); }
    void on_rejected(const std::string& endpoint, time_point now) { brittle_.on_rejected(endpoint, now); }
    /** Takes the statements of \p endpoint in its answer to a request that was sent at \p sent_at. */
    statement_effects note(const endpoint_record& endpoint, const endpoint_statement& statement,
                           time_point sent_at, time_point now);

    cold_endpoints& cold() { return cold_; }
    const cold_endpoints& cold() const { return cold_; }
    endpoint_reach& reach() { return reach_; }
    const endpoint_reach& reach() const { return reach_; }
    const brittle_endpoints& brittle() const { return brittle_; }
    rate_limits& limits() { return limits_; }
    const rate_limits& limits() const { return limits_; }

private:
    struct exclusion_check {
        exclusion reason;
        bool (send_allowance::*allows)(const endpoint_record&, duration max_wait, time_point now) const;
    };
    static const exclusion_check exclusion_checks[];

    bool is_reachable(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_not_evacuated(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_not_leaving(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_past_back_off(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_within_rate_limit(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_permitted(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_within_cold_limit(const endpoint_record& endpoint, duration max_wait, time_point now) const;

    endpoint_reach reach_;
    cold_endpoints cold_;
    rate_limits limits_;
    back_offs back_offs_;
    leaving_endpoints leaving_;
    brittle_endpoints brittle_;
    evacuation_set evacuated_;
};

} // namespace laurelhoist
