#include "rollout/usual_times.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr double smoothing = 0.05; ///< weight of a new answer in the mean once there are many

} // namespace

void usual_times::observe(const std::string& service, const std::string& name, double measured) {
    usual_time& time = own_[{service, name}];
    time.service = service;
    time.name = name;
    ++time.answers;
    const double usual =
        time.answers > min_answers_ ? std::min(measured, time.mean * outlier_factor_) : measured;
    const double weight = std::max(smoothing, 1.0 / static_cast<double>(time.answers));
    time.mean += weight * (usual - time.mean);
}

void usual_times::hear(const usual_time& combined) {
    usual_time& held = heard_[{combined.service, combined.name}];
    if (combined.answers >= held.answers) {
        held = combined;
    }
}

std::optional<double> usual_times::find(const std::string& service, const std::string& name) const {
    const usual_time* best = nullptr;
    for (const times_by_name* times : {&own_, &heard_}) {
        const auto found = times->find({service, name});
        if (found != times->end() && (best == nullptr || found->second.answers > best->answers)) {
            best = &found->second;
        }
    }
    return best == nullptr || best->answers < min_answers_ ? std::nullopt : std::optional(best->mean);
}

std::vector<usual_time> usual_times::of(const times_by_name& times, const std::string& service) {
    std::vector<usual_time> found;
    for (auto each = times.lower_bound({service, ""}); each != times.end() && each->first.first == service;
         ++each) {
        found.push_back(each->second);
    }
    return found;
}

} // namespace laurelhoist
