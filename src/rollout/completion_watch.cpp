#include "rollout/completion_watch.h"

namespace laurelhoist {

namespace {

constexpr double max_tolerated_share = 0.7;
/// Part of the endpoints, and of the hosts, that are bad, of those that would be if all were bad alike.
constexpr double min_bad_part = 0.75;
constexpr double tolerated_load_rise = 1.25; ///< the rate of requests varies by as much without a burst
/// A burst shows in the counts of all hosts after two seconds, and a release may be bad for five.
constexpr duration time_to_stop = milliseconds(3000);

} // namespace

void completion_watch::on_load(double load) {
    if (load <= tolerated_load_rise * usual_load_) {
        return;
    }
    bad_since_.clear();
    for (auto& [name, test] : tests_) {
        test.forget();
    }
}

void completion_watch::include(const std::string& name, const answer_totals& counted, double usual_share,
                               const watched_rises& rises) {
    brake_hypotheses hypotheses;
    hypotheses.acceptable_bad_share = std::min(max_tolerated_share, usual_share + rises.tolerated);
    hypotheses.unacceptable_bad_share = hypotheses.acceptable_bad_share + rises.bad - rises.tolerated;
    release_test& test = tests_[name];
    test.include(weigh(test.take_new(counted), {hypotheses, hypotheses}));
}

bool completion_watch::is_clear(const std::string& name) const {
    const auto test = tests_.find(name);
    return test == tests_.end() || test->second.evidence_against() == 0;
}

bool completion_watch::must_stop(const std::string& name, const watched_spread& spread, time_point now) {
    const release_test& test = tests_[name];
    const bool is_bad_everywhere =
        is_bad_enough({test.evidence_against(), test.recent_bad(), spread.by_endpoint}) &&
        spread.by_endpoint.relative_failed_part() >= min_bad_part &&
        spread.by_host.relative_failed_part() >= min_bad_part;
    if (!is_bad_everywhere) {
        bad_since_.erase(name);
        return false;
    }
    return now - bad_since_.emplace(name, now).first->second >= time_to_stop;
}

} // namespace laurelhoist
