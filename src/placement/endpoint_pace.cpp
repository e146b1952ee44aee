#include "placement/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr duration half_life = seconds(8);   ///< after which an observation counts half
constexpr duration factor_ttl = seconds(20); ///< without any further evidence
constexpr duration median_ttl =
    milliseconds(500); ///< a median of all endpoints is not computed for each stream
/// An unknown median is soon looked for again, because streams count only once it is known.
constexpr duration unknown_median_ttl = milliseconds(100);
constexpr std::size_t min_endpoints_for_median = 3;
constexpr double min_recent_weight = 0.5; ///< streams; an endpoint with less has no part in the median
constexpr std::size_t max_senders = 8;    ///< whose measurements of one endpoint are kept
constexpr double max_streams_heard = 16;  ///< of one sender
constexpr double min_streams = 5;         ///< fewer do not show a pace
constexpr double min_own_weight = 0.5;    ///< less is not worth telling others
constexpr double min_factor = 0.5;
constexpr double max_factor = 4;
/// A smaller difference is due to chance and to the load of the moment, and counts as none.
constexpr double least_difference = 1.15;
constexpr double percent = 100;

bool is_about_one(double ratio) {
    return ratio < least_difference && ratio > 1 / least_difference;
}

} // namespace

double endpoint_pace::decaying_mean::weight_at(time_point now) const {
    return weight * std::exp2(-to_ms(now - at) / to_ms(half_life));
}

void endpoint_pace::decaying_mean::add(double value, double its_weight, time_point now) {
    const double kept = weight > 0 ? weight_at(now) / weight : 0.0;
    sum = sum * kept + value * its_weight;
    weight = weight * kept + its_weight;
    at = now;
}

void endpoint_pace::update(const std::vector<endpoint_record>& endpoints) {
    listed_.clear();
    for (const endpoint_record& endpoint : endpoints) {
        listed_[process_hash(endpoint.name, endpoint.started_at_ms)] = {endpoint.name, endpoint.pool};
    }
    for (auto item = measured_.begin(); item != measured_.end();) {
        if (listed_.count(item->second.process) > 0) {
            ++item;
            continue;
        }
        factors_.erase(item->first);
        if (item->second.is_reported) {
            ended_.push_back({item->first, 1.0, 0.0});
        }
        item = measured_.erase(item);
    }
}

