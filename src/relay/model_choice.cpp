#include "relay/model_choice.h"

namespace laurelhoist {

namespace {

/// Share of the remaining objective that the prediction may use, indexed by the route's priority; the last
/// entry also applies to all less urgent priorities. The rest is reserved for work that the prediction does
/// not include, such as requests that peers have just sent. Urgent routes use nearly all of it: at 0.6 the
/// longest tenth of prompts was never stepped up on an idle fleet, and the value of their answers was 0.68
/// instead of 0.84. Less urgent routes use less, so that they stop stepping up first when engines are lost:
/// they take as much engine time and matter least.
constexpr double usable_shares[] = {0.9, 0.9, 0.6};

} // namespace

std::optional<std::size_t> largest_model_in_time(const std::vector<model_option>& options, int priority,
                                                 double remaining_ms) {
    const int last = static_cast<int>(std::size(usable_shares)) - 1;
    const double usable_ms = remaining_ms * usable_shares[std::clamp(priority, 0, last)];
    for (std::size_t i = options.size(); i-- > 0;) {
        if (options[i].predicted_ms <= usable_ms) {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace laurelhoist
