#include "placement/first_event_estimate.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Initial cost in ms per token, by the model's rank from the smallest; higher ranks use the last value.
constexpr double initial_ms_per_token[] = {0.004, 0.01, 0.03};
/// The initial costs have the weight of this many answers to a prompt of typical size and backlog.
constexpr double prior_answers = 10;
constexpr double prior_tokens = 2'000;
constexpr double prior_backlog_ms = 100;
/// Factor by which each new answer reduces the weight of the earlier ones. The effective number of answers is
/// about 50, a few seconds of a host's traffic.
constexpr double decay = 0.98;
constexpr double min_informative_tokens = 500; ///< fewer take less time than the variation of the network
constexpr double min_expected_ms = 20; ///< smaller differences come from the network, not from the engine
/// A sample is capped at this multiple of the expected time: a slower answer indicates a failing engine and
/// not a slower model.
constexpr double max_over_expected = 3;
/// The learned cost per token stays between the initial cost divided by this and multiplied by this.
constexpr double max_cost_factor = 20;
constexpr double max_backlog_share = 1.5;

double initial_cost(std::size_t rank) {
    return initial_ms_per_token[std::min(rank, std::size(initial_ms_per_token) - 1)];
}

} // namespace

void first_event_estimate::add(sums& total, const first_event_sample& sample, double weight) {
    total.tokens_tokens += weight * sample.unread_tokens * sample.unread_tokens;
    total.tokens_backlog += weight * sample.unread_tokens * sample.backlog_ms;
    total.backlog_backlog += weight * sample.backlog_ms * sample.backlog_ms;
    total.tokens_took += weight * sample.unread_tokens * sample.took_ms;
    total.backlog_took += weight * sample.backlog_ms * sample.took_ms;
}

// Adds one kind of sample with a backlog and one without, so that the initial costs are the solution.
first_event_estimate::sums first_event_estimate::prior(std::size_t rank) {
    const double reading = initial_cost(rank) * prior_tokens;
    const double weight = prior_answers / std::pow(std::max(reading, min_expected_ms), 2);
    sums total;
    add(total, {prior_tokens, 0, reading}, weight);
    add(total, {0, prior_backlog_ms, prior_backlog_ms}, prior_answers / std::pow(prior_backlog_ms, 2));
    return total;
}

first_event_costs first_event_estimate::solve(const sums& total, std::size_t rank) {
    const double determinant =
        total.tokens_tokens * total.backlog_backlog - total.tokens_backlog * total.tokens_backlog;
    const double initial = initial_cost(rank);
    if (determinant <= 0) {
        return {initial, 1};
    }
    const double by_token =
        (total.tokens_took * total.backlog_backlog - total.backlog_took * total.tokens_backlog) / determinant;
    const double by_backlog =
        (total.backlog_took * total.tokens_tokens - total.tokens_took * total.tokens_backlog) / determinant;
    return {std::clamp(by_token, initial / max_cost_factor, initial * max_cost_factor),
            std::clamp(by_backlog, 0.0, max_backlog_share)};
}

first_event_costs first_event_estimate::costs(const std::string& model, std::size_t rank) const {
    const auto found = by_model_.find(model);
    return found == by_model_.end() ? first_event_costs{initial_cost(rank), 1} : solve(found->second, rank);
}

void first_event_estimate::observe(const std::string& model, std::size_t rank,
                                   const first_event_sample& sample) {
    if (!learns_ || sample.unread_tokens < min_informative_tokens) {
        return;
    }
    const first_event_costs current = costs(model, rank);
    const double expected = std::max(min_expected_ms, sample.unread_tokens * current.read_ms_per_token +
                                                          sample.backlog_ms * current.backlog_share);
    first_event_sample bounded = sample;
    bounded.took_ms = std::clamp(sample.took_ms, 0.0, expected * max_over_expected);
    sums& total = by_model_.try_emplace(model, prior(rank)).first->second;
    // The weight of the initial costs decays as well, but only to that of one answer. Otherwise the backlog
    // share could not be determined after a time without backlogs.
    const sums floor = prior(rank);
    for (double sums::*field : {&sums::tokens_tokens, &sums::tokens_backlog, &sums::backlog_backlog,
                                &sums::tokens_took, &sums::backlog_took}) {
        total.*field = total.*field * decay + floor.*field * (1 - decay) / prior_answers;
    }
    add(total, bounded, 1 / (expected * expected));
}

} // namespace laurelhoist
