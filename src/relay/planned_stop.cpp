#include "relay/planned_stop.h"

#include <algorithm>
#include <vector>

namespace laurelhoist {

namespace {

constexpr std::size_t max_samples = 64;
/// Fewer answers do not show how long the slowest ones take.
constexpr std::size_t min_samples = 5;
constexpr duration sample_life = seconds(30);
/// One in this many answers may take longer than \ref answer_times::high.
constexpr std::size_t answers_per_longer = 20;
/// Streams last up to 5 s at the usual load.
constexpr duration usual_stream_time = seconds(5);

} // namespace

void answer_times::observe(duration took, time_point now) {
    samples_.push_back({now, took});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

std::optional<duration> answer_times::high(time_point now) const {
    std::vector<duration> times;
    for (const sample& each : samples_) {
        if (now - each.at <= sample_life) {
            times.push_back(each.took);
        }
    }
    if (times.size() < min_samples) {
        return std::nullopt;
    }
    const auto found = times.end() - 1 - static_cast<std::ptrdiff_t>(times.size() / answers_per_longer);
    std::nth_element(times.begin(), found, times.end());
    return *found;
}

bool answer_times::is_old(time_point now) const {
    return samples_.empty() || now - samples_.back().at > sample_life;
}

duration usual_answer_time(const traffic_route& route) {
    return route.kind == route_kind::stream ? usual_stream_time : route.latency_objective;
}

bool can_finish_before_stop(const stop_prospect& prospect) {
    if (prospect.until_expiry <= prospect.until_stop) {
        return true;
    }
    if (prospect.is_arriving && prospect.kind != route_kind::stream) {
        return false;
    }
    // One in 20 answers takes longer than expected, and a caller that has just arrived need not risk it.
    const duration answer_time =
        prospect.is_arriving ? std::max(prospect.answer_time, usual_stream_time) : prospect.answer_time;
    return prospect.wait + answer_time <= prospect.until_stop;
}

} // namespace laurelhoist
