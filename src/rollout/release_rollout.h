/** \file
 * Defines the roll-out of a new release of a service's endpoints: which requests the new release gets, judged
 * by the outcomes that all hosts have counted, and when the roll-out is complete.
 *
 * Operators order a release and a time limit. At first the release is on trial: a small share of the requests
 * goes to it, of those without a session and of new sessions; a session that the old release has served
 * recently stays there until the peak of the trial. Trial requests go to few endpoints of the new release,
 * and at the peak to a single one, so that it carries more than the load that it will have after the cutover,
 * at which all requests go to the new release (\ref trial_plan). Unless the evidence is against the release,
 * the cutover follows in the second half of the time, as late as the exposure bound demands. This bound is
 * the largest share of the requests of a roll-out that a bad release may get. It holds even for a release
 * whose faults have not shown yet: with a cutover at half of the time, a release that failed only under load
 * got half of all requests (667 of 1,299, with a bound of 225).
 *
 * The roll-out is reported complete at the end of its time, because the old endpoints stop at that report,
 * without draining: until then a brake (an automatic rollback) falls back to them. Requests that still run on
 * them continue on the new release. The report comes later if the new release has not carried the load to
 * come (\ref load_proof). A release that turns bad soon after its completion gets no more
 * requests (\ref must_stop).
 */
#pragma once

#include "rollout/brake.h"
#include "rollout/completion_watch.h"
#include "rollout/load_proof.h"
#include "rollout/release_stop.h"
#include "rollout/release_test.h"
#include "rollout/session_memory.h"
#include "rollout/stream_pace.h"
#include "rollout/timing_profile.h"
#include "rollout/trial_plan.h"
#include "rollout/usual_times.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace laurelhoist {

enum class rollout_state { ordered, running, completed, rolled_back };

const char* to_string(rollout_state state);

/** A roll-out as the operators ordered it, and its reported state. */
struct rollout_order {
    std::string service;
    std::string release;
    duration time_limit{};
    std::int64_t revision = 0; ///< revision of the stored object that holds the order, for conditional writes
    rollout_state state = rollout_state::ordered;
};

/** One release of a service on one route: the unit whose outcomes are counted together. A release may be bad
 * on a single route, which the other routes would hide in a common count. */
struct release_route {
    std::string service;
    std::string release;
    std::string route;
    friend bool operator<(const release_route& l, const release_route& r) {
        return std::tie(l.service, l.release, l.route) < std::tie(r.service, r.release, r.route);
    }
};

/** Outcomes of one \ref release_route that a host has counted since it started; good and bad only grow. */
struct release_counts {
    std::string service;
    std::string release;
    std::string route;
    std::int64_t good = 0;
    std::int64_t bad = 0;             ///< failed, or took several times as long as the old release
    std::int64_t sent_in_rollout = 0; ///< attempts since the host first saw the order for \ref target
    std::string target{};             ///< release that the order named which was in force at the last attempt
    std::int64_t first_sent_in_rollout = 0; ///< those of \ref sent_in_rollout that were first attempts
    std::int64_t running = 0;               ///< answers that have begun and not ended, at present
    std::vector<endpoint_tally> tallies{};  ///< answers by endpoint since the release last looked good
    std::vector<usual_time> times{};        ///< with an empty \ref release: of the established release
    timing_counts time_classes{};           ///< answers whose times were compared, by class
};
LAUREL_VALUE_TYPE(release_counts, service, release, route, good, bad, sent_in_rollout, target,
                  first_sent_in_rollout, running, tallies, times, time_classes)

/** Whether an attempt is the first one of its request. */
enum class attempt_order { first, later };

/** How far an attempt had come when it ended. */
enum class attempt_progress { unanswered, begun, whole };

/** What the outcome of one attempt shows about the release that served it. */
enum class release_evidence { none, good, bad };

/** Time until an answer began. */
struct response_timing {
    duration first_byte{};  ///< time from sending the request to the first byte of the answer
    double expected_ms = 0; ///< predicted time for the model to read the prompt; 0: not predicted
    std::string endpoint{}; ///< that gave the answer; empty: it does not show whether endpoints are alike
};

