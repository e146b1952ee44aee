/** \file
 * Defines which requests are not sent any more because the endpoints that begin to run them end.
 *
 * Load pattern: one caller's short request ends each engine that begins to run it, and comes back a few times
 * a second at any host. Each host sends it to as many engines as its route allows; the streams of all other
 * callers end with these, and half of the engines are starting at any moment.
 *
 * Whose fault an end is: all that was under way there ends with it, and a long stream or a common question is
 * under way at many ends. Counted against a request is an attempt that had passed nothing on when the process
 * ended, and that was sent after the end counted_ends before: a failure domain that is lost at once counts once,
 * however many copies of a common question were under way there. One whole answer clears a request. After
 * \ref ends_to_quarantine ends it is quarantined: no host sends it. Example: sent at 0 s, ended 1 at 0.1 s; a
 * copy sent at 0.05 s ends 2 at 0.2 s, which does not count; sent again at 0.2 s, ended 3 at 0.3 s: two ends
 * count.
 *
 * A quarantine may be wrong, so it is tried again, by one host and with one attempt, after a time that grows
 * with each end; all others go on refusing until the request is cleared.
 */
#pragma once

#include "membership/host_list.h"
#include "recovery/request_digest.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/// Where many engines end by themselves, innocents are often at one end, sometimes at two in a row, hardly at
/// three.
constexpr int ends_to_quarantine = 3;
/// Fewer is nobody's concern but of those that count; with two, one whole answer anywhere must clear it.
constexpr int ends_to_announce = 2;

/** The end of an endpoint's process under an attempt. */
struct endpoint_end {
    std::uint32_t process = 0; ///< \ref process_code
    time_point sent_at;        ///< when the attempt was sent
    time_point ended_at;
};

/** An \ref endpoint_end as hosts tell it, by ages: their clocks have nothing in common. */
struct end_report {
    std::uint32_t process = 0;
    std::int64_t sent_age_ms = 0;
    std::int64_t ended_age_ms = 0;
};
LAUREL_VALUE_TYPE(end_report, process, sent_age_ms, ended_age_ms)

/** What a host knows of one request. */
struct crash_notice {
    request_digest digest = 0;
    std::vector<end_report> ends;
    std::int64_t cleared_age_ms = -1; ///< since it was answered or an operator cleared it; -1: it was not
};
LAUREL_VALUE_TYPE(crash_notice, digest, ends, cleared_age_ms)

/** A request that is quarantined, for operators. */
struct quarantined_request {
    std::string digest;
    int ends = 0;
    std::int64_t trial_in_ms = 0; ///< until it may be tried again
};
LAUREL_VALUE_TYPE(quarantined_request, digest, ends, trial_in_ms)

/** The requests under which endpoints ended, as one host knows them. No I/O; the time is an argument. */
class crash_quarantine {
public:
    /** \param host name of this host */
    explicit crash_quarantine(std::string host) : host_{std::move(host)} {}

    /** Sets the live hosts, of which one tries a quarantined request again.
     * \param has_full_view whether this host has run for long enough to have heard of all */
    void set_hosts(std::vector<std::string> hosts, bool has_full_view);

    /** \return whether nothing is entry against any request, so that no digest need be worked out. */
    bool is_empty() const { return records_.empty(); }
    /** \return whether this host may send the request now. */
    bool may_send(request_digest digest, time_point now) const;
    /** This host sends the request. \return whether that is the trial of a quarantined one */
    bool on_sent(request_digest digest, time_point now);

    /** The process of an endpoint ended under an attempt that had passed nothing on. */
    void on_end(request_digest digest, const endpoint_end& end, time_point now);
    /** An endpoint ran the request to a whole answer, or an operator trusts it again. */
    void clear(request_digest digest, time_point now);
    /** Takes what another host knows. In any order and any number of copies the result is the same. */
    void merge(const std::vector<crash_notice>& notices, time_point now);
    /** Drops what is too old to count; to be called a few times a second. */
    void forget_old(time_point now);

    /** \return the number of ends that count against \p digest */
    int ends_of(request_digest digest) const;
    /** \return what all hosts should know, at most \p most of it, the newest first */
    std::vector<crash_notice> known(std::size_t most, time_point now) const;
    /** What became known here and has not been told. */
    struct pending_notices {
        std::vector<crash_notice> for_all;     ///< may be quarantined soon, is, or was and is cleared
        std::vector<crash_notice> for_trackers; ///< a first end or its clearing, for those that count it
    };
    pending_notices take_pending(time_point now);
    std::vector<quarantined_request> quarantined(time_point now) const;

private:
    struct record {
        std::vector<endpoint_end> ends; ///< at most \ref max_ends_per_request, by the time of the end
        std::optional<time_point> cleared_at;
        std::optional<time_point> tried_at; ///< by this host
        time_point changed_at;
        int counted_ends = 0; ///< \ref count_in_a_row of the ends
        bool is_pending = false;
        bool is_fleet_wide = false; ///< \ref ends_to_announce ends have counted_ends against it
    };

    static bool is_quarantined(const record& entry) { return entry.counted_ends >= ends_to_quarantine; }
    static time_point trial_due(const record& entry);
    static crash_notice to_notice(request_digest digest, const record& entry, time_point now);
    bool is_trial_host(request_digest digest) const;
    record& find_or_add(request_digest digest, time_point now);
    static bool add_end(record& entry, const endpoint_end& end);
    static bool clear_before(record& entry, time_point cleared_at);
    void update_count(request_digest digest, record& entry, int counted_before, time_point now);

    std::string host_;
    std::vector<std::string> hosts_;
    bool has_full_view_ = false;
    std::map<request_digest, record> records_;
};

/** \return of \p ends, ordered by their time, those in a row: each attempt sent after the end before it. They
 * are the most that can be put in a row. */
std::vector<endpoint_end> consecutive_ends(const std::vector<endpoint_end>& ends);

/** \return which of \p hosts count the first ends under \p digest: a few, the same on each host that knows
 * the same others */
std::vector<std::string> trackers_of(request_digest digest, std::vector<std::string> hosts);

} // namespace laurelhoist
