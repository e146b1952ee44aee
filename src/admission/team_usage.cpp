#include "admission/team_usage.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr duration present_time = seconds(1);
constexpr duration usual_time = seconds(20);
constexpr duration refresh_interval = milliseconds(100);
constexpr duration forget_after = seconds(120);
/// A team is compared with its usual load only after this time.
constexpr duration min_known_time = seconds(2);
/// From fewer requests than this, a rate cannot be told from chance.
constexpr double min_evidence = 10;
/// A rate that is larger than this multiple of the usual one is learned as if it were this large, so that a
/// burst becomes usual more slowly than it grows.
constexpr double max_learned_rise = 2;
constexpr double tenths_per_request = 10;

double decay(duration elapsed, duration time_constant) {
    return std::exp(-to_ms(std::max(elapsed, duration::zero())) / to_ms(time_constant));
}

double to_fraction(const std::string& request) {
    constexpr std::uint64_t steps = 10'000;
    return static_cast<double>(placement_hash(request, 1) % steps) / static_cast<double>(steps);
}

} // namespace

double team_usage::own_count::sum_at(time_point now) const {
    double sum = 0;
    for (const double count : requests) {
        sum += count;
    }
    return sum * decay(now - at, present_time);
}

void team_usage::on_request(const std::string& team, int priority, time_point now) {
    refresh(now);
    if (own_.size() >= max_teams && own_.count(team) == 0) {
        return;
    }
    own_count& count = own_[team];
    const double kept = decay(now - count.at, present_time);
    for (double& each : count.requests) {
        each *= kept;
    }
    count.at = now;
    count.requests.at(static_cast<std::size_t>(std::clamp(priority, 0, int{priorities} - 1))) += 1;
}

void team_usage::merge(const std::string& host, std::vector<team_sample> samples, time_point now,
                       const std::function<bool(const std::string& team)>& is_known) {
    if (samples.empty()) {
        return;
    }
    if (hosts_.size() >= max_hosts && hosts_.count(host) == 0) {
        hosts_.erase(std::min_element(hosts_.begin(), hosts_.end(), [](const auto& left, const auto& right) {
            return left.second.at < right.second.at;
        }));
    }
    const bool is_full = samples.size() >= max_samples;
    samples.resize(std::min(samples.size(), max_samples));
    std::map<std::string, std::int64_t> known;
    for (const team_sample& sample : samples) {
        if (is_known(sample.team)) {
            known[sample.team] = std::clamp<std::int64_t>(sample.tenths, 0, max_tenths);
        }
    }
    host_samples& kept = hosts_[host];
    kept = {{}, is_full, now};
    for (const auto& [team, tenths] : known) {
        kept.samples.push_back({team, tenths});
    }
}

void team_usage::forget_old_samples(time_point now) {
    for (auto item = hosts_.begin(); item != hosts_.end();) {
        item = now - item->second.at > sample_lifetime ? hosts_.erase(item) : std::next(item);
    }
}

std::vector<team_sample> team_usage::samples_to_gossip(time_point now) {
    std::vector<team_sample> samples;
    for (const auto& [team, count] : own_) {
        const std::int64_t tenths = std::llround(count.sum_at(now) * tenths_per_request);
        if (tenths > 0) {
            samples.push_back({team, tenths});
        }
    }
    std::sort(samples.begin(), samples.end(), [](const team_sample& left, const team_sample& right) {
        return left.tenths != right.tenths ? left.tenths > right.tenths : left.team < right.team;
    });
    samples.resize(std::min(samples.size(), max_samples));
    return samples;
}

void team_usage::learn(team_rate& rate, time_point now, duration elapsed) {
    const duration known = now - rate.since;
    double learned = rate.present;
    if (known > min_known_time) {
        learned = std::min(learned, std::max(rate.usual, mean_usual_ * min_weight) * max_learned_rise);
    }
    const duration memory = std::clamp<duration>(known, elapsed, usual_time);
    rate.usual += (learned - rate.usual) * std::min(1.0, to_ms(elapsed) / to_ms(memory));
}

