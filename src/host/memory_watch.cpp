#include "host/memory_watch.h"

namespace laurelhoist {

namespace {

constexpr int levels_percent[] = {60, 75, 90};
/// A level is reported again only after the memory has fallen this far below it.
constexpr int hysteresis_percent = 10;
constexpr std::uint64_t percent = 100;

} // namespace

std::optional<int> memory_watch::note(std::uint64_t resident_bytes) {
    if (limit_bytes_ == 0) {
        return std::nullopt;
    }
    const int used_percent = static_cast<int>(resident_bytes * percent / limit_bytes_);
    int passed = 0;
    for (const int level : levels_percent) {
        passed = used_percent >= level ? level : passed;
    }
    if (used_percent < reported_percent_ - hysteresis_percent) {
        reported_percent_ = passed;
    }
    if (passed <= reported_percent_) {
        return std::nullopt;
    }
    reported_percent_ = passed;
    return passed;
}

} // namespace laurelhoist
