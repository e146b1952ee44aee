#include "recovery/repeat_bucket.h"

#include <algorithm>
#include <numeric>

namespace laurelhoist {

namespace {

/// Fractions of the ratio that a request earns, and that the requests of the last window allow to be held.
/// Their sum is below one, as hosts measure the window in steps.
constexpr double earned_fraction = 0.75;
constexpr double held_fraction = 0.2;
/// Fraction of the slack that is divided among the hosts: two groups of hosts that cannot hear each other
/// share it twice.
constexpr double divided_slack = 0.5;
/// What a bucket holds at its start: with what one request earns, enough to repeat that request. It is at
/// most a fraction of the host's part of the slack, so that a series of restarts does not exceed that part.
constexpr double held_at_start = 0.35;
constexpr double starts_per_window = 4;
/// It holds this fraction of the part if that is more: the first requests of a host often meet the same
/// fault.
constexpr double held_slack_at_start = 0.125;
/// Fraction of what the bucket may hold that is kept for retries.
constexpr double kept_fraction = 0.5;

} // namespace

void repeat_bucket::set_hosts(std::size_t hosts) {
    hosts_ = std::max(hosts_, hosts);
}

double repeat_bucket::part_of_slack() const {
    return divided_slack * bound_.slack / static_cast<double>(hosts_);
}

double repeat_bucket::capacity() const {
    const int requests = std::accumulate(requests_by_step_.begin(), requests_by_step_.end(), 0);
    return held_fraction * bound_.ratio * requests + part_of_slack();
}

void repeat_bucket::advance(time_point now) {
    constexpr auto size = static_cast<std::int64_t>(steps);
    const std::int64_t step = std::max(step_, (now - since_) / (bound_.window / size));
    for (std::int64_t passed = std::max(step_ + 1, step - size + 1); passed <= step; ++passed) {
        requests_by_step_[passed % size] = 0;
    }
    step_ = step;
    tokens_ = std::min(tokens_, capacity());
}

void repeat_bucket::on_request(time_point now) {
    advance(now);
    if (!has_started_) {
        has_started_ = true;
        tokens_ = std::min(held_at_start, part_of_slack() / starts_per_window);
        if (hosts_ > 1) { // A host that has not heard of another does not know its part.
            tokens_ = std::max(tokens_, held_slack_at_start * part_of_slack());
        }
    }
    ++requests_by_step_[step_ % static_cast<std::int64_t>(steps)];
    tokens_ += earned_fraction * bound_.ratio;
}

void repeat_bucket::on_handed_over(time_point now) {
    int& requests = requests_by_step_[step_ % static_cast<std::int64_t>(steps)];
    requests = std::max(0, requests - 1);
    tokens_ -= earned_fraction * bound_.ratio;
    advance(now);
}

bool repeat_bucket::has_repeat(time_point now) {
    advance(now);
    return tokens_ >= 1.0;
}

bool repeat_bucket::has_spare_repeat(time_point now) {
    advance(now);
    return tokens_ >= 1.0 + kept_fraction * capacity();
}

void repeat_bucket::on_repeat(time_point now) {
    advance(now);
    tokens_ -= 1.0;
}

} // namespace laurelhoist
