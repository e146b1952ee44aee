#include "routing/quality_estimator.h"

namespace laurelhoist {

namespace {

constexpr double prior_strength = 8; ///< the prior weighs as much as this many ratings
constexpr double kept_share = 0.995; ///< of older ratings at each new one: a memory of some 200
constexpr std::size_t most_beliefs = 20000;

} // namespace

quality_estimator::belief quality_estimator::initial(double prior) {
    return {prior * prior_strength, (1 - prior) * prior_strength};
}

void quality_estimator::observe(const subject& about, bool met, double prior) {
    if (beliefs_.size() >= most_beliefs && beliefs_.count(about) == 0) {
        beliefs_.clear();
    }
    belief& held = beliefs_.emplace(about, initial(prior)).first->second;
    held.met = held.met * kept_share + (met ? 1 : 0);
    held.missed = held.missed * kept_share + (met ? 0 : 1);
}

double quality_estimator::chance(const subject& about, double prior) const {
    const auto found = beliefs_.find(about);
    const belief held = found == beliefs_.end() ? initial(prior) : found->second;
    return held.met / (held.met + held.missed);
}

} // namespace laurelhoist