void team_usage::refresh(time_point now) {
    const duration elapsed = std::min<duration>(now - refreshed_at_, seconds(1));
    if (elapsed < refresh_interval) {
        return;
    }
    refreshed_at_ = now;
    std::map<std::string, double> sums;
    for (const auto& [team, count] : own_) {
        sums[team] += count.sum_at(now);
    }
    forget_old_samples(now);
    double complete_hosts = 1;
    std::map<std::string, double> full_hosts; // that name the team
    for (const auto& [host, sampled] : hosts_) {
        complete_hosts += sampled.is_full ? 0 : 1;
        for (const team_sample& sample : sampled.samples) {
            sums[sample.team] += static_cast<double>(sample.tenths) / tenths_per_request;
            full_hosts[sample.team] += sampled.is_full ? 1 : 0;
        }
    }
    for (auto& [team, rate] : rates_) {
        rate.evidence = 0;
    }
    for (const auto& [team, sum] : sums) {
        if (rates_.size() < max_teams || rates_.count(team) > 0) {
            team_rate& rate = rates_.try_emplace(team, team_rate{0, 0, 0, now, now}).first->second;
            rate.evidence = sum;
            rate.seen_at = sum >= 1 ? now : rate.seen_at;
        }
    }
    double total = 0;
    for (auto item = rates_.begin(); item != rates_.end();) {
        if (now - item->second.seen_at > forget_after) {
            own_.erase(item->first);
            item = rates_.erase(item);
            continue;
        }
        item->second.present = item->second.evidence / (complete_hosts + full_hosts[item->first]);
        learn(item->second, now, elapsed);
        total += item->second.usual;
        ++item;
    }
    mean_usual_ = rates_.empty() ? 0 : total / static_cast<double>(rates_.size());
}

const team_usage::team_rate* team_usage::find(const std::string& team, time_point now) {
    refresh(now);
    const auto found = rates_.find(team);
    return found == rates_.end() ? nullptr : &found->second;
}

double team_usage::overuse(const std::string& team, time_point now) {
    const team_rate* rate = find(team, now);
    if (rate == nullptr || rate->evidence < min_evidence || now - rate->since < min_known_time) {
        return 1;
    }
    return rate->present / std::max(rate->usual, mean_usual_ * min_weight);
}

double team_usage::weight(const std::string& team, time_point now) {
    const team_rate* rate = find(team, now);
    if (rate == nullptr || mean_usual_ <= 0) {
        return 1;
    }
    return std::max(min_weight, rate->usual / mean_usual_);
}

double team_usage::demoted_share(const std::string& team, time_point now) {
    const double times_usual = overuse(team, now);
    return times_usual <= tolerance ? 0 : (times_usual - tolerance) / times_usual;
}

int team_usage::demotion(const std::string& team, int priority, const std::string& request, time_point now) {
    constexpr double overuse_for_two = 2.5;
    constexpr double overuse_for_three = 4;
    const double share = demoted_share(team, now);
    const auto own = own_.find(team);
    if (share <= 0 || own == own_.end()) {
        return 0;
    }
    // The position of the request among those of the team, in order of priority.
    const auto band = static_cast<std::size_t>(std::clamp(priority, 0, int{priorities} - 1));
    const auto& requests = own->second.requests;
    double before = 0;
    double total = 0;
    for (std::size_t i = 0; i < priorities; ++i) {
        before += i < band ? requests.at(i) : 0;
        total += requests.at(i);
    }
    const double position = before + to_fraction(request) * requests.at(band);
    if (total <= 0 || position < (1 - share) * total) {
        return 0;
    }
    const double times_usual = overuse(team, now);
    return times_usual >= overuse_for_three ? 3 : times_usual >= overuse_for_two ? 2 : 1;
}

std::pair<double, double> team_usage::rates(const std::string& team, time_point now) {
    const team_rate* rate = find(team, now);
    return rate == nullptr ? std::pair<double, double>{} : std::pair{rate->present, rate->usual};
}

} // namespace laurelhoist
