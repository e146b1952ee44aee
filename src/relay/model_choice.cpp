#include "relay/model_choice.h"

namespace laurelhoist {

namespace {

/// Of what is left of the objective, by the route's priority; the last one holds for all that are less urgent.
/// The rest is for what the prediction cannot see (work that peers have just sent). Nearly all of it for
/// urgent routes: at 0.6 the largest tenth of prompts was never stepped up on an idle fleet, and earned 0.68 of
/// its worth in place of 0.84. Less for the others: when engines are lost, what they would step up to is the
/// first to go, as it takes as much engine time and matters least.
constexpr double usable_shares[] = {0.9, 0.9, 0.6};
/// Before anything was measured, in ms a token, by size from the smallest; larger ones count as the last.
constexpr double initial_ms_per_token[] = {0.004, 0.01, 0.03};
constexpr double smoothing = 0.05;
constexpr std::int64_t least_telling_tokens = 500;

} // namespace

std::optional<std::size_t> largest_in_time(const std::vector<model_option>& options, int priority,
                                           double left_ms) {
    const int last = static_cast<int>(std::size(usable_shares)) - 1;
    const double usable_ms = left_ms * usable_shares[std::clamp(priority, 0, last)];
    for (std::size_t i = options.size(); i-- > 0;) {
        if (options[i].predicted_ms <= usable_ms) {
            return i;
        }
    }
    return std::nullopt;
}

double read_time_estimate::ms_per_token(const std::string& model, std::size_t rank) const {
    const auto found = by_model_.find(model);
    if (found != by_model_.end()) {
        return found->second;
    }
    return initial_ms_per_token[std::min(rank, std::size(initial_ms_per_token) - 1)];
}

void read_time_estimate::observe(const std::string& model, std::int64_t tokens, duration took,
                                 std::size_t rank) {
    if (tokens < least_telling_tokens) {
        return;
    }
    const double held = ms_per_token(model, rank);
    const double sample = to_ms(took) / static_cast<double>(tokens);
    // A single slow answer tells of a queue, not of the model.
    const double bounded = std::min(sample, held * 2);
    by_model_[model] = held + smoothing * (bounded - held);
}

} // namespace laurelhoist
