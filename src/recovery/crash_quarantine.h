/** \file
 * Quarantines requests, and parts of prompts, that end the processes of the endpoints that begin to run them.
 *
 * Load patterns: (1) one caller's short request ends each engine that begins to run it, and comes back a few
 * times a second at any host. (2) Requests that share one part of their prompts, and differ in all else, each
 * end the engines that begin to answer them. Each host sends every one of them to as many engines as its
 * route allows; the streams of all other callers end with these engines, and half of the engines are
 * restarting at any moment.
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
 * An end counts as well against each part of the attempt's prompt but the last, and an answer that begins
 * clears all parts of its prompt: the parts that a crashing request shares with others are cleared by these,
 * the part that ends endpoints never is. \see crash_record
 *
 * Where many endpoints end in one moment, hosts learn of it at different times, and no request is the cause.
 * Ends that come together count against a cause only if it was in flight at half of them or more, and then
 * only in a row; an attempt that was sent to a process known to have ended counts against nothing. Both are
 * judged anew with each end that becomes known, which lifts a quarantine made too early.
 * \see ended_processes
 *
 * A quarantine may be wrong, so the cause is tried again, by one host and with one attempt, after a delay
 * that grows with each end. All other hosts go on refusing it until it is cleared.
 */
#pragma once

#include "recovery/crash_record.h"
#include "recovery/ended_processes.h"

#include "membership/host_list.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laurelhoist {

/// From this many ends on all hosts are told, so that an answer at any of them clears the cause. A single end
/// concerns only the hosts that count it, \ref trackers_of.
constexpr int ends_to_announce = 2;

/** An \ref endpoint_end as hosts exchange it, with ages in place of times because their clocks differ. */
struct end_report {
    std::uint32_t process = 0;
    std::int64_t sent_age_ms = 0;
    std::int64_t ended_age_ms = 0;
    std::uint32_t request = 0; ///< \ref endpoint_end::request
};
LAUREL_VALUE_TYPE(end_report, process, sent_age_ms, ended_age_ms, request)

/** The counted ends and the clearing of one cause, as hosts exchange them. */
struct crash_notice {
    std::uint64_t digest = 0; ///< \ref crash_cause::digest
    std::vector<end_report> ends;
    std::int64_t cleared_age_ms = -1; ///< since it was answered or an operator cleared it; -1: not cleared
    int kind = 0; ///< \ref cause_kind; notices of a kind that this release does not know are ignored
};
LAUREL_VALUE_TYPE(crash_notice, digest, ends, cleared_age_ms, kind)

/** A quarantined cause, as listed for operators. */
struct quarantined_cause {
    std::string kind; ///< "request" or "prompt_part"
    std::string digest;
    int ends = 0;
    int requests = 0;             ///< under which the ends happened
    std::int64_t trial_in_ms = 0; ///< time until it may be tried again
};
LAUREL_VALUE_TYPE(quarantined_cause, kind, digest, ends, requests, trial_in_ms)

/** What was in flight when endpoints ended, as one host knows it. No I/O; the time is an argument. */
class crash_quarantine {
public:
    /** \param host name of this host
     * \param weighs_joint_ends \ref mechanisms::weighs_joint_ends */
    explicit crash_quarantine(std::string host, bool weighs_joint_ends = true)
        : host_{std::move(host)}, weighs_joint_ends_{weighs_joint_ends} {}

    /** Sets the live hosts, one of which tries a quarantined cause again.
     * \param has_full_view whether this host has run long enough to have heard of every live host */
    void set_hosts(std::vector<std::string> hosts, bool has_full_view);

    /** Takes the endpoints as the store lists them, among which ends that come together are recognized. */
    void set_endpoints(const std::vector<endpoint_record>& endpoints, time_point now);
    /** Records that \p endpoint refused a connection of this host or another one at \p refused_at, so that
     * its process had ended. */
    void on_refused(const std::string& endpoint, time_point refused_at, time_point now);

    /** \return whether nothing has a record, so that callers need not compute digests. */
    bool is_empty() const;
    /** \return whether this host may send a request with \p causes now. */
    bool may_send(const crash_causes& causes, time_point now) const;
    /** Records that this host sends a request with \p causes.
     * \return whether this is a trial */
    bool on_sent(const crash_causes& causes, time_point now);
    /** Records that the endpoint did not run the trial, so that another request may be the trial. */
    void on_trial_not_run(const crash_causes& causes);

