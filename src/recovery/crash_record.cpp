#include "recovery/crash_record.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace laurelhoist {

namespace {

/// How long ends without a quarantine count. Callers repeat a request within their time limit of about 20 s,
/// and a cause that ends an endpoint once in several minutes does little harm.
constexpr duration unquarantined_ttl = seconds(120);
/// A quarantine expires this long after its trial was due, because the one host that may try the cause may
/// never receive a request with it.
constexpr duration quarantine_ttl = seconds(600);
constexpr duration max_trial_delay = seconds(3600);
/// A trial without a result after this time is made again.
constexpr duration trial_timeout = seconds(30);
/// How long a clearing is kept, so that it overrides older notices of ends that arrive later.
constexpr duration clearing_ttl = seconds(30);
/// Transit makes ages too small, so the clearing of a request that seems later by less than this is the known
/// one again. A part is cleared anew by each answer that begins, many times a second.
constexpr duration request_clearing_tolerance = seconds(1);
/// Hosts detect the same end within this time. A later end with the same process code is that of a restarted
/// process, whose new start time the store shows only seconds later.
constexpr duration same_end_window = milliseconds(500);
/// Hosts detect ends with one external cause, such as the loss of a failure domain, within this time.
constexpr duration min_separation = milliseconds(200);
/// An end this long after the one before, once the cause is quarantined, happened under a trial.
constexpr duration min_trial_gap = seconds(2);

using trial_delays = duration (*)(int counted_ends, int failed_trials);

duration grow(duration first, double factor, int steps) {
    const double ms = to_ms(first) * std::pow(factor, steps);
    return ms < to_ms(max_trial_delay) ? std::chrono::duration_cast<duration>(first * std::pow(factor, steps))
                                       : max_trial_delay;
}

/// A common question that was quarantined wrongly is served again soon; a request that does end endpoints
/// ends four more in the first hour, after 20 s, 100 s, 420 s and 1,700 s.
duration request_trial_delay(int counted_ends, int) {
    return grow(seconds(20), 4.0, counted_ends - ends_to_quarantine);
}

/// A part that was quarantined wrongly keeps all requests with it from being served, so the first trial is
/// early. One that does end endpoints ends four more in the first hour, after 2.5 s, 22 s, 180 s and 1,500 s.
duration part_trial_delay(int, int failed_trials) {
    return grow(milliseconds(2500), 8.0, failed_trials);
}

/** How ends count against one kind of cause. */
struct counting_rule {
    std::vector<endpoint_end> (*counted)(const std::vector<weighed_end>& ends);
    int min_requests; ///< under so many requests the ends must have happened
    trial_delays trial_delay;
    duration clearing_tolerance; ///< a clearing that is later by at most this is the known one
};

/// By \ref cause_kind.
constexpr counting_rule rules[cause_kinds] = {
    {consecutive_ends, 1, request_trial_delay, request_clearing_tolerance},
    {separate_ends, 2, part_trial_delay, duration::zero()}};

const counting_rule& rule_of(cause_kind kind) {
    return rules[static_cast<std::size_t>(kind)];
}

} // namespace

std::vector<endpoint_end> consecutive_ends(const std::vector<weighed_end>& ends) {
    std::vector<endpoint_end> sequence;
    for (const auto& [end, weight] : ends) {
        if (weight == end_weight::none) {
            continue;
        }
        if (sequence.empty() || end.sent_at >= sequence.back().ended_at) {
            sequence.push_back(end);
        }
    }
    return sequence;
}

std::vector<endpoint_end> separate_ends(const std::vector<weighed_end>& ends) {
    std::vector<endpoint_end> sequence;
    for (const auto& [end, weight] : ends) {
        if (weight == end_weight::none) {
            continue;
        }
        const bool is_apart = weight == end_weight::full && !sequence.empty() &&
                              end.ended_at >= sequence.back().ended_at + min_separation;
        if (sequence.empty() || end.sent_at >= sequence.back().ended_at || is_apart) {
            sequence.push_back(end);
        }
    }
    return sequence;
}

bool is_settled(const endpoint_end& end, time_point now) {
    return now - end.sent_at > weighing_time;
}