std::optional<double> endpoint_pace::median_of(const std::string& pool, const std::string& model,
                                               time_point now) {
    median_time& known = medians_[{pool, model}];
    if (now < known.until) {
        return known.ms;
    }
    std::vector<double> times;
    for (const auto& [name, endpoint] : measured_) {
        const auto found = endpoint.ms_per_event.find(model);
        if (endpoint.pool == pool && found != endpoint.ms_per_event.end() &&
            found->second.weight_at(now) >= min_recent_weight) {
            times.push_back(found->second.mean());
        }
    }
    if (times.size() < min_endpoints_for_median) {
        known = {std::nullopt, now + unknown_median_ttl};
        return known.ms;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    known = {*middle, now + median_ttl};
    return known.ms;
}

void endpoint_pace::renew_factor(const std::string& name, measured_endpoint& endpoint, time_point now,
                                 std::vector<pace_change>& changes) {
    double streams = endpoint.own.weight_at(now);
    double sum = streams * endpoint.own.mean();
    for (const auto& [sender, heard] : endpoint.heard) {
        const double weight = heard.weight_at(now);
        streams += weight;
        sum += weight * heard.mean();
    }
    const double ratio = sum / streams;
    const bool is_known = streams >= min_streams && !is_about_one(ratio);
    const double factor = is_known ? std::clamp(ratio, min_factor, max_factor) : 1.0;
    if (is_known) {
        factors_[name] = {factor, now + factor_ttl};
    } else {
        factors_.erase(name);
    }
    if (endpoint.is_reported ? factor < returned_factor : factor >= high_factor) {
        endpoint.is_reported = !endpoint.is_reported;
        changes.push_back({name, factor, streams});
    }
}

std::vector<pace_change> endpoint_pace::observe(const endpoint_record& endpoint, const std::string& model,
                                                double ms_per_event, time_point now) {
    const std::uint32_t process = process_hash(endpoint.name, endpoint.started_at_ms);
    if (listed_.count(process) == 0 || ms_per_event <= 0) {
        return {};
    }
    measured_endpoint& measured = measured_[endpoint.name];
    measured.process = process;
    measured.pool = endpoint.pool;
    measured.ms_per_event[model].add(ms_per_event, 1, now);
    std::vector<pace_change> changes;
    if (const std::optional<double> median = median_of(endpoint.pool, model, now)) {
        measured.own.add(std::clamp(ms_per_event / *median, 1 / max_factor, max_factor), 1, now);
        renew_factor(endpoint.name, measured, now, changes);
    }
    return changes;
}

void endpoint_pace::hear(measured_endpoint& endpoint, const std::string& sender, const pace_notice& notice,
                         time_point now) {
    const double streams = std::min<double>(notice.streams, max_streams_heard);
    if (endpoint.heard.size() >= max_senders && endpoint.heard.count(sender) == 0) {
        const auto least = std::min_element(
            endpoint.heard.begin(), endpoint.heard.end(), [now](const auto& left, const auto& right) {
                return left.second.weight_at(now) < right.second.weight_at(now);
            });
        if (least->second.weight_at(now) >= streams) {
            return;
        }
        endpoint.heard.erase(least);
    }
    decaying_mean said;
    said.add(std::clamp(notice.percent / percent, 1 / max_factor, max_factor), streams, now);
    endpoint.heard[sender] = said;
}

std::vector<pace_change> endpoint_pace::merge(const std::string& sender,
                                              const std::vector<pace_notice>& notices, time_point now) {
    std::vector<pace_change> changes;
    for (const pace_notice& notice : notices) {
        const auto listed = listed_.find(notice.process);
        if (listed == listed_.end() || notice.streams <= 0) {
            continue;
        }
        const std::string& name = listed->second.name;
        measured_endpoint& measured = measured_[name];
        measured.process = notice.process;
        measured.pool = listed->second.pool;
        hear(measured, sender, notice, now);
        renew_factor(name, measured, now, changes);
    }
    return changes;
}

std::vector<pace_change> endpoint_pace::end_old_factors(time_point now) {
    std::vector<pace_change> changes = std::move(ended_);
    ended_.clear();
    for (auto item = factors_.begin(); item != factors_.end();) {
        if (now < item->second.until) {
            ++item;
            continue;
        }
        measured_endpoint& endpoint = measured_[item->first];
        if (endpoint.is_reported) {
            endpoint.is_reported = false;
            changes.push_back({item->first, 1.0, 0.0});
        }
        item = factors_.erase(item);
    }
    return changes;
}

bool endpoint_pace::appear_alike(time_point now) const {
    constexpr double min_hint = 2; // Streams; enough to ask others, not enough to believe.
    return factors_.empty() && std::none_of(measured_.begin(), measured_.end(), [&](const auto& item) {
               const decaying_mean& own = item.second.own;
               return own.weight_at(now) >= min_hint && !is_about_one(own.mean());
           });
}

std::vector<pace_notice> endpoint_pace::next_to_gossip(std::size_t max_count, time_point now) {
    std::vector<pace_notice> notices;
    if (appear_alike(now)) {
        return notices;
    }
    auto next = measured_.upper_bound(last_gossiped_);
    for (std::size_t visited = 0; visited < measured_.size() && notices.size() < max_count; ++visited) {
        next = next == measured_.end() ? measured_.begin() : next;
        const measured_endpoint& each = next->second;
        const double weight = each.own.weight_at(now);
        if (weight >= min_own_weight) {
            notices.push_back({each.process, static_cast<int>(std::lround(each.own.mean() * percent)),
                               std::max(1, static_cast<int>(std::lround(weight)))});
        }
        last_gossiped_ = next->first;
        ++next;
    }
    return notices;
}

double endpoint_pace::factor(const std::string& endpoint, time_point now) const {
    if (factors_.empty()) {
        return 1.0;
    }
    const auto found = factors_.find(endpoint);
    return found != factors_.end() && now < found->second.until ? found->second.factor : 1.0;
}

} // namespace laurelhoist