/** State of one roll-out that a host gossips to the others. */
struct rollout_gossip {
    std::string service;
    std::string release;
    std::int64_t age_ms = 0; ///< time since this host, or one that it heard from, first saw the order
    bool is_braked = false;
    double trial_share = 0;  ///< largest share of the requests that use the new release during its trial
    bool has_moved = false;  ///< the sender has cut over: it sends all requests to the new release
    bool is_at_peak = false; ///< the trial has reached its peak
    bool is_stopped = false; ///< the release turned bad after its completion and gets no more requests
    std::vector<usual_time> times{}; ///< of the established release, over all hosts
    double evidence_share = 0;       ///< share of the requests that the trial needs to become evident
};
LAUREL_VALUE_TYPE(rollout_gossip, service, release, age_ms, is_braked, trial_share, has_moved, is_at_peak,
                  is_stopped, times, evidence_share)

/** Settings for all roll-outs of a host. */
struct rollout_settings {
    double exposure_share = 0.15; ///< share of a roll-out's requests that a bad release may get
    double exposure_slack = 0;    ///< requests that it may get beyond its share
    /// Bad answers hold back the cutover and its completion. \see mechanisms::suspects_releases
    bool suspects = true;
    /// Completion waits for evidence for the release. \see mechanisms::requires_evidence
    bool requires_evidence = true;
    /// Completion waits for evidence at the load to come. \see mechanisms::proves_load
    bool proves_load = true;
    /// A release that turns bad after its completion gets no more requests. \see
    /// mechanisms::stops_bad_releases
    bool stops_bad = true;
    duration session_life = seconds(5); ///< requests at most this far apart belong to one session
    /// Time that an order may have been in the store when a host sees it. Completion is reported earlier by
    /// it.
    duration order_delay{};
};

/** The properties of a request on which the choice of its release depends. */
struct routed_request {
    std::string session; ///< session id; empty: none
    std::string id;
    bool is_retry = false; ///< an attempt has failed, so the next one avoids a release that is on trial
};

/** The releases that may serve a request. */
struct release_choice {
    std::string required;              ///< the only release allowed; empty: any
    std::string excluded;              ///< a release that is not allowed; empty: none
    double endpoint_share = 1.0;       ///< share of the endpoints of \ref required to choose from
    bool uses_single_endpoint = false; ///< one endpoint of \ref required in the whole fleet
    bool is_refused = false;           ///< no release that is in use may serve it
};

/** A change of a roll-out's state to be written to the store for the operators. */
struct rollout_report {
    rollout_order order;
    rollout_state state = rollout_state::running;
    std::string reason;
    json evidence; ///< what each test of the release shows, for the log
};

/** The roll-outs of all services, as one host sees them. It does no I/O, and the time is an argument. */
class rollout_tracker {
public:
    explicit rollout_tracker(const rollout_settings& settings = {});

    /** Sets whether this host receives the counts of all hosts, and has done so for long enough that all have
     * arrived. Only such a host knows the total exposure, and only it may start the cutover. */
    void set_has_all_counts(bool has_all_counts) { has_all_counts_ = has_all_counts; }
    /** \return whether any roll-out is ordered or running. */
    bool is_open() const;
    /** \return whether the counts of all hosts are needed: for a roll-out that is open, or to watch a release
     * that was completed recently. */
    bool needs_counts(time_point now) const;
    /** \return whether no release of \p service may get requests. */
    bool is_stopped(const std::string& service) const;
    /** \return whether a roll-out has cut over, is not braked and is not reported complete yet. The outcomes
     * of this phase decide whether it may be. */
    bool awaits_completion() const;
    /** Replaces the orders by those in the store.
     * \param max_order_age how long an order that is new to this host may already have been in the store */
    void set_orders(const std::vector<rollout_order>& orders, time_point now, duration max_order_age = {});
    /** Sets how many endpoints of \p service that this host may use run each release. */
    void set_endpoint_counts(const std::string& service, const std::map<std::string, int>& by_release);
    /** Sets how many endpoints of \p service in the whole fleet run each release, for hosts that use only a
     * part of them. All hosts derive the same trial share from these. */
    void set_fleet_counts(const std::string& service, const std::map<std::string, int>& by_release) {
        fleet_endpoints_[service] = by_release;
    }

