/** \file
 * Defines the roll-out of a new release of a service's endpoints: which requests the new release gets, from
 * what all hosts have seen of it, and when the roll-out is over.
 *
 * Operators order a release and a time limit. In the first half of that time a small share of the requests
 * shows what the release is like: those without a session, and sessions that begin; a session that the old
 * release has served lately stays there. They go to few endpoints of the new release, each of which so
 * carries as much as it will when everything has moved. If nothing speaks against it, everything moves
 * shortly before the time limit, so late that the exposure bound holds even for a release whose faults have
 * not shown yet: moved at half of the time, one that fails only under load had met half of all requests (667
 * of 1,299, bound 225).
 *
 * The roll-out is reported complete at the end of its time: the old endpoints stop at that report, without
 * draining, and until then they are what a brake falls back to. What still runs on them then goes on at the
 * new release.
 */
#pragma once

#include "rollout/brake.h"
#include "rollout/session_memory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace laurelhoist {

enum class rollout_state { ordered, running, completed, rolled_back };

const char* to_string(rollout_state state);

/** What operators ask for, and how far it has come. */
struct rollout_order {
    std::string service;
    std::string release;
    duration time_limit{};
    std::int64_t revision = 0; ///< of the object that holds it, for the conditional write
    rollout_state state = rollout_state::ordered;
};

/** Whose outcomes are counted together: one release of a service, on one route. A release may be bad on one
 * route only, and the others would hide it. */
struct release_route {
    std::string service;
    std::string release;
    std::string route;
    friend bool operator<(const release_route& l, const release_route& r) {
        return std::tie(l.service, l.release, l.route) < std::tie(r.service, r.release, r.route);
    }
};

/** What a host has seen of one \ref release_route since it started; only grows. */
struct release_counts {
    std::string service;
    std::string release;
    std::string route;
    std::int64_t good = 0;
    std::int64_t bad = 0;             ///< failed, or took several times as long as the old release
    std::int64_t sent_in_rollout = 0; ///< attempts since the host saw the present order
};
LAUREL_VALUE_TYPE(release_counts, service, release, route, good, bad, sent_in_rollout)

/** What one attempt says of the release that it went to. */
enum class release_evidence { none, good, bad };

/** How long an answer took to begin. */
struct response_timing {
    duration first_byte{};  ///< since the request was sent
    double expected_ms = 0; ///< that the model takes to read the prompt; 0: not predicted
};

/** What hosts tell one another about one roll-out. */
struct rollout_gossip {
    std::string service;
    std::string release;
    std::int64_t age_ms = 0; ///< since this host, or one that it heard from, first saw the order
    bool is_braked = false;
    double trial_share = 0; ///< of the requests that meet the new release while it is on trial
    bool has_moved = false; ///< the sender gives everything to the new release
};
LAUREL_VALUE_TYPE(rollout_gossip, service, release, age_ms, is_braked, trial_share, has_moved)

/** The operators' bounds on a roll-out. */
struct rollout_settings {
    double exposure_share = 0.15;       ///< of all requests of a roll-out that a bad release may get
    bool suspects = true;               ///< \see mechanisms::suspects_releases
    duration session_life = seconds(5); ///< requests that follow within this belong to one session
};

/** What of a request decides on its release. */
struct routed_request {
    std::string session; ///< empty: none
    std::string id;
    bool is_retry = false; ///< an attempt has failed; another must not depend on a release that is on trial
};

/** Which releases may serve a request. */
struct release_choice {
    std::string required;        ///< empty: any
    std::string excluded;        ///< empty: none
    double endpoint_share = 1.0; ///< of the endpoints of \ref required that are to carry it
};

/** A report that is due to the operators. */
struct rollout_report {
    rollout_order order;
    rollout_state state = rollout_state::running;
    std::string reason;
};

/** The roll-outs under way, as one host sees them. No I/O; the time is an argument. */
class rollout_tracker {
public:
    explicit rollout_tracker(const rollout_settings& settings = {})
        : settings_{settings}, sessions_{settings.session_life} {}

    /** Sets whether the counts of all hosts come here, now and for long enough that all have come; only then
     * is it seen what all have sent, and may everything be moved. True unless set. */
    void set_has_all_counts(bool has_all_counts) { has_all_counts_ = has_all_counts; }
    /** \return whether a roll-out is under way. */
    bool is_open() const;
    /** \return whether everything has been moved to a release that is not reported yet: what it does now
     * shows whether it may be. */
    bool awaits_completion() const;
    /** Takes the orders as the store holds them.
     * \param max_order_age for so long an order that is new here may have stood in the store */
    void set_orders(const std::vector<rollout_order>& orders, time_point now, duration max_order_age = {});
    /** Takes how many endpoints of \p service run each release. */
    void set_endpoint_counts(const std::string& service, const std::map<std::string, int>& by_release);

    /** \return the releases that may serve \p request. */
    release_choice choose(const std::string& service, const routed_request& request, time_point now) const;

