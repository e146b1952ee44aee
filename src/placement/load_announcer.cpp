#include "placement/load_announcer.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace laurelhoist {

namespace {

constexpr std::size_t named_by_load =
    max_loads_per_round * 2 / 3; ///< the others of a round are named in turn

constexpr std::size_t ended_per_round = (max_loads_per_round - named_by_load) / 2;
constexpr int rounds_for_ended = 2;   ///< one of them may be lost
constexpr std::size_t max_ended = 64; ///< further ones expire at the other hosts

using named_load = std::pair<std::string, endpoint_load>;

endpoint_load rounded(const endpoint_load& load) {
    return {std::round(load.reading_ms), load.running};
}

double weight_of(const endpoint_load& load) {
    return load.reading_ms + load.running * running_stream_ms;
}

/** Keeps the \p max_count heaviest of \p loads; of equal ones the first by name. */
void keep_heaviest(std::vector<named_load>& loads, std::size_t max_count) {
    if (loads.size() <= max_count) {
        return;
    }
    std::stable_sort(loads.begin(), loads.end(), [](const named_load& l, const named_load& r) {
        return weight_of(l.second) > weight_of(r.second);
    });
    loads.resize(max_count);
}

endpoint_load find_load(const load_by_endpoint& loads, const std::string& endpoint) {
    const auto found = loads.find(endpoint);
    return found == loads.end() ? endpoint_load{} : found->second;
}

} // namespace

void load_announcer::note_ended(const load_by_endpoint& own) {
    for (auto item = ended_.begin(); item != ended_.end();) {
        item = own.count(item->first) > 0 ? ended_.erase(item) : std::next(item);
    }
    for (auto item = named_.begin(); item != named_.end();) {
        if (own.count(*item) > 0) {
            ++item;
            continue;
        }
        if (ended_.size() < max_ended) {
            ended_[*item] = rounds_for_ended;
        }
        item = named_.erase(item);
    }
}

void load_announcer::name_ended(load_by_endpoint& named) {
    std::size_t count = 0;
    for (auto item = ended_.begin(); item != ended_.end() && count < ended_per_round; ++count) {
        named[item->first] = {};
        item = --item->second == 0 ? ended_.erase(item) : std::next(item);
    }
}

load_by_endpoint load_announcer::next_round(const load_by_endpoint& own) {
    load_by_endpoint named;
    note_ended(own);
    if (own.size() < max_loads_per_round) {
        ended_.clear(); // A round that is not full says that there is no load elsewhere.
        for (const auto& [endpoint, load] : own) {
            named[endpoint] = rounded(load);
            named_.insert(endpoint);
        }
        return named;
    }
    std::vector<named_load> heaviest(own.begin(), own.end());
    keep_heaviest(heaviest, named_by_load);
    for (const auto& [endpoint, load] : heaviest) {
        named[endpoint] = rounded(load);
    }
    name_ended(named);
    auto next = own.upper_bound(last_in_turn_);
    while (named.size() < max_loads_per_round) {
        next = next == own.end() ? own.begin() : next;
        if (named.try_emplace(next->first, rounded(next->second)).second) {
            last_in_turn_ = next->first;
        }
        ++next;
    }
    for (const auto& [endpoint, load] : named) {
        if (load != endpoint_load{}) {
            named_.insert(endpoint);
        }
    }
    return named;
}

load_by_endpoint load_announcer::take_changes(const load_by_endpoint& announced) {
    // Each change is weighted by its size.
    std::vector<named_load> changed;
    const auto compare = [&](const std::string& endpoint) {
        const endpoint_load before = find_load(announced_, endpoint);
        const endpoint_load now = rounded(find_load(announced, endpoint));
        if (now != before) {
            changed.push_back(
                {endpoint,
                 {std::abs(now.reading_ms - before.reading_ms), std::abs(now.running - before.running)}});
        }
    };
    for (const auto& [endpoint, load] : announced) {
        compare(endpoint);
    }
    for (const auto& [endpoint, load] : announced_) {
        if (announced.count(endpoint) == 0) {
            compare(endpoint);
        }
    }
    keep_heaviest(changed, max_loads_per_update);
    load_by_endpoint changes;
    for (const auto& [endpoint, difference] : changed) {
        const endpoint_load load = rounded(find_load(announced, endpoint));
        changes[endpoint] = load;
        announced_[endpoint] = load;
        if (load == endpoint_load{}) {
            announced_.erase(endpoint);
        }
    }
    return changes;
}

} // namespace laurelhoist
