#include "rollout/step_plan.h"

#include <algorithm>

namespace laurelhoist {

void bake_timer::observe(const fleet_head& head, time_point now) {
    const auto found = head.bundles.find(head.rolling);
    const std::string state = found == head.bundles.end() ? "" : found->second.state;
    const int step = found == head.bundles.end() ? -1 : found->second.step;
    if (std::tie(head.rolling, state, step) == std::tie(bundle_id_, state_, step_)) {
        return;
    }
    bundle_id_ = head.rolling;
    state_ = state;
    step_ = step;
    since_ = now;
}

duration bake_timer::elapsed(time_point now) const {
    return state_ == "rolling" ? now - since_ : duration::zero();
}

step_action next_step(const bundle& rolling, const bundle_status& status, duration elapsed, bool loaded,
                      const std::vector<version_assessment>& assessments) {
    const std::vector<rollout_step>& steps = rolling.rollout.steps;
    const std::size_t following = static_cast<std::size_t>(status.step) + 1;
    const bool is_first = status.step < 0;
    const bool may_go_on =
        std::all_of(assessments.begin(), assessments.end(), [&](const version_assessment& assessment) {
            return assessment.verdict != brake_verdict::braked &&
                   (is_first || assessment.rated >= rolling.rollout.min_rated);
        });
    if (status.state != "rolling" || !may_go_on || !loaded || following > steps.size()) {
        return step_action::wait;
    }
    const int bake_ms = is_first ? 0 : steps[following - 1].bake_ms;
    if (elapsed < milliseconds(bake_ms)) {
        return step_action::wait;
    }
    return following < steps.size() ? step_action::step : step_action::finish;
}

} // namespace laurelhoist
