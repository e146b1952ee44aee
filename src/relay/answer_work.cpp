#include "relay/answer_work.h"

#include <algorithm>

namespace laurelhoist {

void answer_work_budget::begin_tick(duration delay) {
    constexpr std::size_t growth_divisor = 64; // Doubles in about 45 ticks.
    units_per_tick_ = delay > max_delay
                          ? min_units_per_tick
                          : std::min(max_units_per_tick, units_per_tick_ + units_per_tick_ / growth_divisor);
    ++tick_;
    spent_ = 0;
    sharers_before_ = sharers_;
    sharers_ = 0;
}

bool answer_work_budget::spend(answer_work& of, std::size_t units) {
    if (of.tick != tick_) {
        of.tick = tick_;
        of.in_tick = 0;
    }
    of.total += units;
    if (of.total <= free_units) {
        return true;
    }
    const bool was_sharing = of.in_tick > free_units_per_tick;
    of.in_tick += units;
    if (of.in_tick <= free_units_per_tick) {
        return true;
    }
    sharers_ += was_sharing ? 0 : 1;
    spent_ += units;
    return of.in_tick <= share() && spent_ <= units_per_tick_;
}

std::size_t answer_work_budget::share() const {
    return units_per_tick_ / std::max({std::size_t{1}, sharers_, sharers_before_});
}

} // namespace laurelhoist