    /** \param session of the request; empty: none */
    void on_started(const release_route& key, const std::string& session, time_point now);
    /** \param started_at of the attempt that has ended; without it the eldest one of \p key is meant
     * \param is_whole it was answered whole, and shows how long that usually takes */
    void on_finished(const release_route& key, const std::string& session, time_point now,
                     std::optional<time_point> started_at = {}, bool is_whole = false);
    /** An answer has begun. \return whether it took so long that this alone counts as a bad answer; it has
     * been counted then, and its end must not be. */
    bool on_first_byte_received(const release_route& key, const response_timing& timing);
    void on_outcome(const release_route& key, bool is_good);

    std::vector<release_counts> own_counts() const;
    std::vector<rollout_gossip> own_gossip(time_point now) const;
    /** \return sessions that this host has served on an old release, to be told to all hosts at once while a
     * roll-out is in its first half; empty otherwise. */
    std::vector<session_use> take_session_updates(time_point now);
    /** \return sessions that are remembered in case of a roll-out. */
    std::size_t remembered_sessions() const { return sessions_.size(); }
    void merge_sessions(const std::vector<session_use>& uses, time_point now) { sessions_.merge(uses, now); }
    /** Takes what \p host (with its incarnation) has seen. */
    void merge(const std::string& host, const std::vector<release_counts>& counts,
               const std::vector<rollout_gossip>& news, time_point now);

    /** Re-examines the evidence; to be called a few times a second.
     * \return the reports that are due; each is repeated until the order's state shows it */
    std::vector<rollout_report> advance(time_point now);

private:
    struct totals {
        std::int64_t good = 0;
        std::int64_t bad = 0;
    };
    struct rollout_record {
        rollout_order order;
        time_point since;                   ///< when the first host saw the order, or could have
        time_point seen_at;                 ///< when this one did
        std::optional<time_point> cut_over_at; ///< when all traffic was moved
        totals totals_at_cutover;                     ///< answers of the new release by then
        double trial_share = 0;             ///< of the requests, while the release is on trial
        bool is_on_trial = false;           ///< once the hosts have told one another of their sessions
        std::int64_t sent_before = 0;       ///< requests of the service at \ref counted_at
        time_point counted_at;
        double recent_per_ms = 0; ///< requests of the service, over the last second or two
        bool has_moved = false;   ///< everything goes to the new release
        bool is_braked = false;
        std::map<std::string, totals> included;   ///< by route: what the evidence includes
        std::map<std::string, double> evidence; ///< by route: for "bad" over "good", never below 0
    };
    /// Mean of measured over expected times, or where none are expected of the times themselves.
    struct running_mean {
        double mean = 0;
        std::int64_t count = 0;
    };

    static bool is_open(const rollout_record& rollout);
    static void update_mean(running_mean& average, double measured);
    /** Calls \p visit with each key of \p service that this host or another has counted. */
    template <class Visit>
    void for_each_count(const std::string& service, const Visit& visit) const;
    /** \param route empty: all routes */
    totals total_of(const rollout_record& rollout, const std::string& route, bool of_new_release) const;
    std::int64_t good_answers_of(const std::string& service, const std::string& release) const;
    double new_trial_share(const rollout_order& order) const;
    bool is_in_trial_group(const std::string& service, const std::string& session) const;
    bool is_for_new_release(const rollout_record& rollout, const routed_request& request, time_point now) const;
    bool fits_exposure_bound(const rollout_record& rollout, time_point now) const;
    /// Attempts that all hosts have made since the order.
    struct sent_totals {
        std::int64_t all = 0;
        std::int64_t to_new_release = 0; ///< of these, to the new release
    };
    sent_totals sent_in(const rollout_record& rollout) const;
    void measure_rate(rollout_record& rollout, time_point now) const;
    void update_evidence(rollout_record& rollout);
    bool is_suspicious(const rollout_record& rollout) const;
    void cut_over(rollout_record& rollout, time_point now) const;
    /** \return whether the new release has failed clearly more often than the old one since everything was
     * moved. */
    bool has_worsened(const rollout_record& rollout) const;
    void advance_phase(rollout_record& rollout, time_point now) const;
    void count_overdue(const rollout_record& rollout, time_point now);
    duration overdue_after(const release_route& key) const;
    std::optional<rollout_state> due_state(const rollout_record& rollout, time_point now) const;
    int endpoints_of(const std::string& service, const std::string& release) const;
    int endpoints_of_other_releases(const std::string& service, const std::string& release) const;

    rollout_settings settings_;
    bool has_all_counts_ = true;
    session_memory sessions_;
    std::map<std::string, rollout_record> rollouts_; ///< by service
    std::map<release_route, release_counts> own_;
    std::map<std::string, std::map<release_route, release_counts>> by_host_;
    std::map<std::string, std::map<std::string, int>> endpoints_;
    bool is_slow(const release_route& key, const response_timing& timing);

    std::map<release_route, std::multiset<time_point>> under_way_; ///< when attempts here were started
    std::map<release_route, running_mean>
        mean_durations_; ///< of whole answers in ms, of the releases that are not new, by service and route
    std::map<release_route, running_mean>
        mean_first_byte_; ///< of the releases that are not new, by service and route
};

} // namespace laurelhoist
