#include "relay/model_choice.h"

namespace laurelhoist {

namespace {

/// Of what is left of the objective, by the route's priority; the last one holds for all that are less
/// urgent. The rest is for what the prediction cannot see (work that peers have just sent). Nearly all of it
/// for urgent routes: at 0.6 the largest tenth of prompts was never stepped up on an idle fleet, and earned
/// 0.68 of its worth in place of 0.84. Less for the others: when engines are lost, what they would step up to
/// is the first to go, as it takes as much engine time and matters least.
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
