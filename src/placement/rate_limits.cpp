#include "placement/rate_limits.h"

#include "base/base.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Sent to an endpoint that takes less than this, or nobody would learn that its limit is over.
constexpr double least_requests_per_s = 0.5;
/// More is no limit that any endpoint comes near.
constexpr double most_requests_per_s = 10000;
/// That a sponsor may catch up on at high rates, where two requests are a matter of milliseconds.
constexpr duration least_credit = milliseconds(250);
/// For what is known of endpoints that are not listed, and of limits that are over: then every host has
/// heard.
constexpr duration belief_memory = seconds(30);
/// A limit that follows the endpoint's load changes a little with each answer, which is told with the rounds.
constexpr double change_worth_telling = 0.1;
constexpr std::size_t most_beliefs = 1024; ///< of some 150 bytes each
constexpr double no_limit = -1;

double effective_rate(double limit) {
    return std::clamp(limit, least_requests_per_s, most_requests_per_s);
}

std::size_t wanted_sponsors(double limit) {
    return 1 + static_cast<std::size_t>(std::min(limit, most_requests_per_s));
}

duration credit_of(duration spacing) {
    return std::max(spacing, least_credit);
}

bool is_worth_telling(const std::optional<double>& before, const std::optional<double>& after) {
    if (!before || !after) {
        return before != after;
    }
    return std::abs(*after - *before) > change_worth_telling * *before;
}

limit_statement to_statement(const limit_notice& notice, time_point now) {
    const auto at = [now](std::int64_t age_ms) {
        return now - milliseconds(std::max<std::int64_t>(0, age_ms));
    };
    const bool is_limit = std::isfinite(notice.requests_per_s) && notice.requests_per_s >= 0;
    return {is_limit ? std::optional(notice.requests_per_s) : std::nullopt, at(notice.sent_age_ms),
            at(notice.heard_age_ms)};
}

limit_notice to_notice(std::uint32_t process, const limit_statement& said, time_point now) {
    const auto age = [now](time_point at) { return std::llround(to_ms(now - at)); };
    return {process, said.requests_per_s.value_or(no_limit), age(said.sent_at), age(said.heard_at)};
}

} // namespace

void rate_limits::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    if (endpoints != listed_) {
        listed_ = endpoints;
        processes_.clear();
        by_process_.clear();
        for (std::size_t i = 0; i < listed_.size(); ++i) {
            const std::uint32_t process = process_code(listed_[i].name, listed_[i].started_at_ms);
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
    for (auto item = beliefs_.begin(); item != beliefs_.end();) {
        const bool is_in_force = item->second.said.requests_per_s && find_listed(item->first) != nullptr;
        const bool is_old = now - item->second.said.heard_at > belief_memory;
        item = !is_in_force && is_old ? beliefs_.erase(item) : std::next(item);
    }
}

void rate_limits::set_sharers(const std::string& pool, std::size_t sharers) {
    if (sharers_[pool] == sharers) {
        return;
    }
    sharers_[pool] = sharers;
    for (auto& [process, held] : beliefs_) {
        held.is_assigned = false;
    }
}

void rate_limits::set_hosts(const sponsor_view& view, time_point now) {
    const auto is_same_host = [](const host_status& l, const host_status& r) {
        return l.name == r.name && l.state == r.state && l.domain == r.domain;
    };
    const bool is_same_view = view.knows_others == view_.knows_others &&
                              std::equal(view.hosts.begin(), view.hosts.end(), view_.hosts.begin(),
                                         view_.hosts.end(), is_same_host);
    if (!is_same_view) {
        view_ = view;
    }
    for (auto& [process, held] : beliefs_) {
        const endpoint_record* endpoint = find_listed(process);
        if (endpoint != nullptr && (!is_same_view || !held.is_assigned)) {
            assign(held, *endpoint, now);
        }
    }
}

std::size_t rate_limits::parts_for_this_host(const endpoint_record& endpoint, double limit) const {
    const auto sharers = sharers_.find(endpoint.pool);
    if (sharers != sharers_.end()) {
        return std::max<std::size_t>(1, sharers->second);
    }
    const std::vector<std::string> sponsors = sponsors_of(endpoint, view_.hosts, wanted_sponsors(limit));
    const bool is_sponsor = std::find(sponsors.begin(), sponsors.end(), host_) != sponsors.end();
    return is_sponsor ? sponsors.size() : 0;
}

void rate_limits::assign(belief& held, const endpoint_record& endpoint, time_point now) const {
    held.is_assigned = true;
    if (!held.said.requests_per_s || !view_.knows_others) {
        held.own.reset();
        return;
    }
    const double limit = *held.said.requests_per_s;
    const std::size_t parts = parts_for_this_host(endpoint, limit);
    if (parts == 0) {
        held.own.reset();
        return;
    }
    const double share = effective_rate(limit) / static_cast<double>(parts);
    const auto spacing = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1.0 / share));
    if (!held.own) {
        // Another host may have sent its part until now, and new sponsors must not begin in step.
        const double phase = static_cast<double>(placement_hash(host_ + "/" + endpoint.name) % 1000) / 1000;
        const auto first = std::chrono::duration_cast<duration>(spacing * (1.0 + phase));
        held.own = pace{spacing, now + first + credit_of(spacing)};
    } else if (spacing != held.own->spacing) {
        const time_point next = held.last_sent + spacing + credit_of(spacing);
        held.own = pace{spacing, spacing > held.own->spacing ? std::max(next, held.own->due) : held.own->due};
    }
}

