#include "routing/fair_queue.h"

#include <algorithm>

namespace laurelhoist {

fair_queue::team_queue& fair_queue::activate(const std::string& team) {
    team_queue& queue = teams_[team];
    if (queue.items.empty()) {
        queue.virtual_time = std::max(queue.virtual_time, virtual_time_);
    }
    return queue;
}

void fair_queue::push(const std::string& team, const std::string& request_id, time_point now) {
    activate(team).items.push_back({request_id, now});
}

void fair_queue::push_front(const std::string& team, const std::string& request_id, time_point now) {
    activate(team).items.push_front({request_id, now});
}

std::optional<std::string> fair_queue::pop(const std::function<int(const std::string&)>& weight_of,
                                           const std::function<bool(const std::string&)>& may_take) {
    auto best = teams_.end();
    for (auto team = teams_.begin(); team != teams_.end(); ++team) {
        if (team->second.items.empty() || !may_take(team->first)) {
            continue;
        }
        if (best == teams_.end() || team->second.virtual_time < best->second.virtual_time) {
            best = team;
        }
    }
    if (best == teams_.end()) {
        return std::nullopt;
    }
    team_queue& queue = best->second;
    std::string taken = queue.items.front().request_id;
    queue.items.pop_front();
    virtual_time_ = queue.virtual_time;
    queue.virtual_time += 1.0 / std::max(1, weight_of(best->first));
    return taken;
}

void fair_queue::remove(const std::string& team, const std::string& request_id) {
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return;
    }
    auto& items = found->second.items;
    items.erase(std::remove_if(items.begin(), items.end(),
                               [&](const queued_request& item) { return item.request_id == request_id; }),
                items.end());
}

double fair_queue::share_of(const std::string& team,
                            const std::function<int(const std::string&)>& weight_of) const {
    double total = weight_of(team);
    for (const auto& [name, queue] : teams_) {
        total += name != team && !queue.items.empty() ? weight_of(name) : 0;
    }
    return weight_of(team) / std::max(1.0, total);
}

std::size_t fair_queue::size() const {
    std::size_t total = 0;
    for (const auto& [team, queue] : teams_) {
        total += queue.items.size();
    }
    return total;
}

std::size_t fair_queue::size_of(const std::string& team) const {
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.items.size();
}

} // namespace laurelhoist
