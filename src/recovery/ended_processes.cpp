#include "recovery/ended_processes.h"

#include <algorithm>

namespace laurelhoist {

namespace {

constexpr int least_joint_ends = 4;
constexpr int share_of_joint_ends = 12; ///< one in so many endpoints of a pool
/// No endpoint runs a new process sooner than this after an end.
constexpr duration min_restart_time = milliseconds(800);
/// Ends are kept for the longest time of an attempt that began before them, and the delay of its report.
constexpr duration end_ttl = seconds(10);
constexpr std::size_t max_ends_per_pool = 4096; ///< 8 bytes each; the newest ones are kept

} // namespace

int min_joint_ends(int listed) {
    return std::max(least_joint_ends, listed / share_of_joint_ends);
}

const ended_processes::listed_process* ended_processes::find(std::uint32_t process) const {
    const auto found = processes_.find(process);
    return found == processes_.end() ? nullptr : &found->second;
}

bool ended_processes::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    bool has_news = false;
    for (auto& [process, known] : processes_) {
        known.is_listed = false;
    }
    std::map<std::string, std::uint32_t> current;
    for (const endpoint_record& endpoint : endpoints) {
        const std::uint32_t process = process_hash(endpoint.name, endpoint.started_at_ms);
        const auto before = current_.find(endpoint.name);
        if (before != current_.end() && before->second != process) {
            has_news = on_ended(before->second, now, now) || has_news;
        }
        const time_point listed_since = has_list_ ? now : time_point::min();
        processes_.try_emplace(process, listed_process{endpoint.pool, listed_since, true, std::nullopt})
            .first->second.is_listed = true;
        current[endpoint.name] = process;
    }
    has_list_ = true;
    current_ = std::move(current);
    for (auto item = processes_.begin(); item != processes_.end();) {
        const listed_process& known = item->second;
        item = known.is_listed || known.ended_at ? std::next(item) : processes_.erase(item);
    }
    rebuild_pools();
    return has_news;
}

bool ended_processes::on_ended(std::uint32_t process, time_point ended_at, time_point now) {
    const auto found = processes_.find(process);
    if (found == processes_.end() || now - ended_at > end_ttl) {
        return false;
    }
    std::optional<time_point>& known = found->second.ended_at;
    if (known && ended_at >= *known) {
        return false;
    }
    std::vector<time_point>& ends = pools_[found->second.pool].ends;
    if (known) {
        ends.erase(std::lower_bound(ends.begin(), ends.end(), *known));
    } else if (ends.size() >= max_ends_per_pool) {
        return false;
    }
    known = ended_at;
    ends.insert(std::upper_bound(ends.begin(), ends.end(), ended_at), ended_at);
    return true;
}

// A refusal that is older than the listed process was that of the process before.
bool ended_processes::on_refused(const std::string& endpoint, time_point refused_at, time_point now) {
    const auto found = current_.find(endpoint);
    if (found == current_.end() || refused_at < find(found->second)->listed_since) {
        return false;
    }
    return on_ended(found->second, refused_at, now);
}

void ended_processes::forget_old(time_point now) {
    const bool has_old = std::any_of(pools_.begin(), pools_.end(), [now](const auto& each) {
        return !each.second.ends.empty() && now - each.second.ends.front() > end_ttl;
    });
    if (!has_old) {
        return;
    }
    for (auto item = processes_.begin(); item != processes_.end();) {
        listed_process& known = item->second;
        if (known.ended_at && now - *known.ended_at > end_ttl) {
            known.ended_at.reset();
        }
        item = known.is_listed || known.ended_at ? std::next(item) : processes_.erase(item);
    }
    rebuild_pools();
}

void ended_processes::rebuild_pools() {
    pools_.clear();
    for (const auto& [process, known] : processes_) {
        listed_pool& pool = pools_[known.pool];
        pool.listed += known.is_listed ? 1 : 0;
        if (known.ended_at) {
            pool.ends.push_back(*known.ended_at);
        }
    }
    for (auto& [name, pool] : pools_) {
        std::sort(pool.ends.begin(), pool.ends.end());
    }
}

bool ended_processes::was_sent_to_ended(const endpoint_end& end) const {
    const listed_process* known = find(end.process);
    return known != nullptr && known->ended_at && end.sent_at > *known->ended_at &&
           end.sent_at <= *known->ended_at + min_restart_time;
}

std::optional<joint_ends> ended_processes::joint_with(const endpoint_end& end) const {
    const listed_process* known = find(end.process);
    const auto pool = known == nullptr ? pools_.end() : pools_.find(known->pool);
    if (pool == pools_.end()) {
        return std::nullopt;
    }
    // The time of the end is at most the earliest known one; that of an attempt that was sent later belongs
    // to a restarted process under the same code.
    const bool is_known_sooner = known->ended_at && *known->ended_at >= end.sent_at;
    const time_point last = is_known_sooner ? std::min(*known->ended_at, end.ended_at) : end.ended_at;
    const time_point first = std::max(end.sent_at, last - max_end_delay);
    const std::vector<time_point>& ends = pool->second.ends;
    std::optional<joint_ends> largest;
    for (auto item = std::lower_bound(ends.begin(), ends.end(), first); item != ends.end() && *item <= last;
         ++item) {
        const std::optional<joint_ends> found = joint_at(pool->first, pool->second, *item);
        if (found && (!largest || found->count > largest->count)) {
            largest = found;
        }
    }
    return largest;
}

std::optional<joint_ends> ended_processes::joint_at(const std::string& name, const listed_pool& pool,
                                                    time_point at) {
    const auto from = std::lower_bound(pool.ends.begin(), pool.ends.end(), at - joint_window);
    const auto to = std::upper_bound(from, pool.ends.end(), at + joint_window);
    const int count = static_cast<int>(to - from);
    if (count <= min_joint_ends(pool.listed)) {
        return std::nullopt;
    }
    return joint_ends{name, *from, *std::prev(to), count};
}

std::vector<joint_ends> ended_processes::take_joint(time_point now) {
    std::vector<joint_ends> taken;
    for (const auto& [name, pool] : pools_) {
        time_point& until = taken_until_[name];
        for (const time_point at : pool.ends) {
            if (at <= until || at + 2 * joint_window > now) {
                continue;
            }
            if (const std::optional<joint_ends> found = joint_at(name, pool, at)) {
                until = found->last;
                taken.push_back(*found);
            }
        }
    }
    return taken;
}

} // namespace laurelhoist