bool rate_limits::take(std::uint32_t process, const limit_statement& said, time_point now) {
    const auto found = beliefs_.find(process);
    if (found == beliefs_.end() && (!said.requests_per_s || beliefs_.size() >= most_beliefs)) {
        return false;
    }
    belief& held = beliefs_[process];
    const std::optional<double> before = held.said.requests_per_s;
    const std::optional<double>& after = said.requests_per_s;
    const bool is_older = said.heard_at < held.said.sent_at;
    const bool is_newer = said.sent_at > held.said.heard_at;
    const bool is_stricter = after && (!before || *after < *before);
    if (is_older || !(is_newer || is_stricter || after == before)) {
        return false;
    }
    held.said = {after, std::max(held.said.sent_at, said.sent_at),
                 std::max(held.said.heard_at, said.heard_at)};
    if (after == before) {
        return false;
    }
    held.changed_at = now;
    held.is_assigned = false;
    if (const endpoint_record* endpoint = find_listed(process)) {
        assign(held, *endpoint, now);
    }
    return is_worth_telling(before, after);
}

bool rate_limits::note(const endpoint_record& endpoint, const limit_statement& said, time_point now) {
    if (beliefs_.empty() && !said.requests_per_s) {
        return false;
    }
    const std::uint32_t process = process_code(endpoint.name, endpoint.started_at_ms);
    const bool is_news = take(process, said, now);
    if (is_news) {
        beliefs_[process].is_untold = true;
    }
    return is_news;
}

std::vector<std::string> rate_limits::merge(const std::vector<limit_notice>& notices, time_point now) {
    std::vector<std::string> changed;
    for (const limit_notice& notice : notices) {
        const bool is_news = take(notice.process, to_statement(notice, now), now);
        const endpoint_record* endpoint = find_listed(notice.process);
        if (is_news && endpoint != nullptr) {
            changed.push_back(endpoint->name);
        }
    }
    return changed;
}

std::vector<limit_notice> rate_limits::take_untold(time_point now) {
    std::vector<limit_notice> notices;
    for (auto& [process, held] : beliefs_) {
        if (held.is_untold) {
            notices.push_back(to_notice(process, held.said, now));
            held.is_untold = false;
        }
    }
    return notices;
}

std::vector<limit_notice> rate_limits::next_known(std::size_t most, time_point now) {
    std::vector<limit_notice> notices;
    auto next = beliefs_.upper_bound(last_told_);
    while (notices.size() < std::min(most, beliefs_.size())) {
        next = next == beliefs_.end() ? beliefs_.begin() : next;
        notices.push_back(to_notice(next->first, next->second.said, now));
        last_told_ = next->first;
        ++next;
    }
    return notices;
}

const rate_limits::belief* rate_limits::find_limited(const std::string& endpoint) const {
    if (beliefs_.empty()) {
        return nullptr;
    }
    const auto process = processes_.find(endpoint);
    if (process == processes_.end()) {
        return nullptr;
    }
    const auto found = beliefs_.find(process->second);
    return found != beliefs_.end() && found->second.said.requests_per_s ? &found->second : nullptr;
}

std::optional<double> rate_limits::limit_of(const std::string& endpoint) const {
    const belief* held = find_limited(endpoint);
    return held == nullptr ? std::nullopt : held->said.requests_per_s;
}

bool rate_limits::may_send_within(const std::string& endpoint, duration patience, time_point now) const {
    const belief* held = find_limited(endpoint);
    if (held == nullptr) {
        return true;
    }
    return held->own && held->own->due - credit_of(held->own->spacing) <= now + patience;
}

void rate_limits::on_sent(const std::string& endpoint, time_point now) {
    if (find_limited(endpoint) == nullptr) {
        return;
    }
    belief& held = beliefs_.at(processes_.at(endpoint));
    held.last_sent = now;
    if (held.own) {
        held.own->due = std::max(held.own->due, now) + held.own->spacing;
    }
}

bool rate_limits::has_tightened_since(const std::string& endpoint, time_point chosen_at) const {
    const belief* held = find_limited(endpoint);
    return held != nullptr && held->changed_at >= chosen_at;
}

std::optional<duration> rate_limits::room_in(const std::string& service, time_point now) const {
    std::optional<duration> first;
    for (const auto& [process, held] : beliefs_) {
        const endpoint_record* endpoint = find_listed(process);
        if (!held.said.requests_per_s || endpoint == nullptr || endpoint->pool != service) {
            continue;
        }
        // Where this host sends nothing, another does as soon.
        const auto usual = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1.0 / effective_rate(*held.said.requests_per_s)));
        const duration left =
            held.own ? std::max(duration::zero(), held.own->due - credit_of(held.own->spacing) - now) : usual;
        first = first ? std::min(*first, left) : left;
    }
    return first;
}

} // namespace laurelhoist
