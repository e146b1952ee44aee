#include "placement/rate_limits.h"

#include "base/bounded.h"

#include "base/base.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Rate at which an endpoint with a lower limit still gets requests; otherwise no host would learn that its
/// limit has been lifted.
constexpr double min_requests_per_s = 0.5;
/// Higher limits count as this one; no endpoint reaches such a rate.
constexpr double max_requests_per_s = 10000;
/// Least delay that a sponsor may catch up on. At high rates two requests are only milliseconds apart.
constexpr duration min_credit = milliseconds(250);
/// How long statements of endpoints that are not listed, and lifted limits, are kept. By then every host has
/// heard that a limit was lifted.
constexpr duration limit_ttl = seconds(30);
/// Relative change that is announced at once. A limit that follows the endpoint's load changes a little with
/// each answer; smaller changes spread with the gossip rounds.
constexpr double min_announced_change = 0.1;
constexpr std::size_t max_known_limits = 1024;     ///< of about 200 bytes each
constexpr std::size_t max_possible_statements = 8; ///< of one endpoint
constexpr double no_limit = -1;

double effective_rate(double limit) {
    return std::clamp(limit, min_requests_per_s, max_requests_per_s);
}

std::size_t wanted_sponsors(double limit) {
    return 1 + static_cast<std::size_t>(std::min(limit, max_requests_per_s));
}

duration credit_of(duration spacing) {
    return std::max(spacing, min_credit);
}

bool is_worth_announcing(const std::optional<double>& before, const std::optional<double>& after) {
    if (!before || !after) {
        return before != after;
    }
    return std::abs(*after - *before) > min_announced_change * *before;
}

limit_statement to_statement(const limit_notice& notice, time_point now) {
    const auto at = [now](std::int64_t age_ms) {
        return now - foreign_time(std::max<std::int64_t>(0, age_ms));
    };
    const bool is_limit = std::isfinite(notice.requests_per_s) && notice.requests_per_s >= 0;
    return {is_limit ? std::optional(notice.requests_per_s) : std::nullopt, at(notice.sent_age_ms),
            at(notice.heard_age_ms)};
}

void append_notices(std::vector<limit_notice>& notices, std::uint32_t process, const limit_history& history,
                    time_point now) {
    const auto age = [now](time_point at) { return std::llround(to_ms(now - at)); };
    for (const limit_statement& statement : history.statements()) {
        notices.push_back({process, statement.requests_per_s.value_or(no_limit), age(statement.sent_at),
                           age(statement.heard_at)});
    }
}

bool is_stricter(const std::optional<double>& left, const std::optional<double>& right) {
    return left && (!right || *left < *right);
}

} // namespace

void limit_history::add(const limit_statement& statement) {
    newest_sent_ = std::max(newest_sent_, statement.sent_at);
    const auto later = std::upper_bound(
        possible_.begin(), possible_.end(), statement,
        [](const limit_statement& l, const limit_statement& r) { return l.heard_at < r.heard_at; });
    possible_.insert(later, statement);
    std::vector<limit_statement> kept;
    for (auto each = possible_.rbegin(); each != possible_.rend(); ++each) {
        const bool is_outdated = each->heard_at < newest_sent_;
        if (!is_outdated && (kept.empty() || is_stricter(each->requests_per_s, kept.back().requests_per_s))) {
            kept.push_back(*each);
        }
    }
    possible_.assign(kept.rbegin(), kept.rend());
    if (possible_.size() > max_possible_statements) {
        // The stricter neighbour holds as long as the one that is dropped.
        const auto dropped = std::prev(possible_.end(), 2);
        std::prev(dropped)->heard_at = dropped->heard_at;
        possible_.erase(dropped);
    }
}

std::optional<double> limit_history::limit() const {
    return possible_.empty() ? std::nullopt : possible_.front().requests_per_s;
}

bool limit_history::is_older_than(time_point time) const {
    return possible_.empty() || possible_.back().heard_at < time;
}

std::vector<limit_statement> limit_history::statements() const {
    std::vector<limit_statement> all = possible_;
    for (limit_statement& each : all) {
        each.sent_at = newest_sent_;
    }
    return all;
}

