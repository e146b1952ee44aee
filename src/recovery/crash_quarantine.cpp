#include "recovery/crash_quarantine.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Bound on the records, of about 300 bytes each, so that a caller who keeps sending new bodies cannot
/// exhaust the memory.
constexpr std::size_t max_records = 512;
constexpr std::size_t max_ends_per_request = 16;
/// How long one or two ends count against a request. Callers repeat a request within their time limit of
/// about 20 s, and a request that ends an endpoint once in several minutes does little harm.
constexpr duration unquarantined_ttl = seconds(120);
/// Delay from the last end until a quarantined request is tried again, and its growth with each further end.
/// A common question that was quarantined wrongly is served again soon; a request that does end endpoints
/// ends four more in the first hour, after 20 s, 100 s, 420 s and 1,700 s.
constexpr duration first_trial_delay = seconds(20);
constexpr double trial_delay_factor = 4.0;
constexpr duration max_trial_delay = seconds(3600);
/// A quarantine expires this long after its trial was due, because the one host that may try the request may
/// never receive it.
constexpr duration quarantine_ttl = seconds(600);
/// A trial without a result after this time is made again.
constexpr duration trial_timeout = seconds(30);
/// How long a clearing is kept, so that it overrides older notices of ends that arrive later.
constexpr duration clearing_ttl = seconds(30);
/// Transit makes ages too small, so a clearing that seems later by less than this is the known one again.
constexpr duration clearing_tolerance = seconds(1);
/// Hosts detect the same end within this time. A later end with the same process code is that of a restarted
/// process, whose new start time the store shows only seconds later.
constexpr duration same_end_window = milliseconds(500);
constexpr std::size_t trackers_per_request = 3; ///< two may be lost or unreachable

std::int64_t age_ms(time_point at, time_point now) {
    return std::max<std::int64_t>(0, std::llround(to_ms(now - at)));
}

time_point time_from_age(std::int64_t age, time_point now) {
    return now - milliseconds(std::max<std::int64_t>(0, age));
}

std::uint64_t rank_of(request_digest digest, const std::string& host) {
    return placement_hash(host, digest);
}

} // namespace

std::vector<endpoint_end> consecutive_ends(const std::vector<endpoint_end>& ends) {
    std::vector<endpoint_end> sequence;
    for (const endpoint_end& end : ends) {
        if (sequence.empty() || end.sent_at >= sequence.back().ended_at) {
            sequence.push_back(end);
        }
    }
    return sequence;
}

std::vector<std::string> trackers_of(request_digest digest, std::vector<std::string> hosts) {
    const std::size_t count = std::min(trackers_per_request, hosts.size());
    std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count), hosts.end(),
                      [digest](const std::string& left, const std::string& right) {
                          return rank_of(digest, left) < rank_of(digest, right);
                      });
    hosts.resize(count);
    return hosts;
}

void crash_quarantine::set_hosts(std::vector<std::string> hosts, bool has_full_view) {
    hosts_ = std::move(hosts);
    has_full_view_ = has_full_view;
}

bool crash_quarantine::is_trial_host(request_digest digest) const {
    if (!has_full_view_) {
        return false;
    }
    const std::uint64_t own = rank_of(digest, host_);
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const std::string& other) {
        return other == host_ || own < rank_of(digest, other);
    });
}

time_point crash_quarantine::trial_due(const record& entry) {
    const double factor = std::pow(trial_delay_factor, entry.counted_ends - ends_to_quarantine);
    const double max_factor = to_ms(max_trial_delay) / to_ms(first_trial_delay);
    return entry.ends.back().ended_at +
           std::chrono::duration_cast<duration>(first_trial_delay * std::min(factor, max_factor));
}

bool crash_quarantine::may_send(request_digest digest, time_point now) const {
    const auto found = records_.find(digest);
    if (found == records_.end() || !is_quarantined(found->second)) {
        return true;
    }
    const record& entry = found->second;
    const bool is_tried = entry.tried_at && now - *entry.tried_at < trial_timeout;
    return now >= trial_due(entry) && !is_tried && is_trial_host(digest);
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
    return found == records_.end() ? 0 : found->second.counted_ends;
}

crash_quarantine::record& crash_quarantine::find_or_add(request_digest digest, time_point now) {
    const auto found = records_.find(digest);
    if (found != records_.end()) {
        return found->second;
    }
    if (records_.size() >= max_records) {
        const auto least =
            std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
                return std::make_pair(left.second.counted_ends, left.second.changed_at) <
                       std::make_pair(right.second.counted_ends, right.second.changed_at);
            });
        records_.erase(least);
    }
    record& made = records_[digest];
    made.changed_at = now;
    return made;
}

bool crash_quarantine::add_end(record& entry, const endpoint_end& end) {
    if (entry.cleared_at && end.ended_at <= *entry.cleared_at) {
        return false;
    }
    const auto known = std::find_if(entry.ends.begin(), entry.ends.end(), [&](const endpoint_end& each) {
        return each.process == end.process &&
               std::chrono::abs(each.ended_at - end.ended_at) < same_end_window;
    });
    endpoint_end added = end;
    if (known != entry.ends.end()) {
        // Transit only makes ages too small, so the earliest of several reports of an end is the truest.
        if (end.ended_at >= known->ended_at) {
            return false;
        }
        entry.ends.erase(known);
    }
    const auto later = std::upper_bound(
        entry.ends.begin(), entry.ends.end(), added,
        [](const endpoint_end& left, const endpoint_end& right) { return left.ended_at < right.ended_at; });
    entry.ends.insert(later, added);
    if (entry.ends.size() > max_ends_per_request) {
        entry.ends.erase(entry.ends.begin());
    }
    return true;
}

