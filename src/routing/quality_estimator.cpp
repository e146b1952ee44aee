#include "routing/quality_estimator.h"

namespace laurelhoist {

namespace {

constexpr double signed_prior_weight = 8; ///< weight of the signed-off quality, in ratings
/// Weight of the version's estimate as the prior of a team and kind, in ratings.
constexpr double version_prior_weight = 15;
/// Factor by which the weight of older ratings falls at each new one: a window of some 200 ratings.
constexpr double rating_decay = 0.995;
constexpr std::size_t max_subjects = 20000; ///< when exceeded, only the estimates by version are kept
/// Factor by which the weight of older answers falls at each new one: a window of some 500 answers.
constexpr double credit_decay = 0.998;
constexpr double credit_min_answers = 100;    ///< decayed count of answers that lowering the target requires
constexpr double credit_margin = 0.01;        ///< the team's share must exceed its target by this
constexpr double credit_max_shortfall = 0.15; ///< how far the target is lowered for streams

} // namespace

quality_estimator::beta_counts quality_estimator::initial(double prior, double strength) {
    return {prior * strength, (1 - prior) * strength};
}

void quality_estimator::update(beta_counts& counts, bool met) {
    counts.met = counts.met * rating_decay + (met ? 1 : 0);
    counts.missed = counts.missed * rating_decay + (met ? 0 : 1);
}

quality_estimator::subject quality_estimator::version_subject(const subject& about) {
    return {"", "", about.version, about.after_step_up};
}

double quality_estimator::version_chance(const subject& about, double prior) const {
    const auto found = by_version_.find(version_subject(about));
    return found == by_version_.end() ? prior : mean(found->second);
}

void quality_estimator::observe(const subject& about, bool met, double prior) {
    if (by_subject_.size() >= max_subjects && by_subject_.count(about) == 0) {
        by_subject_.clear();
    }
    beta_counts& counts =
        by_subject_.emplace(about, initial(version_chance(about, prior), version_prior_weight)).first->second;
    update(counts, met);
    update(by_version_.emplace(version_subject(about), initial(prior, signed_prior_weight)).first->second,
           met);
}

double quality_estimator::chance(const subject& about, double prior) const {
    const auto found = by_subject_.find(about);
    return found == by_subject_.end() ? version_chance(about, prior) : mean(found->second);
}

void quality_credit::observe(const std::string& team, bool met) {
    record& counts = by_team_[team];
    counts.met = counts.met * credit_decay + (met ? 1 : 0);
    counts.seen = counts.seen * credit_decay + 1;
}

double quality_credit::stream_target(const std::string& team, double target) const {
    const auto found = by_team_.find(team);
    const bool is_known = found != by_team_.end() && found->second.seen >= credit_min_answers;
    const bool has_credit = is_known && found->second.met / found->second.seen >= target + credit_margin;
    return has_credit ? target - credit_max_shortfall : target;
}

} // namespace laurelhoist