void rate_limits::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    if (endpoints != listed_) {
        listed_ = endpoints;
        processes_.clear();
        by_process_.clear();
        for (std::size_t i = 0; i < listed_.size(); ++i) {
            const std::uint32_t process = process_hash(listed_[i].name, listed_[i].started_at_ms);
            processes_[listed_[i].name] = process;
            by_process_[process] = i;
        }
    }
    forget_old(now);
}

const endpoint_record* rate_limits::find_listed(std::uint32_t process) const {
    const auto found = by_process_.find(process);
    return found == by_process_.end() ? nullptr : &listed_[found->second];
}

void rate_limits::forget_old(time_point now) {
    for (auto item = known_limits_.begin(); item != known_limits_.end();) {
        const bool is_in_force = item->second.history.limit() && find_listed(item->first) != nullptr;
        const bool is_old = item->second.history.is_older_than(now - limit_ttl);
        item = !is_in_force && is_old ? known_limits_.erase(item) : std::next(item);
    }
}

void rate_limits::set_sharers(const std::string& pool, std::size_t sharers) {
    if (sharers_[pool] == sharers) {
        return;
    }
    sharers_[pool] = sharers;
    for (auto& [process, known] : known_limits_) {
        known.is_assigned = false;
    }
}

void rate_limits::set_hosts(const host_view& view, time_point now) {
    const auto is_same_host = [](const host_status& l, const host_status& r) {
        return l.name == r.name && l.state == r.state && l.domain == r.domain;
    };
    const bool is_same_view = view.has_full_view == view_.has_full_view &&
                              std::equal(view.hosts.begin(), view.hosts.end(), view_.hosts.begin(),
                                         view_.hosts.end(), is_same_host);
    if (!is_same_view) {
        view_ = view;
    }
    for (auto& [process, known] : known_limits_) {
        const endpoint_record* endpoint = find_listed(process);
        if (endpoint != nullptr && (!is_same_view || !known.is_assigned)) {
            assign(known, *endpoint, now);
        }
    }
}

std::size_t rate_limits::shares_for_this_host(const endpoint_record& endpoint, double limit) const {
    const auto sharers = sharers_.find(endpoint.pool);
    if (sharers != sharers_.end()) {
        return std::max<std::size_t>(1, sharers->second);
    }
    const std::vector<std::string> sponsors = sponsors_of(endpoint, view_.hosts, wanted_sponsors(limit));
    const bool is_sponsor = std::find(sponsors.begin(), sponsors.end(), host_) != sponsors.end();
    return is_sponsor ? sponsors.size() : 0;
}

void rate_limits::assign(known_limit& known, const endpoint_record& endpoint, time_point now) const {
    known.is_assigned = true;
    const std::optional<double> limit = known.history.limit();
    if (!limit || !view_.has_full_view) {
        known.own_pace.reset();
        return;
    }
    const std::size_t parts = shares_for_this_host(endpoint, *limit);
    if (parts == 0) {
        known.own_pace.reset();
        return;
    }
    const double share = effective_rate(*limit) / static_cast<double>(parts);
    const auto spacing = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1.0 / share));
    if (!known.own_pace) {
        // Another host may have sent this share until now, and new sponsors must not send in step.
        const double phase = static_cast<double>(placement_hash(host_ + "/" + endpoint.name) % 1000) / 1000;
        const auto first = std::chrono::duration_cast<duration>(spacing * (1.0 + phase));
        known.own_pace = pace{spacing, now + first + credit_of(spacing)};
    } else if (spacing != known.own_pace->spacing) {
        const time_point next = known.last_sent + spacing + credit_of(spacing);
        known.own_pace = pace{spacing, spacing > known.own_pace->spacing ? std::max(next, known.own_pace->due)
                                                                         : known.own_pace->due};
    }
}

bool rate_limits::apply_statement(std::uint32_t process, const limit_statement& statement, time_point now) {
    const auto found = known_limits_.find(process);
    if (found == known_limits_.end() &&
        (!statement.requests_per_s || known_limits_.size() >= max_known_limits)) {
        return false;
    }
    known_limit& known = known_limits_[process];
    const std::optional<double> before = known.history.limit();
    known.history.add(statement);
    const std::optional<double> after = known.history.limit();
    if (after == before) {
        return false;
    }
    known.changed_at = now;
    known.is_assigned = false;
    if (const endpoint_record* endpoint = find_listed(process)) {
        assign(known, *endpoint, now);
    }
    return is_worth_announcing(before, after);
}

