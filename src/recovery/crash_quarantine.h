/** \file
 * Quarantines requests that end the processes of the endpoints that begin to run them.
 *
 * Load pattern: one caller's short request ends each engine that begins to run it, and comes back a few times
 * a second at any host. Each host sends it to as many engines as its route allows; the streams of all other
 * callers end with these engines, and half of the engines are restarting at any moment.
 *
 * Which ends count: when a process ends, everything in flight there fails with it, and a long stream or a
 * common question is in flight at many ends. An end therefore counts against a request only if the attempt
 * had passed nothing on to the caller, and if the attempt was sent after the previous counted end. The loss
 * of a whole failure domain thus counts once, however many copies of a common question were in flight there.
 * One complete answer clears a request. After \ref ends_to_quarantine ends it is quarantined: no host sends
 * it. Example: an attempt is sent at 0 s and ends process 1 at 0.1 s. A copy is sent at 0.05 s and ends
 * process 2 at 0.2 s; this end does not count, because the copy was sent before process 1 ended. A third
 * attempt is sent at 0.2 s and ends process 3 at 0.3 s. Two ends count.
 *
 * A quarantine may be wrong, so the request is tried again, by one host and with one attempt, after a delay
 * that grows with each end. All other hosts go on refusing it until it is cleared.
 */
#pragma once

#include "membership/host_list.h"
#include "recovery/request_digest.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/// Number of counted ends that quarantine a request. Where many engines end for other reasons, an innocent
/// request is often in flight at one end, sometimes at two consecutive ones, and hardly ever at three.
constexpr int ends_to_quarantine = 3;
/// From this many ends on all hosts are told, so that a complete answer at any of them clears the request. A
/// single end concerns only the hosts that count it, \ref trackers_of.
constexpr int ends_to_announce = 2;

/** The end of an endpoint's process while an attempt was in flight there. */
struct endpoint_end {
    std::uint32_t process = 0; ///< \ref process_hash of the endpoint
    time_point sent_at;        ///< when the attempt was sent
    time_point ended_at;
};

/** An \ref endpoint_end as hosts exchange it, with ages in place of times because their clocks differ. */
struct end_report {
    std::uint32_t process = 0;
    std::int64_t sent_age_ms = 0;
    std::int64_t ended_age_ms = 0;
};
LAUREL_VALUE_TYPE(end_report, process, sent_age_ms, ended_age_ms)

/** The counted ends and the clearing of one request, as hosts exchange them. */
struct crash_notice {
    request_digest digest = 0;
    std::vector<end_report> ends;
    std::int64_t cleared_age_ms = -1; ///< since it was answered or an operator cleared it; -1: not cleared
};
LAUREL_VALUE_TYPE(crash_notice, digest, ends, cleared_age_ms)

/** A quarantined request, as listed for operators. */
struct quarantined_request {
    std::string digest;
    int ends = 0;
    std::int64_t trial_in_ms = 0; ///< time until it may be tried again
};
LAUREL_VALUE_TYPE(quarantined_request, digest, ends, trial_in_ms)

/** The requests that were in flight when endpoints ended, as one host knows them. No I/O; the time is an
 * argument. */
class crash_quarantine {
public:
    /** \param host name of this host */
    explicit crash_quarantine(std::string host) : host_{std::move(host)} {}

    /** Sets the live hosts, one of which tries a quarantined request again.
     * \param has_full_view whether this host has run long enough to have heard of every live host */
    void set_hosts(std::vector<std::string> hosts, bool has_full_view);

    /** \return whether no request has a record, so that callers need not compute digests. */
    bool is_empty() const { return records_.empty(); }
    /** \return whether this host may send the request now. */
    bool may_send(request_digest digest, time_point now) const;
    /** Records that this host sends the request.
     * \return whether this is the trial of a quarantined request */
    bool on_sent(request_digest digest, time_point now);

    /** Records that an endpoint's process ended under an attempt that had passed nothing on to the caller. */
    void on_end(request_digest digest, const endpoint_end& end, time_point now);
    /** Clears the request after a complete answer or on an operator's order. */
    void clear(request_digest digest, time_point now);
    /** Takes notices of other hosts, which may arrive in any order and repeatedly. */
    void merge(const std::vector<crash_notice>& notices, time_point now);
    /** Drops expired records; to be called a few times a second. */
    void forget_old(time_point now);

    /** \return the number of ends that count against \p digest */
    int ends_of(request_digest digest) const;
    /** \return at most \p max_count notices that concern all hosts, the most recently changed first */
    std::vector<crash_notice> known(std::size_t max_count, time_point now) const;
    /** Changes on this host that other hosts have not been told. */
    struct pending_notices {
        std::vector<crash_notice> for_all;      ///< requests with \ref ends_to_announce ends now or earlier
        std::vector<crash_notice> for_trackers; ///< first ends and their clearing, for \ref trackers_of
    };
    /** \return the changes since the last call */
    pending_notices take_pending(time_point now);
    std::vector<quarantined_request> quarantined(time_point now) const;

private:
    struct record {
        std::vector<endpoint_end> ends; ///< at most \ref max_ends_per_request, ordered by end time
        std::optional<time_point> cleared_at;
        std::optional<time_point> tried_at; ///< when this host last sent it as a trial
        time_point changed_at;
        int counted_ends = 0;       ///< size of \ref consecutive_ends of the ends
        bool is_pending = false;    ///< to be returned by \ref take_pending
        bool is_fleet_wide = false; ///< \ref ends_to_announce ends have counted, so all hosts are told
    };

    static bool is_quarantined(const record& entry) { return entry.counted_ends >= ends_to_quarantine; }
    static time_point trial_due(const record& entry);
    static crash_notice to_notice(request_digest digest, const record& entry, time_point now);
    bool is_trial_host(request_digest digest) const;
    /** \return whether \p notice is worth a record. One that reports no end must not evict the record of
     * another request. */
    bool has_use(const crash_notice& notice) const;
    record& find_or_add(request_digest digest, time_point now);
    static bool add_end(record& entry, const endpoint_end& end);
    static bool clear_before(record& entry, time_point cleared_at);
    void update_count(request_digest digest, record& entry, int counted_before, time_point now);

    std::string host_;
    std::vector<std::string> hosts_;
    bool has_full_view_ = false;
    std::map<request_digest, record> records_;
};

/** \return the longest sequence of \p ends in which each attempt was sent at or after the end before it
 * \param ends ordered by end time */
std::vector<endpoint_end> consecutive_ends(const std::vector<endpoint_end>& ends);

/** \return the few of \p hosts that count the first ends under \p digest. Hosts that know the same live hosts
 * get the same result. */
std::vector<std::string> trackers_of(request_digest digest, std::vector<std::string> hosts);

} // namespace laurelhoist