bool crash_record::add_end(const endpoint_end& end, time_point now) {
    if (cleared_at_ && end.ended_at <= *cleared_at_) {
        return false;
    }
    const auto known = std::find_if(ends_.begin(), ends_.end(), [&](const weighed_end& each) {
        return each.end.process == end.process &&
               std::chrono::abs(each.end.ended_at - end.ended_at) < same_end_window;
    });
    end_weight weight = end_weight::full;
    if (known != ends_.end()) {
        // Transit only makes ages too small, so the earliest of several reports of an end is the truest.
        if (end.ended_at >= known->end.ended_at) {
            return false;
        }
        weight = known->weight;
        ends_.erase(known);
    }
    const auto later = std::upper_bound(
        ends_.begin(), ends_.end(), end.ended_at,
        [](time_point ended_at, const weighed_end& each) { return ended_at < each.end.ended_at; });
    ends_.insert(later, {end, weight});
    if (ends_.size() > max_ends) {
        ends_.erase(ends_.begin());
    }
    recount(now);
    return true;
}

bool crash_record::clear_before(time_point cleared_at, time_point now) {
    if (cleared_at_ && cleared_at <= *cleared_at_ + rule_of(kind_).clearing_tolerance) {
        return false;
    }
    cleared_at_ = cleared_at;
    const auto kept = std::find_if(ends_.begin(), ends_.end(),
                                   [&](const weighed_end& each) { return each.end.ended_at > cleared_at; });
    if (kept == ends_.begin()) {
        return false;
    }
    ends_.erase(ends_.begin(), kept);
    recount(now);
    return true;
}

bool crash_record::weigh(const std::function<end_weight(const endpoint_end&)>& weight_of, time_point now) {
    bool has_changed = false;
    for (weighed_end& each : ends_) {
        const end_weight weight = weight_of(each.end);
        if (weight < each.weight && is_settled(each.end, now)) {
            continue;
        }
        has_changed = has_changed || weight != each.weight;
        each.weight = weight;
    }
    if (has_changed) {
        recount(now);
    }
    return has_changed;
}

int crash_record::processes_ended(time_point first, time_point last) const {
    std::set<std::uint32_t> processes;
    for (const weighed_end& each : ends_) {
        if (each.end.ended_at >= first && each.end.ended_at <= last) {
            processes.insert(each.end.process);
        }
    }
    return static_cast<int>(processes.size());
}

int crash_record::ends_without_weight() const {
    return static_cast<int>(std::count_if(
        ends_.begin(), ends_.end(), [](const weighed_end& each) { return each.weight == end_weight::none; }));
}

void crash_record::recount(time_point now) {
    counted_ends_ = static_cast<int>(counted().size());
    is_quarantined_ = counted_ends_ >= ends_to_quarantine && requests() >= rule_of(kind_).min_requests;
    changed_at_ = now;
}

int crash_record::requests() const {
    std::set<std::uint32_t> distinct;
    for (const endpoint_end& end : counted()) {
        distinct.insert(end.request);
    }
    return static_cast<int>(distinct.size());
}

std::vector<endpoint_end> crash_record::counted() const {
    return rule_of(kind_).counted(ends_);
}

int crash_record::failed_trials() const {
    const std::vector<endpoint_end> counted_ends = counted();
    int failed = 0;
    for (std::size_t i = ends_to_quarantine; i < counted_ends.size(); ++i) {
        failed += counted_ends[i].ended_at - counted_ends[i - 1].ended_at >= min_trial_gap ? 1 : 0;
    }
    return failed;
}

time_point crash_record::trial_due() const {
    const auto last = std::find_if(ends_.rbegin(), ends_.rend(),
                                   [](const weighed_end& each) { return each.weight != end_weight::none; });
    return last->end.ended_at + rule_of(kind_).trial_delay(counted_ends_, failed_trials());
}

bool crash_record::is_being_tried(time_point now) const {
    return tried_at_ && now - *tried_at_ < trial_timeout;
}

bool crash_record::is_expired(time_point now) const {
    if (is_quarantined_) {
        return now > trial_due() + quarantine_ttl;
    }
    if (has_ends()) {
        return now > ends_.back().end.ended_at + unquarantined_ttl;
    }
    return !cleared_at_ || now > *cleared_at_ + clearing_ttl;
}

} // namespace laurelhoist