bool rate_limits::note(const endpoint_record& endpoint, const limit_statement& statement, time_point now) {
    if (known_limits_.empty() && !statement.requests_per_s) {
        return false;
    }
    const std::uint32_t process = process_hash(endpoint.name, endpoint.started_at_ms);
    const bool is_significant = apply_statement(process, statement, now);
    if (is_significant) {
        known_limits_[process].is_pending = true;
    }
    return is_significant;
}

std::vector<std::string> rate_limits::merge(const std::vector<limit_notice>& notices, time_point now) {
    std::vector<std::string> changed;
    for (const limit_notice& notice : notices) {
        const bool is_significant = apply_statement(notice.process, to_statement(notice, now), now);
        const endpoint_record* endpoint = find_listed(notice.process);
        if (is_significant && endpoint != nullptr) {
            changed.push_back(endpoint->name);
        }
    }
    return changed;
}

std::vector<limit_notice> rate_limits::take_pending(time_point now) {
    std::vector<limit_notice> notices;
    for (auto& [process, known] : known_limits_) {
        if (known.is_pending) {
            append_notices(notices, process, known.history, now);
            known.is_pending = false;
        }
    }
    return notices;
}

std::vector<limit_notice> rate_limits::next_to_gossip(std::size_t max_count, time_point now) {
    std::vector<limit_notice> notices;
    auto next = known_limits_.upper_bound(last_gossiped_);
    for (std::size_t visited = 0; visited < known_limits_.size() && notices.size() < max_count; ++visited) {
        next = next == known_limits_.end() ? known_limits_.begin() : next;
        append_notices(notices, next->first, next->second.history, now);
        last_gossiped_ = next->first;
        ++next;
    }
    return notices;
}

const rate_limits::known_limit* rate_limits::find_limited(const std::string& endpoint) const {
    if (known_limits_.empty()) {
        return nullptr;
    }
    const auto process = processes_.find(endpoint);
    if (process == processes_.end()) {
        return nullptr;
    }
    const auto found = known_limits_.find(process->second);
    return found != known_limits_.end() && found->second.history.limit() ? &found->second : nullptr;
}

std::optional<double> rate_limits::limit_of(const std::string& endpoint) const {
    const known_limit* known = find_limited(endpoint);
    return known == nullptr ? std::nullopt : known->history.limit();
}

bool rate_limits::may_send_within(const std::string& endpoint, duration max_wait, time_point now) const {
    const known_limit* known = find_limited(endpoint);
    if (known == nullptr) {
        return true;
    }
    return known->own_pace && known->own_pace->due - credit_of(known->own_pace->spacing) <= now + max_wait;
}

void rate_limits::on_sent(const std::string& endpoint, time_point now) {
    if (find_limited(endpoint) == nullptr) {
        return;
    }
    known_limit& known = known_limits_.at(processes_.at(endpoint));
    known.last_sent = now;
    if (known.own_pace) {
        known.own_pace->due = std::max(known.own_pace->due, now) + known.own_pace->spacing;
    }
}

bool rate_limits::has_changed_since(const std::string& endpoint, time_point chosen_at) const {
    const known_limit* known = find_limited(endpoint);
    return known != nullptr && known->changed_at >= chosen_at;
}

std::optional<duration> rate_limits::time_until_available(const std::string& service, time_point now) const {
    std::optional<duration> first;
    for (const auto& [process, known] : known_limits_) {
        const endpoint_record* endpoint = find_listed(process);
        const std::optional<double> limit = known.history.limit();
        if (!limit || endpoint == nullptr || endpoint->pool != service) {
            continue;
        }
        // If this host is not a sponsor, another host sends the next request within the usual interval.
        const auto usual =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(1.0 / effective_rate(*limit)));
        const duration left =
            known.own_pace
                ? std::max(duration::zero(), known.own_pace->due - credit_of(known.own_pace->spacing) - now)
                : usual;
        first = first ? std::min(*first, left) : left;
    }
    return first;
}

} // namespace laurelhoist
