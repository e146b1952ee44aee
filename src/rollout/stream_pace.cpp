#include "rollout/stream_pace.h"

namespace laurelhoist {

namespace {

constexpr int min_streams_for_mean = 8;
constexpr double slow_factor = 2.0;
constexpr duration min_slow_excess = milliseconds(150); ///< over all intervals of a stream

} // namespace

pace_baseline::pace_baseline() : times_{min_streams_for_mean, slow_factor} {}

void pace_baseline::observe(const std::string& service, const stream_pace& pace) {
    if (pace.intervals >= min_intervals) {
        times_.observe(service, pace.model, to_ms(pace.elapsed) / pace.intervals);
    }
}

std::optional<bool> pace_baseline::compare(const std::string& service, const stream_pace& pace) const {
    const std::optional<double> ms_per_event = times_.find(service, pace.model);
    if (pace.intervals < min_intervals || !ms_per_event) {
        return std::nullopt;
    }
    const double expected_ms = *ms_per_event * pace.intervals;
    const double ms = to_ms(pace.elapsed);
    return ms > expected_ms * slow_factor && ms > expected_ms + to_ms(min_slow_excess);
}

} // namespace laurelhoist
