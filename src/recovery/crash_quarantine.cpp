#include "recovery/crash_quarantine.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Requests held at once, of some 300 bytes each: a caller who sends new bodies all the time cannot fill the
/// memory.
constexpr std::size_t most_records = 512;
constexpr std::size_t most_ends = 16;
/// A first or second end is held against a request for so long. Callers come back within their time limit of
/// some 20 s; what ends an endpoint once in minutes does little harm.
constexpr duration suspicion_life = seconds(120);
/// From the last end until a quarantined request is tried again: the first time, then each time this many
/// times longer. A common question that was quarantined wrongly is back soon; one that does end endpoints
/// ends five in an hour.
constexpr duration first_trial = seconds(20);
constexpr double trial_growth = 4.0;
constexpr duration longest_quarantine = seconds(3600);
/// Beyond the time of the trial: then the request starts anew, in case the one host that may try it never
/// gets it.
constexpr duration quarantine_life = seconds(600);
/// Under way for longer, a trial has come to nothing and another is made.
constexpr duration trial_time = seconds(30);
/// Told for so long, so that a clearing outruns older news of ends.
constexpr duration clearing_life = seconds(30);
/// Ages grow by the time that a message takes; what is later by less is the same clearing heard again.
constexpr duration clearing_tolerance = seconds(1);
/// Hosts notice the same end within so long. A later one of the same process is of another process that took
/// its name, which the store says only seconds later.
constexpr duration end_spread = milliseconds(500);
constexpr std::size_t keepers = 3; ///< two may be lost or out of touch

std::int64_t age_ms(time_point at, time_point now) {
    return std::max<std::int64_t>(0, std::llround(to_ms(now - at)));
}

time_point moment_of(std::int64_t age, time_point now) {
    return now - milliseconds(std::max<std::int64_t>(0, age));
}

std::uint64_t rank_of(request_digest digest, const std::string& host) {
    return placement_hash(host, digest);
}

} // namespace

std::vector<endpoint_end> in_a_row(const std::vector<endpoint_end>& ends) {
    std::vector<endpoint_end> row;
    for (const endpoint_end& end : ends) {
        if (row.empty() || end.sent_at >= row.back().ended_at) {
            row.push_back(end);
        }
    }
    return row;
}

std::vector<std::string> keepers_of(request_digest digest, std::vector<std::string> hosts) {
    const std::size_t count = std::min(keepers, hosts.size());
    std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count), hosts.end(),
                      [digest](const std::string& left, const std::string& right) {
                          return rank_of(digest, left) < rank_of(digest, right);
                      });
    hosts.resize(count);
    return hosts;
}

void crash_quarantine::set_hosts(std::vector<std::string> hosts, bool knows_others) {
    hosts_ = std::move(hosts);
    knows_others_ = knows_others;
}

bool crash_quarantine::is_trial_host(request_digest digest) const {
    if (!knows_others_) {
        return false;
    }
    const std::uint64_t own = rank_of(digest, host_);
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const std::string& other) {
        return other == host_ || own < rank_of(digest, other);
    });
}

time_point crash_quarantine::trial_due(const record& held) {
    const double times = std::pow(trial_growth, held.counted - ends_to_quarantine);
    const double most = to_ms(longest_quarantine) / to_ms(first_trial);
    return held.ends.back().ended_at +
           std::chrono::duration_cast<duration>(first_trial * std::min(times, most));
}

bool crash_quarantine::may_send(request_digest digest, time_point now) const {
    const auto found = records_.find(digest);
    if (found == records_.end() || !is_quarantined(found->second)) {
        return true;
    }
    const record& held = found->second;
    const bool is_tried = held.tried_at && now - *held.tried_at < trial_time;
    return now >= trial_due(held) && !is_tried && is_trial_host(digest);
}

bool crash_quarantine::on_sent(request_digest digest, time_point now) {
    const auto found = records_.find(digest);
    if (found == records_.end() || !is_quarantined(found->second)) {
        return false;
    }
    found->second.tried_at = now;
    return true;
}

int crash_quarantine::ends_of(request_digest digest) const {
    const auto found = records_.find(digest);
    return found == records_.end() ? 0 : found->second.counted;
}

crash_quarantine::record& crash_quarantine::hold(request_digest digest, time_point now) {
    const auto found = records_.find(digest);
    if (found != records_.end()) {
        return found->second;
    }
    if (records_.size() >= most_records) {
        const auto least =
            std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
                return std::make_pair(left.second.counted, left.second.changed_at) <
                       std::make_pair(right.second.counted, right.second.changed_at);
            });
        records_.erase(least);
    }
    record& made = records_[digest];
    made.changed_at = now;
    return made;
}

bool crash_quarantine::add_end(record& held, const endpoint_end& end) {
    const bool is_known = std::any_of(held.ends.begin(), held.ends.end(), [&](const endpoint_end& each) {
        return each.process == end.process && std::chrono::abs(each.ended_at - end.ended_at) < end_spread;
    });
    if (is_known || (held.cleared_at && end.ended_at <= *held.cleared_at)) {
        return false;
    }
    const auto later = std::upper_bound(
        held.ends.begin(), held.ends.end(), end,
        [](const endpoint_end& left, const endpoint_end& right) { return left.ended_at < right.ended_at; });
    held.ends.insert(later, end);
    if (held.ends.size() > most_ends) {
        held.ends.erase(held.ends.begin());
    }
    return true;
}

