/** \file
 * Defines when a release that serves a service alone gets no more requests because it has been worse than the
 * established one for some seconds.
 *
 * Answers are late, or fail, for many reasons, and a stop ends a service. So a release is bad only if most of
 * its endpoints are, as most hosts see them, at no more requests for each endpoint than the established
 * release had, for some seconds on end. A burst fails the third condition, an endpoint that is cold or ails
 * the first, and a host with bad links the second.
 */
#pragma once

#include "base/base.h"
#include "rollout/release_stop.h"
#include "rollout/release_test.h"

#include <algorithm>
#include <map>
#include <string>

namespace laurelhoist {

/** Who has seen bad answers since the release last looked good. */
struct watched_spread {
    failure_spread by_endpoint;
    failure_spread by_host;
};

/** By how much the share of bad answers exceeds the usual one. */
struct watched_rises {
    double tolerated = 0; ///< of a good release, at most
    double bad = 0;       ///< of a bad release, at least
};

/** The answers of one release after its completion, by what they are compared by. */
class completion_watch {
public:
    /** Includes the requests for each endpoint of the established release; any unit. */
    void on_established_load(double load) {
        ++established_loads_;
        usual_load_ += (load - usual_load_) / static_cast<double>(established_loads_);
    }
    /** Sets the requests for each endpoint of the release now. More than usual ends the suspicion. */
    void on_load(double load);
    /** Includes the answers \p counted of all hosts.
     * \param usual_share of bad answers of the established release */
    void include(const std::string& name, const answer_totals& counted, double usual_share,
                 const watched_rises& rises);
    /** \return the answers that \p counted has beyond those of the last call. */
    answer_totals take_new(const std::string& name, const answer_totals& counted) {
        return tests_[name].take_new(counted);
    }
    /** Includes answers of all hosts that were weighed. \see release_test::include */
    void include(const std::string& name, const std::vector<evidence_change>& changes, std::int64_t bad) {
        tests_[name].include(changes, bad);
    }
    /** \return whether there is nothing against the release by \p name. */
    bool is_clear(const std::string& name) const;
    /** \return whether the release is bad by \p name, and has been for long enough. */
    bool must_stop(const std::string& name, const watched_spread& spread, time_point now);

private:
    std::map<std::string, release_test> tests_;
    std::map<std::string, time_point> bad_since_;
    double usual_load_ = 0; ///< mean: a burst during the trial must not hide one after the completion
    std::int64_t established_loads_ = 0;
};

} // namespace laurelhoist
