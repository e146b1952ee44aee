#include "routing/waiting_room.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace laurelhoist {

namespace {

/// One of this many requests is taken from the teams in turn.
constexpr int reserved_turn_every = 4;
/// A team that its reserved turns serve beyond its weight falls behind others by this many requests at most.
constexpr double max_reserved_debt = 2;
constexpr double min_weight = 0.01;
/// The rate at which requests are taken is that of the last ones, within this time.
constexpr std::size_t measured_takes = 32;
constexpr duration measured_time = seconds(10);
constexpr std::size_t min_measured_takes = 2;

double weight_in(const waiting_room::weight_function& weight_of, const std::string& team) {
    return std::max(min_weight, weight_of ? weight_of(team) : 1.0);
}

} // namespace

void waiting_room::push(const waiting_request& request, time_point now) {
    insert(request, {place_group::in_time, to_micros(request.objective_at), ++events_}, now);
}

void waiting_room::push_front(const waiting_request& request, time_point now) {
    const std::uint64_t arrival = ++events_;
    insert(request, {place_group::run_before, -static_cast<std::int64_t>(arrival), arrival}, now);
}

void waiting_room::insert(const waiting_request& request, place at, time_point now) {
    remove(request.id);
    level& of = levels_[request.priority];
    begin_waiting(of, request);
    of.lines[request.team].entries.insert({request, at, now});
    ++of.size;
    ++teams_[request.team].size;
    index_[request.id] = {request.team, request.priority, at};
    since_.insert(now);
}

void waiting_room::begin_waiting(level& of, const waiting_request& request) {
    line& own = of.lines[request.team];
    if (own.entries.empty()) {
        of.idle.erase({own.virtual_time, request.team});
        own.virtual_time = std::max(own.virtual_time, of.virtual_time);
        own.served = ++events_;
        of.active.insert({own.virtual_time, request.team});
    }
    const auto [state, is_new] = teams_.try_emplace(request.team);
    if (is_new) {
        state->second.turn = ++events_;
        turns_.insert({state->second.turn, request.team});
    }
    state->second.priorities.insert(request.priority);
}

bool waiting_room::remove(const std::string& id) {
    const auto found = index_.find(id);
    if (found == index_.end()) {
        return false;
    }
    const location from = found->second;
    index_.erase(found);
    level& of = levels_.at(from.priority);
    entry_list& entries = of.lines.at(from.team).entries;
    const auto item = entries.find(from.at);
    since_.erase(since_.find(item->since));
    entries.erase(item);
    --of.size;
    --teams_.at(from.team).size;
    end_waiting(of, from);
    return true;
}

void waiting_room::end_waiting(level& of, const location& from) {
    const line& own = of.lines.at(from.team);
    team_state& state = teams_.at(from.team);
    if (own.entries.empty()) {
        of.active.erase({own.virtual_time, from.team});
        of.idle.insert({own.virtual_time, from.team});
        state.priorities.erase(from.priority);
    }
    if (state.size == 0) {
        turns_.erase({state.turn, from.team});
        teams_.erase(from.team);
    }
    if (of.size == 0) {
        levels_.erase(from.priority);
    }
}

bool waiting_room::is_reserved_turn() const {
    return taken_in_order_ >= reserved_turn_every - 1;
}

const waiting_request* waiting_room::next(time_point now, const selection& allowed) {
    return is_reserved_turn() ? next_in_turn(now, allowed) : next_in_order(now, allowed);
}

const waiting_request* waiting_room::next_in_order(time_point now, const selection& allowed) {
    for (auto& [priority, of] : levels_) {
        for (const auto& [virtual_time, team] : of.active) {
            if (!allowed.may_take || allowed.may_take(team)) {
                if (const waiting_request* found = first_of(of.lines.at(team), now, allowed)) {
                    return found;
                }
            }
        }
    }
    return nullptr;
}