    /** \return the releases that may serve \p request. */
    release_choice choose(const std::string& service, const routed_request& request, time_point now) const;

    /** Records that an attempt was sent. \param session id of the request's session; empty: none */
    void on_started(const release_route& key, const std::string& session, time_point now,
                    attempt_order order = attempt_order::first);
    /** Records that an attempt has ended.
     * \param started_at start of that attempt; if unset, the oldest attempt of \p key has ended
     * \param progress the duration of a whole answer counts towards the mean */
    void on_finished(const release_route& key, const std::string& session, time_point now,
                     std::optional<time_point> started_at = {},
                     attempt_progress progress = attempt_progress::unanswered);
    /** Records that an answer has begun, which is counted apart from its outcome. \return whether it began
     * late */
    bool on_first_byte_received(const release_route& key, const response_timing& timing);
    /** Compares how fast a stream has proceeded with the established release. This is counted apart from its
     * outcome. \return whether it was slow */
    bool on_stream_paced(const release_route& key, const stream_pace& pace);
    /** \return whether a stream of \p service is slow already, although it may not have ended. */
    bool is_slow_pace(const std::string& service, const stream_pace& pace) const {
        return paces_.is_slow(service, pace);
    }
    /** Counts a good or a bad answer.
     * \param endpoint that gave it; empty: it does not show whether endpoints fail alike */
    void on_outcome(const release_route& key, bool is_good, const std::string& endpoint = {});

    /** \return this host's counts for the services under roll-out. */
    std::vector<release_counts> own_counts() const;
    std::vector<rollout_gossip> own_gossip(time_point now) const;
    /** \return sessions that this host has served on an old release, to be sent to all hosts at once while a
     * roll-out is in its first half; empty otherwise. */
    std::vector<session_use> take_session_updates(time_point now);
    /** \return how many sessions are held, in case a roll-out begins. */
    std::size_t remembered_sessions() const { return sessions_.size(); }
    void merge_sessions(const std::vector<session_use>& uses, time_point now) { sessions_.merge(uses, now); }
    /** Merges the counts and the roll-out states of \p host, a name that includes the incarnation. */
    void merge(const std::string& host, const std::vector<release_counts>& counts,
               const std::vector<rollout_gossip>& gossip, time_point now);

