#include "routing/quality_estimator.h"

namespace laurelhoist {

namespace {

constexpr double signed_strength = 8;  ///< the signed-off prior weighs as much as this many ratings
constexpr double shared_strength = 15; ///< the version's own record, for a team and kind
constexpr double kept_share = 0.995;   ///< of older ratings at each new one: a memory of some 200
constexpr std::size_t most_beliefs = 20000;
constexpr double credit_kept = 0.998;     ///< of older answers at each new one: a memory of some 500
constexpr double credit_least_seen = 100; ///< answers before anything may be spent
constexpr double credit_margin = 0.01;    ///< the share stays this much above the target
constexpr double credit_depth = 0.15;     ///< no stream goes to a version this much below the target

} // namespace

quality_estimator::belief quality_estimator::initial(double prior, double strength) {
    return {prior * strength, (1 - prior) * strength};
}

void quality_estimator::update(belief& held, bool met) {
    held.met = held.met * kept_share + (met ? 1 : 0);
    held.missed = held.missed * kept_share + (met ? 0 : 1);
}

quality_estimator::subject quality_estimator::whole(const subject& about) {
    return {"", "", about.version, about.after_step_up};
}

double quality_estimator::version_chance(const subject& about, double prior) const {
    const auto found = versions_.find(whole(about));
    return found == versions_.end() ? prior : mean(found->second);
}

void quality_estimator::observe(const subject& about, bool met, double prior) {
    if (beliefs_.size() >= most_beliefs && beliefs_.count(about) == 0) {
        beliefs_.clear();
    }
    belief& held =
        beliefs_.emplace(about, initial(version_chance(about, prior), shared_strength)).first->second;
    update(held, met);
    update(versions_.emplace(whole(about), initial(prior, signed_strength)).first->second, met);
}

double quality_estimator::chance(const subject& about, double prior) const {
    const auto found = beliefs_.find(about);
    return found == beliefs_.end() ? version_chance(about, prior) : mean(found->second);
}

void quality_credit::observe(const std::string& team, bool met) {
    record& held = by_team_[team];
    held.met = held.met * credit_kept + (met ? 1 : 0);
    held.seen = held.seen * credit_kept + 1;
}

double quality_credit::stream_target(const std::string& team, double target) const {
    const auto found = by_team_.find(team);
    const bool is_known = found != by_team_.end() && found->second.seen >= credit_least_seen;
    const bool has_credit = is_known && found->second.met / found->second.seen >= target + credit_margin;
    return has_credit ? target - credit_depth : target;
}

} // namespace laurelhoist
