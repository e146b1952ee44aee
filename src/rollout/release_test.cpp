#include "rollout/release_test.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Three bad answers in a slow trial preceded a cutover after which half of all requests failed.
constexpr double suspicious_evidence = 2.5;

double passing_evidence() {
    return std::log(1 / missed_brake_chance);
}

/// \return the log likelihood ratio of an unacceptable release to an acceptable one.
double log_ratio(const answer_totals& answers, const brake_hypotheses& hypotheses) {
    const double bad_ratio = std::log(hypotheses.unacceptable_bad_share / hypotheses.acceptable_bad_share);
    const double good_ratio =
        std::log((1 - hypotheses.unacceptable_bad_share) / (1 - hypotheses.acceptable_bad_share));
    return static_cast<double>(answers.bad) * bad_ratio + static_cast<double>(answers.good) * good_ratio;
}

} // namespace

void release_test::include(const answer_totals& counted, const release_hypotheses& hypotheses) {
    const answer_totals added{std::max<std::int64_t>(0, counted.good - included_.good),
                              std::max<std::int64_t>(0, counted.bad - included_.bad)};
    included_ = counted;
    against_ = std::max(0.0, against_ + log_ratio(added, hypotheses.against));
    recent_bad_ = against_ > 0 ? recent_bad_ + added.bad : 0;
    const double limit = passing_evidence() + suspicious_evidence;
    in_favor_ = std::clamp(in_favor_ - log_ratio(added, hypotheses.in_favor), 0.0, limit);
}

bool release_test::is_failed() const {
    return against_ >= std::log(1 / false_brake_chance);
}

bool release_test::is_suspicious() const {
    return against_ >= suspicious_evidence;
}

bool release_test::is_passed() const {
    return in_favor_ >= passing_evidence();
}

} // namespace laurelhoist
