#include "rollout/usual_times.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr double smoothing = 0.05; ///< weight of a new answer in the mean once there are many

/// \return the mean of \p times by their answers, each at most \p outlier_factor times the median.
double bounded_mean(std::vector<usual_time> times, double outlier_factor) {
    std::sort(times.begin(), times.end(), [](const auto& l, const auto& r) { return l.mean < r.mean; });
    std::int64_t answers = 0;
    for (const usual_time& each : times) {
        answers += each.answers;
    }
    double median = 0;
    std::int64_t before = 0;
    for (const usual_time& each : times) {
        median = 2 * before < answers ? each.mean : median;
        before += each.answers;
    }
    double sum = 0;
    for (const usual_time& each : times) {
        const double bounded = median > 0 ? std::min(each.mean, median * outlier_factor) : each.mean;
        sum += static_cast<double>(each.answers) * bounded;
    }
    return answers == 0 ? 0.0 : sum / static_cast<double>(answers);
}

} // namespace

usual_time usual_times::combine(const std::vector<usual_time>& of_hosts) const {
    usual_time combined;
    for (const usual_time& each : of_hosts) {
        combined.service = each.service;
        combined.name = each.name;
        combined.answers = std::min(max_answers_counted, combined.answers + each.answers);
    }
    combined.mean = bounded_mean(of_hosts, outlier_factor_);
    return combined;
}

void usual_times::observe(const std::string& service, const std::string& name, double measured) {
    usual_time& time = own_[{service, name}];
    time.service = service;
    time.name = name;
    ++time.answers;
    if (time.answers <= min_answers_) {
        std::vector<usual_time>& first = first_[{service, name}];
        first.push_back({service, name, measured, 1});
        time.mean = bounded_mean(first, outlier_factor_);
        return;
    }
    first_.erase({service, name});
    const double usual = time.mean > 0 ? std::min(measured, time.mean * outlier_factor_) : measured;
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
