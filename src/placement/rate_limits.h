/** \file
 * Defines how many requests each host may send to an endpoint that names a rate limit.
 *
 * An endpoint in need names a limit with each answer, for all hosts together and for as long as it goes on
 * saying so. Answers overtake one another, so a statement is known by the time in which it was made: between
 * the sending of the request and the arrival of the answer's head. A stricter one holds at once, a looser one
 * only when it is certainly newer.
 *
 * Load pattern: seven hosts share 18 busy engines, and two of these name two requests a second. They look
 * idle, so both hosts of their failure domain, which hear of the limit with each answer, send them four a
 * second each.
 *
 * So a limited endpoint has sponsors, about one for each request a second that it takes; each sends an even
 * part of them at a fixed pace, all other hosts none. The first answer that names a limit is told to all
 * hosts. Example: a limit of 1.7 has two sponsors, each of which sends a request every 1.18 s. It may send
 * one late, but saves up no more than that: whatever the limit, four seconds hold at max_count 6 times it and 2
 * more.
 */
#pragma once

#include "placement/sponsors.h"

#include <map>
#include <optional>
#include <set>

namespace laurelhoist {

/** What one answer says of its endpoint's limit. */
struct limit_statement {
    std::optional<double> requests_per_s; ///< from all hosts together; nothing: no limit
    time_point sent_at;                   ///< when the request was sent: the statement is no older
    time_point heard_at;                  ///< when the answer began to arrive: the statement is no newer
};

/** A \ref limit_statement as hosts tell it, by ages: their clocks have nothing in common. */
struct limit_notice {
    std::uint32_t process = 0;  ///< \ref process_code of the endpoint
    double requests_per_s = -1; ///< -1: no limit any more
    std::int64_t sent_age_ms = 0;
    std::int64_t heard_age_ms = 0;
};
LAUREL_VALUE_TYPE(limit_notice, process, requests_per_s, sent_age_ms, heard_age_ms)

/** The limits of the endpoints, as one host knows them. No I/O; the time is an argument. */
class rate_limits {
public:
    /** \param host name of this host */
    explicit rate_limits(std::string host) : host_{std::move(host)} {}

    /** Takes the endpoints as the store lists them; a new process under a known name has named no limit. */
    void update(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Takes the live hosts; to be called a few times a second. */
    void set_hosts(const host_view& view, time_point now);

    /** Sets by how many hosts the endpoints of \p pool are used, where each uses only some endpoints and does
     * not know which ones others use: then each of them is a sponsor. In force with the next \ref set_hosts.
     */
    void set_sharers(const std::string& pool, std::size_t sharers);

    /** Takes what an answer of \p endpoint says. \return whether a limit other than before holds now */
    bool note(const endpoint_record& endpoint, const limit_statement& statement, time_point now);
    /** Takes what another host has heard. In any order and any number of copies the result is the same.
     * \return the endpoints whose limit has changed with it */
    std::vector<std::string> merge(const std::vector<limit_notice>& notices, time_point now);
    /** \return what has changed here since the last call and all hosts should hear at once */
    std::vector<limit_notice> take_pending(time_point now);
    /** \return \p max_count of what is known, others with each call, for hosts that have missed it */
    std::vector<limit_notice> next_to_gossip(std::size_t max_count, time_point now);

    /** \return requests a second that \p endpoint takes from all hosts together; nothing: no limit */
    std::optional<double> limit_of(const std::string& endpoint) const;
    /** \return whether this host will be able to send a request to \p endpoint within \p max_wait. */
    bool may_send_within(const std::string& endpoint, duration max_wait, time_point now) const;
    void on_sent(const std::string& endpoint, time_point now);
    /** \return whether a limit that was not known at \p chosen_at forbids to send to \p endpoint now. */
    bool has_tightened_since(const std::string& endpoint, time_point chosen_at) const;
    /** \return after what time a limited endpoint of \p service takes the next request, or nothing if none is
     * limited */
    std::optional<duration> time_until_available(const std::string& service, time_point now) const;

private:
    /// How fast this host sends, as one of the sponsors.
    struct pace {
        duration spacing{};
        time_point due; ///< when the next request would be sent if none were late
    };
    struct known_limit {
        limit_statement statement;
        time_point changed_at; ///< here
        bool is_pending = false;
        bool is_assigned = false; ///< with the hosts that are known now
        std::optional<pace> own_pace;  ///< nothing: this host is no sponsor
        time_point last_sent;
    };

    bool apply_statement(std::uint32_t process, const limit_statement& statement, time_point now);
    /** \return into how many parts the limit is shared, of which this host sends one; 0: it sends none */
    std::size_t parts_for_this_host(const endpoint_record& endpoint, double limit) const;
    void assign(known_limit& known, const endpoint_record& endpoint, time_point now) const;
    const endpoint_record* find_listed(std::uint32_t process) const;
    const known_limit* find_limited(const std::string& endpoint) const;
    void forget_old(time_point now);

    std::string host_;
    host_view view_;
    std::vector<endpoint_record> listed_;
    std::map<std::string, std::uint32_t> processes_;  ///< of the listed endpoints, by name
    std::map<std::uint32_t, std::size_t> by_process_; ///< index in \ref listed_
    std::map<std::uint32_t, known_limit> known_limits_;         ///< by process, also of such as are not listed yet
    std::map<std::string, std::size_t> sharers_;      ///< by pool
    std::uint32_t last_gossiped_ = 0;                     ///< process, by \ref next_to_gossip
};

} // namespace laurelhoist