const waiting_request* waiting_room::next_in_turn(time_point now, const selection& allowed) {
    for (const auto& [turn, team] : turns_) {
        if (allowed.may_take && !allowed.may_take(team)) {
            continue;
        }
        const waiting_request* best = nullptr;
        std::uint64_t served = 0;
        for (const int priority : teams_.at(team).priorities) {
            line& own = levels_.at(priority).lines.at(team);
            const waiting_request* found = first_of(own, now, allowed);
            if (found != nullptr && (best == nullptr || own.served < served)) {
                best = found;
                served = own.served;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

const waiting_request* waiting_room::first_of(line& from, time_point now, const selection& allowed) {
    move_late(from, now);
    for (const entry& each : from.entries) {
        if (!allowed.may_place || allowed.may_place(each.request.id)) {
            return &each.request;
        }
    }
    return nullptr;
}

void waiting_room::move_late(line& from, time_point now) {
    const place first_in_time{place_group::in_time, std::numeric_limits<std::int64_t>::min(), 0};
    for (;;) {
        const auto first = from.entries.lower_bound(first_in_time);
        if (first == from.entries.end() || first->at.group != place_group::in_time ||
            first->request.objective_at > now) {
            return;
        }
        const place late{place_group::late, 0, first->at.arrival};
        index_.at(first->request.id).at = late;
        from.entries.modify_key(first, [&late](place& at) { at = late; });
    }
}

bool waiting_room::take(const std::string& id, time_point now, const weight_function& weight_of) {
    const auto found = index_.find(id);
    if (found == index_.end()) {
        return false;
    }
    const location taken = found->second;
    const bool is_reserved = is_reserved_turn();
    charge(taken, weight_in(weight_of, taken.team), is_reserved);
    record_turn(taken.team, is_reserved);
    taken_at_.push_back(now);
    if (taken_at_.size() > measured_takes) {
        taken_at_.pop_front();
    }
    return remove(id);
}

void waiting_room::charge(const location& taken, double weight, bool is_reserved) {
    level& of = levels_.at(taken.priority);
    line& own = of.lines.at(taken.team);
    of.active.erase({own.virtual_time, taken.team});
    if (is_reserved) {
        const double latest = std::max(own.virtual_time, of.virtual_time + max_reserved_debt / weight);
        own.virtual_time = std::min(own.virtual_time + 1.0 / weight, latest);
    } else {
        of.virtual_time = std::max(of.virtual_time, own.virtual_time);
        own.virtual_time += 1.0 / weight;
    }
    own.served = ++events_;
    of.active.insert({own.virtual_time, taken.team});
    while (!of.idle.empty() && of.idle.begin()->first <= of.virtual_time) {
        of.lines.erase(of.idle.begin()->second);
        of.idle.erase(of.idle.begin());
    }
}

void waiting_room::record_turn(const std::string& team, bool is_reserved) {
    if (!is_reserved) {
        ++taken_in_order_;
        return;
    }
    taken_in_order_ = 0;
    team_state& state = teams_.at(team);
    turns_.erase({state.turn, team});
    state.turn = ++events_;
    turns_.insert({state.turn, team});
}

std::optional<waiting_request> waiting_room::pop(time_point now, const weight_function& weight_of,
                                                 const selection& allowed) {
    const waiting_request* found = next(now, allowed);
    if (found == nullptr) {
        return std::nullopt;
    }
    waiting_request taken = *found;
    take(taken.id, now, weight_of);
    return taken;
}

std::size_t waiting_room::size_of(const std::string& team) const {
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.size;
}

duration waiting_room::oldest_wait(time_point now) const {
    return since_.empty() ? duration::zero() : now - *since_.begin();
}

std::size_t waiting_room::ahead_of(const std::string& id, const weight_function& weight_of) const {
    const auto found = index_.find(id);
    if (found == index_.end()) {
        return 0;
    }
    const location& own = found->second;
    const level& of = levels_.at(own.priority);
    const entry_list& entries = of.lines.at(own.team).entries;
    const std::size_t own_ahead = entries.rank(entries.find(own.at));
    std::size_t ahead = own_ahead;
    for (const auto& [priority, urgent] : levels_) {
        ahead += priority < own.priority ? urgent.size : 0;
    }
    const double rounds = static_cast<double>(own_ahead + 1) / weight_in(weight_of, own.team);
    for (const auto& [virtual_time, team] : of.active) {
        if (team != own.team) {
            const auto shared = static_cast<std::size_t>(std::ceil(rounds * weight_in(weight_of, team)));
            ahead += std::min(of.lines.at(team).entries.size(), shared);
        }
    }
    const std::size_t lines = teams_.size() * teams_.at(own.team).priorities.size();
    return std::min(ahead, reserved_turn_every * lines * (own_ahead + 1) - 1);
}

std::optional<duration> waiting_room::expected_wait(const std::string& id, time_point now,
                                                    const weight_function& weight_of) const {
    const auto first = std::lower_bound(taken_at_.begin(), taken_at_.end(), now - measured_time);
    const auto count = static_cast<std::size_t>(taken_at_.end() - first);
    if (count < min_measured_takes || !contains(id)) {
        return std::nullopt;
    }
    const auto taken_before = static_cast<std::int64_t>(ahead_of(id, weight_of) + 1);
    return (now - *first) * taken_before / static_cast<std::int64_t>(count);
}

bool waiting_room::can_be_answered(const std::string& id, duration answer_time, time_point now,
                                   const weight_function& weight_of) const {
    const std::optional<duration> wait = expected_wait(id, now, weight_of);
    if (!wait) {
        return false;
    }
    const location& own = index_.at(id);
    const entry_list& entries = levels_.at(own.priority).lines.at(own.team).entries;
    return now + *wait + answer_time <= entries.find(own.at)->request.expires_at;
}

double waiting_room::share_of(const std::string& team, const weight_function& weight_of) const {
    const double own = weight_in(weight_of, team);
    double total = own;
    for (const auto& [name, state] : teams_) {
        total += name != team ? weight_in(weight_of, name) : 0;
    }
    return own / total;
}

} // namespace laurelhoist
