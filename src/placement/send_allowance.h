/** \file
 * Defines whether this host may send a request to an endpoint now, for reasons beyond the endpoint's own
 * standing: what operators have ordered, what the endpoint has statement of itself, and what its state bears.
 *
 * Everything that is placed asks here: first and later attempts, steps up to a larger model, resumed streams,
 * trials of a release, calls of plain services and what has waited. All reasons have to allow it, so that the
 * strictest binds where several apply.
 */
#pragma once

#include "membership/evacuation_set.h"
#include "placement/back_offs.h"
#include "placement/cold_endpoints.h"
#include "placement/leaving_endpoints.h"
#include "placement/rate_limits.h"

namespace laurelhoist {

/** What an endpoint says of itself with one answer. */
struct endpoint_statement {
    /// Requests a second that it takes from all hosts together; nothing: it names no limit.
    std::optional<double> rate_limit{};
    /// For how long it wants nothing more from this host; nothing: it asks for no rest.
    std::optional<duration> back_off{};
    bool is_leaving = false; ///< it is about to end
};

/** What a statement has changed here. */
struct statement_effects {
    bool is_limit_changed = false; ///< another limit holds, or none any more
    bool has_back_off = false;
    bool is_newly_leaving = false;
};

/** Why an endpoint gets no request of this host now. */
enum class exclusion {
    none,
    evacuated,    ///< operators want nothing sent to its failure domain
    leaving,      ///< it has statement itself that it is leaving
    back_off,     ///< it has asked this host for rest
    rate_limited, ///< it names a limit, and this host's next turn has not come
    cold,         ///< it has just started, and this host's next turn has not come
};

const char* to_string(exclusion reason);

/** The endpoints that may be sent to, as one host knows them. No I/O; the time is an argument. */
class send_allowance {
public:
    /** \param host its name \param cold of the same host */
    send_allowance(std::string host, cold_endpoints cold);

    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Takes the live hosts; to be called a few times a second. */
    void set_hosts(const host_view& view, time_point now);
    /** Sets the failure domains whose endpoints get nothing more; those of domains that are in use again
     * count as cold. */
    void set_evacuated(const evacuation_set& evacuated, time_point now);

    /** \return the first reason not to send to \p endpoint that lasts for longer than \p max_wait */
    exclusion exclusion_of(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    /** \return whether something became known after \p chosen_at that forbids to send to \p endpoint. */
    bool is_excluded_since(const endpoint_record& endpoint, time_point chosen_at) const;
    /** \return after what time an endpoint of \p service that is cold, limited or resting now may get a
     * request, or nothing if none is */
    std::optional<duration> time_until_available(const std::string& service, time_point now) const;
    void on_sent(const std::string& endpoint, time_point now);
    /** Takes what \p endpoint says in its answer to a request that was sent at \p sent_at. */
    statement_effects note(const endpoint_record& endpoint, const endpoint_statement& statement, time_point sent_at,
                        time_point now);

    cold_endpoints& cold() { return cold_; }
    const cold_endpoints& cold() const { return cold_; }
    rate_limits& limits() { return limits_; }
    const rate_limits& limits() const { return limits_; }

private:
    struct exclusion_check {
        exclusion reason;
        bool (send_allowance::*allows)(const endpoint_record&, duration max_wait, time_point now) const;
    };
    static const exclusion_check exclusion_checks[];

    bool is_not_evacuated(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_not_leaving(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_past_back_off(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_within_rate_limit(const endpoint_record& endpoint, duration max_wait, time_point now) const;
    bool is_within_cold_limit(const endpoint_record& endpoint, duration max_wait, time_point now) const;

    cold_endpoints cold_;
    rate_limits limits_;
    back_offs back_offs_;
    leaving_endpoints leaving_;
    evacuation_set evacuated_;
};

} // namespace laurelhoist