bool crash_quarantine::clear_before(record& held, time_point cleared_at) {
    if (held.cleared_at && cleared_at <= *held.cleared_at + clearing_tolerance) {
        return false;
    }
    held.cleared_at = cleared_at;
    held.ends.erase(std::remove_if(held.ends.begin(), held.ends.end(),
                                   [&](const endpoint_end& end) { return end.ended_at <= cleared_at; }),
                    held.ends.end());
    return true;
}

void crash_quarantine::note_change(request_digest digest, record& held, int counted_before, time_point now) {
    held.counted = static_cast<int>(in_a_row(held.ends).size());
    held.concerns_all = held.concerns_all || held.counted >= ends_to_tell_all;
    held.changed_at = now;
    const bool was_quarantined = counted_before >= ends_to_quarantine;
    if (is_quarantined(held) && held.counted > counted_before) {
        log_warning("request_quarantined", {{"digest", to_text(digest)},
                                            {"ends", held.counted},
                                            {"trial_in_ms", std::llround(to_ms(trial_due(held) - now))}});
    } else if (was_quarantined && !is_quarantined(held)) {
        log_info("quarantine_lifted", {{"digest", to_text(digest)}});
    }
}

void crash_quarantine::on_end(request_digest digest, const endpoint_end& end, time_point now) {
    record& held = hold(digest, now);
    const int before = held.counted;
    if (add_end(held, end)) {
        note_change(digest, held, before, now);
        held.is_untold = true;
    }
}

void crash_quarantine::clear(request_digest digest, time_point now) {
    const auto found = records_.find(digest);
    if (found == records_.end() || found->second.ends.empty()) {
        return;
    }
    record& held = found->second;
    const int before = held.counted;
    clear_before(held, now);
    note_change(digest, held, before, now);
    held.is_untold = true;
}

void crash_quarantine::merge(const std::vector<crash_notice>& notices, time_point now) {
    for (const crash_notice& notice : notices) {
        record& held = hold(notice.digest, now);
        const int before = held.counted;
        bool is_news =
            notice.cleared_age_ms >= 0 && clear_before(held, moment_of(notice.cleared_age_ms, now));
        for (const told_end& end : notice.ends) {
            const endpoint_end heard{end.process, moment_of(end.sent_age_ms, now),
                                     moment_of(end.ended_age_ms, now)};
            is_news = add_end(held, heard) || is_news;
        }
        if (!is_news) {
            continue;
        }
        note_change(notice.digest, held, before, now);
        // Put together here from what several hosts saw: none of them knows it all.
        held.is_untold = held.is_untold || (held.counted > static_cast<int>(notice.ends.size()) &&
                                            held.counted >= ends_to_tell_all);
    }
}

void crash_quarantine::forget_old(time_point now) {
    for (auto item = records_.begin(); item != records_.end();) {
        const record& held = item->second;
        const time_point over_at = is_quarantined(held) ? trial_due(held) + quarantine_life
                                   : !held.ends.empty() ? held.ends.back().ended_at + suspicion_life
                                                        : held.cleared_at.value_or(now) + clearing_life;
        const bool is_over = now > over_at || (held.ends.empty() && !held.cleared_at);
        item = is_over ? records_.erase(item) : std::next(item);
    }
}

crash_notice crash_quarantine::to_notice(request_digest digest, const record& held, time_point now) {
    crash_notice notice;
    notice.digest = digest;
    for (const endpoint_end& end : in_a_row(held.ends)) {
        notice.ends.push_back({end.process, age_ms(end.sent_at, now), age_ms(end.ended_at, now)});
    }
    notice.cleared_age_ms = held.cleared_at ? age_ms(*held.cleared_at, now) : -1;
    return notice;
}

std::vector<crash_notice> crash_quarantine::known(std::size_t most, time_point now) const {
    std::vector<std::pair<time_point, request_digest>> order;
    for (const auto& [digest, held] : records_) {
        if (held.concerns_all) {
            order.emplace_back(held.changed_at, digest);
        }
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(most, order.size()));
    std::vector<crash_notice> notices;
    for (const auto& [changed_at, digest] : order) {
        notices.push_back(to_notice(digest, records_.at(digest), now));
    }
    return notices;
}

crash_quarantine::untold crash_quarantine::take_untold(time_point now) {
    untold taken;
    for (auto& [digest, held] : records_) {
        if (!held.is_untold) {
            continue;
        }
        held.is_untold = false;
        (held.concerns_all ? taken.for_all : taken.for_keepers).push_back(to_notice(digest, held, now));
    }
    return taken;
}

std::vector<quarantined_request> crash_quarantine::quarantined(time_point now) const {
    std::vector<quarantined_request> listed;
    for (const auto& [digest, held] : records_) {
        if (is_quarantined(held)) {
            const duration left = std::max<duration>(duration::zero(), trial_due(held) - now);
            listed.push_back({to_text(digest), held.counted, std::llround(to_ms(left))});
        }
    }
    return listed;
}

} // namespace laurelhoist
