/** \file
 * Defines the roll-out of a new release of a service's endpoints: which requests the new release gets, from
 * what all hosts have seen of it, and when the roll-out is over.
 *
 * Operators order a release and a time limit. In the first half of that time a small share of the requests
 * without a session shows what the release is like; sessions keep the release they have. Once nothing speaks
 * against it, the second half moves everything, and what still runs on the old release finishes before the
 * roll-out is reported complete: the old endpoints stop at that report, without draining.
 */
#pragma once

#include "rollout/brake.h"

#include <map>
#include <optional>
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
struct release_use {
    std::string service;
    std::string release;
    std::string route;
    friend bool operator<(const release_use& l, const release_use& r) {
        return std::tie(l.service, l.release, l.route) < std::tie(r.service, r.release, r.route);
    }
};

/** What a host has seen of one \ref release_use since it started; only grows. */
struct release_counts {
    std::string service;
    std::string release;
    std::string route;
    std::int64_t good = 0;
    std::int64_t bad = 0; ///< failed, or took several times as long as the old release
    std::int64_t in_flight = 0;
};
LAUREL_VALUE_TYPE(release_counts, service, release, route, good, bad, in_flight)

/** What one attempt says of the release that it went to. */
enum class release_evidence { none, good, bad };

/** How long an answer took to begin. */
struct response_timing {
    std::optional<duration> first_byte; ///< none: it never began
    double expected_ms = 0;             ///< from the model, the prompt and the load; 0: not predicted
};

/** What hosts tell one another about one roll-out. */
struct rollout_news {
    std::string service;
    std::string release;
    std::int64_t age_ms = 0; ///< since this host, or one that it heard from, first saw the order
    bool is_braked = false;
};
LAUREL_VALUE_TYPE(rollout_news, service, release, age_ms, is_braked)

/** Which releases may serve a request. */
struct release_choice {
    std::string required; ///< empty: any
    std::string unwanted; ///< empty: none
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
    /** Takes the orders as the store holds them. */
    void set_orders(const std::vector<rollout_order>& orders, time_point now);
    /** Takes how many endpoints of \p service run each release. */
    void set_endpoint_counts(const std::string& service, const std::map<std::string, int>& by_release);

    /** \return the releases that may serve a request of \p session (empty: none) with the id \p request. */
    release_choice choose(const std::string& service, const std::string& session,
                          const std::string& request) const;

    void on_started(const release_use& use);
    void on_finished(const release_use& use);
    void on_outcome(const release_use& use, bool is_good, const response_timing& timing);

    std::vector<release_counts> own_counts() const;
    std::vector<rollout_news> own_news(time_point now) const;
    /** Takes what \p host (with its incarnation) has seen. */
    void merge(const std::string& host, const std::vector<release_counts>& counts,
               const std::vector<rollout_news>& news, time_point now);
    /** Forgets the in-flight counts of hosts that are gone. */
    void keep_hosts(const std::vector<std::string>& hosts);

    /** Re-examines the evidence; to be called a few times a second.
     * \return the reports that are due; each is repeated until the order's state shows it */
    std::vector<rollout_report> advance(time_point now);

private:
    struct totals {
        std::int64_t good = 0;
        std::int64_t bad = 0;
    };
    struct track {
        rollout_order order;
        time_point since;
        std::optional<time_point> moved_at; ///< when all traffic was moved
        double session_share = 0;
        double sessionless_share = 0;
        bool is_braked = false;
        std::map<std::string, totals> judged;   ///< by route: what the evidence includes
        std::map<std::string, double> evidence; ///< by route: for "bad" over "good", never below 0
    };
    /// Mean of measured over expected times, or where none are expected of the times themselves.
    struct usual_time {
        double mean = 0;
        std::int64_t count = 0;
    };

    totals total_of(const release_use& use) const;
    totals total_of_others(const track& rollout, const std::string& route) const;
    std::int64_t others_in_flight(const track& rollout) const;
    std::int64_t good_answers_of(const std::string& service, const std::string& release) const;
    void weigh(track& rollout);
    void set_shares(track& rollout, time_point now) const;
    std::optional<rollout_state> due_state(const track& rollout, time_point now) const;
    int endpoints_of(const std::string& service, const std::string& release) const;
    int endpoints_of_others(const std::string& service, const std::string& release) const;

    std::map<std::string, track> tracks_; ///< by service
    std::map<release_use, release_counts> own_;
    std::map<std::string, std::map<release_use, release_counts>> by_host_;
    std::map<std::string, std::map<std::string, int>> endpoints_;
    bool is_slow(const release_use& use, const response_timing& timing);

    std::map<release_use, usual_time>
        usual_times_; ///< of the releases that are not new, by service and route
};

} // namespace laurelhoist