    /** \return the requests that all known hosts have sent to \p service since the current order; 0 without
     * one. */
    std::int64_t requests_sent(const std::string& service) const;
    /** Evaluates the evidence and moves the roll-outs on; to be called a few times a second.
     * \return the reports that are due; each is returned until the order's state in the store shows it */
    std::vector<rollout_report> advance(time_point now);

private:
    /// Attempts that all known hosts have sent during a roll-out.
    struct sent_totals {
        std::int64_t all = 0;
        std::int64_t to_new_release = 0; ///< those of them that went to the new release
        std::int64_t first = 0;          ///< those of them that were the first attempt of their request
    };
    struct rollout_record {
        rollout_order order;
        time_point since;   ///< when the order was first seen by a host, or may have been written
        time_point seen_at; ///< when this host first saw the order
        /// Time of the cutover, since which this host sends all requests to the new release. Nothing before
        /// it, and once the release has no endpoint left.
        std::optional<time_point> cut_over_at;
        answer_totals totals_at_cutover;   ///< answers of the new release before the cutover
        double trial_share = 0;            ///< largest share of the requests during the trial, of all hosts
        double evidence_share = 0;         ///< \ref update_evidence_share, the largest of all hosts
        bool has_seen_established = false; ///< whether another release has served since the order
        std::optional<time_point> peak_since; ///< when the trial reached its peak; nothing before it
        bool is_overloading = false;          ///< a single endpoint has the peak of the trial
        bool is_on_trial = false;             ///< set once the hosts have exchanged their recent sessions
        sent_totals sent;                     ///< attempts that were sent until the latest \ref advance
        sent_totals sent_before;              ///< the same until \ref counted_at
        time_point counted_at;                ///< start of the current rate window
        double recent_per_ms = 0;             ///< rate of attempts at the service over the last rate window
        double recent_first_per_ms = 0;       ///< the same of first attempts only
        load_proof proof;
        completion_watch watch;
        bool lacks_evidence = false;            ///< completion waits for evidence for the release
        bool is_held = false;                   ///< completion waits for \ref proof
        std::optional<time_point> completed_at; ///< when this host first saw that it is complete
        bool is_stopped = false;                ///< \ref must_stop
        bool is_braked = false;
        bool has_moved() const { return cut_over_at.has_value(); }
        bool is_at_peak() const { return peak_since && !has_moved(); }
        std::map<std::string, release_test> tests;          ///< by route, and those over all routes
        std::map<std::string, timing_counts> weighed_times; ///< by route: answers that \ref tests include
        std::map<std::string, timing_counts> watched_times; ///< the same for \ref watch
    };
    /// What one other host has counted.
    struct host_counts {
        std::map<release_route, release_counts> by_route;
        time_point heard_at;
    };
    static bool is_open(const rollout_record& rollout);
    static bool is_watched(const rollout_record& rollout, time_point now);
    /** Calls \p visit with each key of \p service that this host or another has counts for. */
    template <class Visit>
    void for_each_count(const std::string& service, const Visit& visit) const;
    /** \param route empty: all routes */
    answer_totals total_of(const rollout_record& rollout, const std::string& route,
                           bool of_new_release) const;
    /** \return the answers on \p route by their times, relative to the usual one. */
    timing_counts times_of(const rollout_record& rollout, const std::string& route,
                           bool of_new_release) const;
    std::int64_t good_answers_of(const std::string& service, const std::string& release) const;
    trial_plan plan_of(const rollout_record& rollout) const;
    /// \return whether slow answers of \p key are evidence against its release.
    bool counts_slow_answers(const release_route& key) const;
    bool is_in_trial_group(const std::string& service, const std::string& session) const;
    /// \return whether the release may serve a request while no endpoint of another is known.
    bool may_serve_alone(const rollout_record& rollout, time_point now) const;
    bool is_for_new_release(const rollout_record& rollout, const routed_request& request,
                            time_point now) const;
    /// \param peak_time time from now to the cutover, during which the trial is at its peak
    bool fits_exposure_bound(const rollout_record& rollout, time_point now, duration peak_time) const;
    /// Raises the trial's share so far that its answers suffice for a decision, within the exposure bound.
    void update_evidence_share(rollout_record& rollout, time_point now) const;
    /// \return the requests that the new release may get until the time limit.
    double exposure_bound(double requests_per_ms, double time_ms) const;
    /// \return the time from the cutover to the time limit that suffices for the report of completion.
    duration time_after_cutover() const;
    bool may_begin_peak(const rollout_record& rollout, time_point now) const;
    bool may_cut_over(const rollout_record& rollout, time_point now) const;
    /// Attempts that all hosts have sent since the order.
    sent_totals sent_in(const rollout_record& rollout) const;
    /** \return the attempts per ms that the recent requests cause if each gets as many as usual. */
    static double usual_rate_of_requests(const rollout_record& rollout, const sent_totals& sent);
    /// Answers under way over all hosts that were heard of recently.
    rollout_load load_of(const rollout_record& rollout, time_point now) const;
    /// \return whether completion has to wait until the new release has carried the load to come.
    bool is_unproven(rollout_record& rollout, time_point now) const;
    /// \return whether completion has to wait for evidence for the new release.
    bool lacks_evidence(rollout_record& rollout, time_point now) const;
    /// Logs that completion has to wait for \p reason, or no longer has to.
    static void log_hold(const rollout_record& rollout, const char* reason, bool is_held, const json& inputs,
                         time_point now);
    void update_running(const release_route& key);
    /** Merges the counts \p seen of another host into \p held. Messages may overtake one another. */
    void merge_counts(release_counts& held, const release_counts& seen) const;
    void measure_rate(rollout_record& rollout, time_point now) const;
    void update_evidence(rollout_record& rollout);
    /** \return for the log, by route: the answers, the evidence, and from when on an answer is late. */
    json describe_evidence(const rollout_record& rollout) const;
    /** Weighs the answers on \p route beyond those in \p weighed, and includes them there.
     * \param added the same answers, by whether they were late
     * \param against what the test that acts against the release tolerates */
    std::vector<evidence_change> weigh_new_times(const rollout_record& rollout, const std::string& route,
                                                 const answer_totals& added, timing_counts& weighed,
                                                 const timing_tolerance& against) const;
    void brake_on_evidence(rollout_record& rollout) const;
    /// Stops a release that is complete if it has turned bad.
    void watch_completed(rollout_record& rollout, time_point now);
    /// Stops it if it has been bad for some seconds. \see completion_watch
    void watch_for_long(rollout_record& rollout, time_point now);
    /// \return which endpoints and which hosts have seen bad answers on \p route; empty: on any.
    watched_spread watched_spread_of(const rollout_record& rollout, const std::string& route) const;
    void stop(rollout_record& rollout, const std::string& route, const failure_spread& spread) const;
    double usual_share_of(const rollout_record& rollout, const std::string& route) const;
    /// \return the first attempts a second for each of \p endpoints in the last rate window.
    static double load_of_each(const rollout_record& rollout, int endpoints);
    /// \return the same, less what it may exceed the mean by at random.
    static double least_load_of_each(const rollout_record& rollout, int endpoints);
    bool is_suspicious(const rollout_record& rollout) const;
    /** \return whether every test of the new release that matters speaks for it. */
    bool is_shown_good(const rollout_record& rollout) const;
    void begin_peak(rollout_record& rollout, time_point now) const;
    void cut_over(rollout_record& rollout, time_point now) const;
    /** \return whether the new release has failed clearly more often since the cutover than the old one. */
    bool has_worsened(const rollout_record& rollout) const;
    void advance_phase(rollout_record& rollout, time_point now) const;
    /// The peak shows what it can in its time. If there is no decision by then, the trial goes on at the same
    /// share and the usual load of each endpoint: answers of an overloaded one do not show whether it is
    /// slow.
    void update_overload(rollout_record& rollout, time_point now) const;
    void count_overdue(const rollout_record& rollout, time_point now);
    duration overdue_after(const release_route& key) const;
    std::optional<rollout_state> due_state(rollout_record& rollout, time_point now) const;
    int endpoints_of(const std::string& service, const std::string& release) const;
    int endpoints_of_other_releases(const std::string& service, const std::string& release) const;
    int fleet_endpoints_of_other_releases(const std::string& service, const std::string& release) const;

