#include "admission/admission_decision.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr duration min_retry_after = milliseconds(50);
constexpr duration unknown_drain_time = milliseconds(700);
/// A caller that is refused again after this part of its time has two more chances.
constexpr int max_part_of_time_left = 3;

} // namespace

admission_decision decide(const admission_inputs& inputs) {
    if (!inputs.is_pressed || inputs.answered_ms <= to_ms(inputs.time_left)) {
        return admitted{};
    }
    return rejected{time_to_return(inputs), "not_in_time"};
}

duration time_to_return(const admission_inputs& inputs) {
    constexpr int slots = 4;
    constexpr std::uint64_t steps = 1000;
    const duration base = inputs.drain_time.value_or(unknown_drain_time);
    const duration most = std::max<duration>(min_retry_after, inputs.time_left / max_part_of_time_left);
    const duration last = std::clamp<duration>(base + base / 2, min_retry_after, most);
    const duration first =
        std::clamp<duration>(base / 2, min_retry_after, std::max(min_retry_after, last / 2));
    const double fraction =
        static_cast<double>(placement_hash(inputs.request, 2) % steps) / static_cast<double>(steps);
    const double slot = (std::clamp(inputs.priority, 0, slots - 1) + fraction) / slots;
    return first + std::chrono::duration_cast<duration>((last - first) * slot);
}

} // namespace laurelhoist
