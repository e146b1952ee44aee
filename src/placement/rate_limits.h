/** \file
 * Divides the rate limit that an endpoint states among the hosts that send to it.
 *
 * An overloaded endpoint states a limit in each answer, in requests per second from all hosts together. The
 * limit is in force until an answer states another one or none. Answers can arrive out of order, so a
 * statement carries the interval in which it was made: from the sending of the request to the arrival of the
 * answer's head. A stricter limit takes effect at once, a looser one only if it is certainly newer. What
 * holds does not depend on the order in which statements arrive, so that all hosts agree.
 *
 * Load pattern: seven hosts share 18 busy engines, two of which state a limit of two requests a second. These
 * two look idle, so both hosts of their failure domain send them four requests a second each, although they
 * hear of the limit with each answer.
 *
 * A limited endpoint therefore has sponsors, one more than the whole requests in its limit. Each sponsor
 * sends an even share of the limit at a fixed rate; all other hosts send nothing. The first answer that
 * states a limit is announced to all hosts. Example: an endpoint with a limit of 1.7 has two sponsors, each
 * of which sends a request every 1.18 s. A sponsor that falls behind may catch up on one request, or at high
 * rates on 250 ms of requests, and accumulates no further credit, so four seconds hold at most 6 times the
 * limit plus 2 requests. A limit below 0.5 counts as 0.5.
 */
#pragma once

#include "placement/sponsors.h"

#include <map>
#include <optional>
#include <set>

namespace laurelhoist {

/** The rate limit that an endpoint stated in one answer. */
struct limit_statement {
    std::optional<double> requests_per_s; ///< from all hosts together; nothing: no limit
    time_point sent_at;                   ///< when the request was sent; the statement was not made earlier
    time_point heard_at; ///< when the answer began to arrive; the statement was not made later
};

/** A \ref limit_statement as hosts exchange it, with ages in place of times because their clocks differ. */
struct limit_notice {
    std::uint32_t process = 0;  ///< \ref process_hash of the endpoint
    double requests_per_s = -1; ///< -1: the limit has been lifted
    std::int64_t sent_age_ms = 0;
    std::int64_t heard_age_ms = 0;
};
LAUREL_VALUE_TYPE(limit_notice, process, requests_per_s, sent_age_ms, heard_age_ms)

/** The statements of one endpoint that may be its last one.
 *
 * A statement is outdated once another one was certainly made later. The strictest of the others is in force.
 * Example: 2 requests a second, stated between 1000 and 1100 ms; 5, between 1050 and 1150 ms; no limit,
 * between 1120 and 1200 ms. The third is newer than the first, but perhaps older than the second: 5 holds. */
class limit_history {
public:
    /** Adds \p statement, unless it is outdated, and drops those that it makes outdated. */
    void add(const limit_statement& statement);
    /** \return the strictest limit that may be the last one stated, or nothing if it is certainly none. */
    std::optional<double> limit() const;
    /** \return whether no statement has arrived at or after \p time. */
    bool is_older_than(time_point time) const;
    /** \return the statements from which another host derives the same history. */
    std::vector<limit_statement> statements() const;

private:
    time_point newest_sent_; ///< latest \ref limit_statement::sent_at; what was heard before it is outdated
    /// In order of \ref limit_statement::heard_at; each is looser than those before it. A statement that is
    /// neither stricter nor later than another one makes no difference.
    std::vector<limit_statement> possible_;
};

/** The rate limits of the endpoints as one host knows them. No I/O; the time is an argument. */
class rate_limits {
public:
    /** \param host name of this host */
    explicit rate_limits(std::string host) : host_{std::move(host)} {}

    /** Takes the endpoints as the store lists them; a new process under a known name has no limit yet. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Takes the live hosts and reassigns sponsors; to be called a few times a second. */
    void set_hosts(const host_view& view, time_point now);

    /** Sets how many hosts use each endpoint of \p pool, for deployments in which a host uses only some
     * endpoints and does not know which ones others use. Every host that uses an endpoint is then a sponsor
     * of it. Takes effect with the next \ref set_hosts. */
    void set_sharers(const std::string& pool, std::size_t sharers);

    /** Takes the statement in an answer of \p endpoint.
     * \return whether a limit was set or lifted or changed by more than a tenth, so that other hosts should
     * be told at once */
    bool note(const endpoint_record& endpoint, const limit_statement& statement, time_point now);
    /** Takes statements that another host has received. Repeated ones and those that are certainly older than
     * the known one have no effect.
     * \return the listed endpoints whose limit was set or lifted or changed by more than a tenth */
    std::vector<std::string> merge(const std::vector<limit_notice>& notices, time_point now);
    /** \return the changes reported by \ref note since the last call, to be sent to all hosts at once */
    std::vector<limit_notice> take_pending(time_point now);
    /** \return up to \p max_count known limits, the next ones with each call, for hosts that missed them */
    std::vector<limit_notice> next_to_gossip(std::size_t max_count, time_point now);

    /** \return the requests per second that \p endpoint takes from all hosts together; nothing: no limit */
    std::optional<double> limit_of(const std::string& endpoint) const;
    /** \return whether this host may send a request to \p endpoint within \p max_wait. */
    bool may_send_within(const std::string& endpoint, duration max_wait, time_point now) const;
    void on_sent(const std::string& endpoint, time_point now);
    /** \return whether \p endpoint has a limit and this host learned of it, or of a change of it, at or after
     * \p chosen_at. */
    bool has_changed_since(const std::string& endpoint, time_point chosen_at) const;
    /** \return the estimated time until a limited endpoint of \p service takes a request from some host, or
     * nothing if none is limited */
    std::optional<duration> time_until_available(const std::string& service, time_point now) const;

private:
    /// The rate at which this host sends as one of the sponsors.
    struct pace {
        duration spacing{};
        time_point due; ///< scheduled time of the next request if every request is sent on schedule
    };
    struct known_limit {
        limit_history history;
        time_point changed_at;        ///< when this host last took a different limit
        bool is_pending = false;      ///< to be returned by \ref take_pending
        bool is_assigned = false;     ///< own_pace is up to date with the limit, the sharers and the hosts
        std::optional<pace> own_pace; ///< nothing: this host is not a sponsor
        time_point last_sent;
    };

    bool apply_statement(std::uint32_t process, const limit_statement& statement, time_point now);
    /** \return the number of shares into which the limit is divided if this host has one of them; otherwise 0
     */
    std::size_t shares_for_this_host(const endpoint_record& endpoint, double limit) const;
    void assign(known_limit& known, const endpoint_record& endpoint, time_point now) const;
    const endpoint_record* find_listed(std::uint32_t process) const;
    const known_limit* find_limited(const std::string& endpoint) const;
    void forget_old(time_point now);

    std::string host_;
    host_view view_;
    std::vector<endpoint_record> listed_;
    std::map<std::string, std::uint32_t> processes_;  ///< \ref process_hash of the listed endpoints, by name
    std::map<std::uint32_t, std::size_t> by_process_; ///< index in \ref listed_ by process code
    std::map<std::uint32_t, known_limit> known_limits_; ///< by process code; also of endpoints not listed yet
    std::map<std::string, std::size_t> sharers_;        ///< hosts that use an endpoint, by pool
    std::uint32_t last_gossiped_ = 0;                   ///< process code last returned by \ref next_to_gossip
};

} // namespace laurelhoist