    rollout_settings settings_;
    bool has_all_counts_ = true;
    session_memory sessions_;
    pace_baseline paces_;
    std::map<std::string, rollout_record> rollouts_; ///< by service
    std::map<release_route, release_counts> own_;
    std::map<std::string, host_counts> by_host_;
    std::map<std::string, std::map<std::string, int>> endpoints_;
    std::map<std::string, std::map<std::string, int>> fleet_endpoints_; ///< \ref set_fleet_counts
    /** How the time of an answer compares with the usual one. */
    struct time_comparison {
        bool is_late = false;
        double ratio = 1; ///< to the usual time
    };
    /// \return nothing if the usual time is not known.
    std::optional<time_comparison> compare(const release_route& key, const response_timing& timing);
    /// Combines the usual times that all hosts have measured.
    void combine_times();
    void hear(const usual_time& time);
    std::vector<usual_time> own_times(const std::string& service) const;
    bool is_new_release(const release_route& key) const;

    std::map<release_route, std::multiset<time_point>>
        attempts_in_flight_;                      ///< start times of attempts in flight
    std::map<release_route, std::int64_t> begun_; ///< attempts whose answers have begun and not ended
    usual_times durations_;                       ///< of whole answers in ms, by route
    usual_times first_bytes_; ///< times to the first byte in ms or as a ratio to the prediction, by route
};

} // namespace laurelhoist
