#include "rollout/usual_times.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr double smoothing = 0.05; ///< weight of a new answer in the mean once there are many

/// \return the mean that half of the answers are at or below, each with the mean of its host.
double median_of(std::vector<usual_time> times) {
    std::sort(times.begin(), times.end(), [](const auto& l, const auto& r) { return l.mean < r.mean; });
    std::int64_t left = 0;
    for (const usual_time& each : times) {
        left += each.answers;
    }
    left /= 2;
    for (const usual_time& each : times) {
        left -= each.answers;
        if (left < 0) {
            return each.mean;
        }
    }
    return times.empty() ? 0.0 : times.back().mean;
}

} // namespace

usual_time usual_times::combine(const std::vector<usual_time>& of_hosts) const {
    const double largest = outlier_factor_ * median_of(of_hosts);
    usual_time combined;
    for (const usual_time& each : of_hosts) {
        combined.service = each.service;
        combined.name = each.name;
        combined.answers += each.answers;
        combined.mean += static_cast<double>(each.answers) * std::min(each.mean, largest);
    }
    combined.mean /= static_cast<double>(std::max<std::int64_t>(1, combined.answers));
    return combined;
}

void usual_times::observe(const std::string& service, const std::string& name, double measured) {
    usual_time& time = own_[{service, name}];
    time.service = service;
    time.name = name;
    if (time.answers > 0 && time.answers < min_answers_) {
        time.mean =
            std::min(time.mean, measured * outlier_factor_); // The answers so far may all be outliers.
    }
    const double usual = time.answers > 0 ? std::min(measured, time.mean * outlier_factor_) : measured;
    ++time.answers;
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