bool crash_quarantine::clear_before(record& entry, time_point cleared_at) {
    if (entry.cleared_at && cleared_at <= *entry.cleared_at + clearing_tolerance) {
        return false;
    }
    entry.cleared_at = cleared_at;
    entry.ends.erase(std::remove_if(entry.ends.begin(), entry.ends.end(),
                                    [&](const endpoint_end& end) { return end.ended_at <= cleared_at; }),
                     entry.ends.end());
    return true;
}

void crash_quarantine::update_count(request_digest digest, record& entry, int counted_before,
                                    time_point now) {
    entry.counted_ends = static_cast<int>(consecutive_ends(entry.ends).size());
    entry.is_fleet_wide = entry.is_fleet_wide || entry.counted_ends >= ends_to_announce;
    entry.changed_at = now;
    const bool was_quarantined = counted_before >= ends_to_quarantine;
    if (is_quarantined(entry) && entry.counted_ends > counted_before) {
        log_warning("request_quarantined", {{"digest", to_text(digest)},
                                            {"ends", entry.counted_ends},
                                            {"trial_in_ms", std::llround(to_ms(trial_due(entry) - now))}});
    } else if (was_quarantined && !is_quarantined(entry)) {
        log_info("quarantine_lifted", {{"digest", to_text(digest)}});
    }
}

void crash_quarantine::on_end(request_digest digest, const endpoint_end& end, time_point now) {
    record& entry = find_or_add(digest, now);
    const int before = entry.counted_ends;
    if (add_end(entry, end)) {
        update_count(digest, entry, before, now);
        entry.is_pending = true;
    }
}

void crash_quarantine::clear(request_digest digest, time_point now) {
    const auto found = records_.find(digest);
    if (found == records_.end() || found->second.ends.empty()) {
        return;
    }
    record& entry = found->second;
    const int before = entry.counted_ends;
    clear_before(entry, now);
    update_count(digest, entry, before, now);
    entry.is_pending = true;
}

bool crash_quarantine::has_use(const crash_notice& notice) const {
    const bool is_clearing = notice.cleared_age_ms >= 0;
    return !notice.ends.empty() || records_.count(notice.digest) > 0 ||
           (is_clearing && records_.size() < max_records);
}

void crash_quarantine::merge(const std::vector<crash_notice>& notices, time_point now) {
    for (const crash_notice& notice : notices) {
        if (!has_use(notice)) {
            continue;
        }
        record& entry = find_or_add(notice.digest, now);
        const int before = entry.counted_ends;
        bool has_changed =
            notice.cleared_age_ms >= 0 && clear_before(entry, time_from_age(notice.cleared_age_ms, now));
        for (const end_report& end : notice.ends) {
            const endpoint_end heard{end.process, time_from_age(end.sent_age_ms, now),
                                     time_from_age(end.ended_age_ms, now)};
            has_changed = add_end(entry, heard) || has_changed;
        }
        if (!has_changed) {
            continue;
        }
        update_count(notice.digest, entry, before, now);
        // The count was combined here from notices of several hosts, none of which knows the total, so it is
        // passed on.
        entry.is_pending = entry.is_pending || (entry.counted_ends > static_cast<int>(notice.ends.size()) &&
                                                entry.counted_ends >= ends_to_announce);
    }
}

void crash_quarantine::forget_old(time_point now) {
    for (auto item = records_.begin(); item != records_.end();) {
        const record& entry = item->second;
        const time_point over_at = is_quarantined(entry) ? trial_due(entry) + quarantine_ttl
                                   : !entry.ends.empty() ? entry.ends.back().ended_at + unquarantined_ttl
                                                         : entry.cleared_at.value_or(now) + clearing_ttl;
        const bool is_over = now > over_at || (entry.ends.empty() && !entry.cleared_at);
        item = is_over ? records_.erase(item) : std::next(item);
    }
}

crash_notice crash_quarantine::to_notice(request_digest digest, const record& entry, time_point now) {
    crash_notice notice;
    notice.digest = digest;
    for (const endpoint_end& end : consecutive_ends(entry.ends)) {
        notice.ends.push_back({end.process, age_ms(end.sent_at, now), age_ms(end.ended_at, now)});
    }
    notice.cleared_age_ms = entry.cleared_at ? age_ms(*entry.cleared_at, now) : -1;
    return notice;
}

std::vector<crash_notice> crash_quarantine::known(std::size_t max_count, time_point now) const {
    std::vector<std::pair<time_point, request_digest>> order;
    for (const auto& [digest, entry] : records_) {
        if (entry.is_fleet_wide) {
            order.emplace_back(entry.changed_at, digest);
        }
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(max_count, order.size()));
    std::vector<crash_notice> notices;
    for (const auto& [changed_at, digest] : order) {
        notices.push_back(to_notice(digest, records_.at(digest), now));
    }
    return notices;
}

crash_quarantine::pending_notices crash_quarantine::take_pending(time_point now) {
    pending_notices taken;
    for (auto& [digest, entry] : records_) {
        if (!entry.is_pending) {
            continue;
        }
        entry.is_pending = false;
        (entry.is_fleet_wide ? taken.for_all : taken.for_trackers).push_back(to_notice(digest, entry, now));
    }
    return taken;
}

std::vector<quarantined_request> crash_quarantine::quarantined(time_point now) const {
    std::vector<quarantined_request> listed;
    for (const auto& [digest, entry] : records_) {
        if (is_quarantined(entry)) {
            const duration left = std::max<duration>(duration::zero(), trial_due(entry) - now);
            listed.push_back({to_text(digest), entry.counted_ends, std::llround(to_ms(left))});
        }
    }
    return listed;
}

} // namespace laurelhoist