    /** Records that an endpoint's process ended under an attempt that had passed nothing on to the caller. */
    void on_end(const crash_causes& causes, const endpoint_end& end, time_point now);
    /** Clears the parts of a prompt, as an answer to it has begun. */
    void on_begun(const std::vector<part_digest>& parts, time_point now);
    /** Clears a cause, after a complete answer or on an operator's order. */
    void clear(const crash_cause& cause, time_point now);
    /** Takes notices of other hosts, which may arrive in any order and repeatedly. */
    void merge(const std::vector<crash_notice>& notices, time_point now);
    /** Drops expired records, and logs ends that came together; to be called a few times a second. */
    void forget_old(time_point now);

    /** \return the number of ends that count against \p cause */
    int ends_of(const crash_cause& cause) const;
    /** \return the quarantined ones of \p causes */
    std::vector<quarantined_cause> quarantined_among(const crash_causes& causes, time_point now) const;
    /** \return whether one of \p causes is quarantined, even if it may be tried now. */
    bool has_quarantined(const crash_causes& causes) const { return !find_quarantined(causes).empty(); }
    /** \return at most \p max_count notices that concern all hosts: quarantined causes, by turns if there are
     * many, then the most recently changed */
    std::vector<crash_notice> known(std::size_t max_count, time_point now) const;
    /** Changes on this host that other hosts have not been told. */
    struct pending_notices {
        std::vector<crash_notice> for_all;      ///< causes with \ref ends_to_announce ends now or earlier
        std::vector<crash_notice> for_trackers; ///< first ends and their clearing, for \ref trackers_of
    };
    /** \return the changes since the last call */
    pending_notices take_pending(time_point now);
    std::vector<quarantined_cause> quarantined(time_point now) const;
    /** \return how many ends under causes were found not to count because of what ended with them, since the
     * last call */
    std::uint64_t take_ends_not_counted() { return std::exchange(ends_not_counted_, 0); }

private:
    enum class audience { none, trackers, all };
    struct entry {
        crash_record record;
        audience tells = audience::none; ///< to whom \ref take_pending returns it
        bool is_fleet_wide = false;      ///< \ref ends_to_announce ends have counted, so all hosts are told
    };
    using entry_map = std::map<std::uint64_t, entry>;
    using found_entries = std::vector<std::pair<crash_cause, const entry*>>;

    entry_map& entries_of(cause_kind kind) { return entries_[static_cast<std::size_t>(kind)]; }
    const entry_map& entries_of(cause_kind kind) const { return entries_[static_cast<std::size_t>(kind)]; }
    const entry* find(const crash_cause& cause) const;
    entry* find(const crash_cause& cause);
    found_entries find_quarantined(const crash_causes& causes) const;
    /** \return the entries that concern all hosts: quarantined ones first, then the most recently changed. */
    found_entries fleet_wide_entries() const;
    /** \return the entry of \p cause, or null if there is no room for it beside what is quarantined. */
    entry* find_or_add(const crash_cause& cause, time_point now);
    bool is_first_by_rank(std::uint64_t digest) const;
    bool is_tracker(std::uint64_t digest) const;
    /** \return whether \p notice is worth a record. One that reports no end must not evict the record of
     * another cause. */
    bool has_use(const crash_notice& notice) const;
    void merge(const crash_notice& notice, time_point now);
    end_weight weight_of(const endpoint_end& end, const crash_record& record) const;
    /** Weighs the ends of \p record. \return whether that changes what counts */
    bool weigh(crash_record& record, time_point now);
    /** Weighs all ends again, as more ends are known. */
    /** Weighs all ends anew at once or, if that was done just now, those of what is quarantined at once and
     * the others with the next call of \ref forget_old. */
    void weigh_when_due(time_point now);
    void weigh_if(time_point now, bool (*is_weighed)(const crash_record&));
    void weigh_all(time_point now);
    /** Logs what changed since \p before and raises \p tells of the entry to \p audience. */
    void on_changed(const crash_cause& cause, entry& changed, const crash_record& before, audience tells,
                    time_point now);
    static crash_notice to_notice(const crash_cause& cause, const entry& described, time_point now);
    static quarantined_cause to_listed(const crash_cause& cause, const entry& described, time_point now);

    std::string host_;
    bool weighs_joint_ends_;
    ended_processes ended_;
    time_point weighed_at_;        ///< when all ends were last weighed
    bool is_weighing_due_ = false; ///< something has become known since
    std::uint64_t ends_not_counted_ = 0;
    std::vector<std::string> hosts_;
    bool has_full_view_ = false;
    std::array<entry_map, cause_kinds> entries_; ///< by \ref cause_kind
};

/** \return the few of \p hosts that count the first ends under the cause \p digest. Hosts that know the same
 * live hosts get the same result. */
std::vector<std::string> trackers_of(std::uint64_t digest, std::vector<std::string> hosts);

} // namespace laurelhoist
