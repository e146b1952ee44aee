#include "recovery/crash_quarantine.h"

#include "base/bounded.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Bound on the records of each kind, of about 300 bytes each, so that a caller who keeps sending new bodies
/// or parts cannot exhaust the memory.
constexpr std::size_t max_records = 512;
constexpr duration min_weighing_interval = milliseconds(50);
constexpr std::size_t trackers_per_cause = 3; ///< two may be lost or unreachable
/// A request with several quarantined parts is tried this much later for each further one. Most of them are
/// innocent, and a request without the others shows that at less risk.
constexpr duration delay_per_further_cause = milliseconds(1500);
/// How long the same of many quarantined causes are passed on before the next ones have their turn.
constexpr duration turn_length = milliseconds(400);

std::int64_t age_ms(time_point at, time_point now) {
    return std::max<std::int64_t>(0, std::llround(to_ms(now - at)));
}

time_point time_from_age(std::int64_t age, time_point now) {
    return now - foreign_time(std::max<std::int64_t>(0, age));
}

std::uint64_t rank_of(std::uint64_t digest, const std::string& host) {
    return placement_hash(host, digest);
}

bool is_known_kind(int kind) {
    return kind >= 0 && static_cast<std::size_t>(kind) < cause_kinds;
}

} // namespace

std::vector<std::string> trackers_of(std::uint64_t digest, std::vector<std::string> hosts) {
    const std::size_t count = std::min(trackers_per_cause, hosts.size());
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

bool crash_quarantine::is_empty() const {
    return std::all_of(entries_.begin(), entries_.end(), [](const entry_map& each) { return each.empty(); });
}

const crash_quarantine::entry* crash_quarantine::find(const crash_cause& cause) const {
    const entry_map& entries = entries_of(cause.kind);
    const auto found = entries.find(cause.digest);
    return found == entries.end() ? nullptr : &found->second;
}

crash_quarantine::entry* crash_quarantine::find(const crash_cause& cause) {
    entry_map& entries = entries_of(cause.kind);
    const auto found = entries.find(cause.digest);
    return found == entries.end() ? nullptr : &found->second;
}

crash_quarantine::found_entries crash_quarantine::find_quarantined(const crash_causes& causes) const {
    found_entries found;
    for (const crash_cause& cause : causes.all()) {
        const entry* known = find(cause);
        if (known != nullptr && known->record.is_quarantined()) {
            found.emplace_back(cause, known);
        }
    }
    return found;
}

bool crash_quarantine::is_first_by_rank(std::uint64_t digest) const {
    const std::uint64_t own = rank_of(digest, host_);
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const std::string& other) {
        return other == host_ || own < rank_of(digest, other);
    });
}

bool crash_quarantine::is_tracker(std::uint64_t digest) const {
    const std::vector<std::string> trackers = trackers_of(digest, hosts_);
    return std::find(trackers.begin(), trackers.end(), host_) != trackers.end();
}

bool crash_quarantine::may_send(const crash_causes& causes, time_point now) const {
    const found_entries found = find_quarantined(causes);
    if (found.empty()) {
        return true;
    }
    const duration extra = delay_per_further_cause * (found.size() - 1);
    std::uint64_t least = found.front().first.digest;
    for (const auto& [cause, known] : found) {
        if (now < known->record.trial_due() + extra || known->record.is_being_tried(now)) {
            return false;
        }
        least = std::min(least, cause.digest);
    }
    return has_full_view_ && is_first_by_rank(least);
}

bool crash_quarantine::on_sent(const crash_causes& causes, time_point now) {
    const found_entries found = find_quarantined(causes);
    for (const auto& each : found) {
        find(each.first)->record.set_tried_at(now);
    }
    return !found.empty();
}

void crash_quarantine::on_trial_not_run(const crash_causes& causes) {
    for (const auto& each : find_quarantined(causes)) {
        find(each.first)->record.set_tried_at(std::nullopt);
    }
}

int crash_quarantine::ends_of(const crash_cause& cause) const {
    const entry* known = find(cause);
    return known == nullptr ? 0 : known->record.counted_ends();
}

crash_quarantine::entry* crash_quarantine::find_or_add(const crash_cause& cause, time_point now) {
    if (entry* known = find(cause)) {
        return known;
    }
    entry_map& entries = entries_of(cause.kind);
    if (entries.size() >= max_records) {
        const auto weight = [](const entry& each) {
            return std::make_tuple(each.record.is_quarantined(), each.record.counted_ends(),
                                   each.record.changed_at());
        };
        const auto least =
            std::min_element(entries.begin(), entries.end(), [&](const auto& left, const auto& right) {
                return weight(left.second) < weight(right.second);
            });
        if (least->second.record.is_quarantined()) {
            return nullptr;
        }
        entries.erase(least);
    }
    return &entries.emplace(cause.digest, entry{crash_record(cause.kind, now)}).first->second;
}

void crash_quarantine::on_changed(const crash_cause& cause, entry& changed, const crash_record& before,
                                  audience tells, time_point now) {
    const crash_record& record = changed.record;
    changed.is_fleet_wide = changed.is_fleet_wide || record.counted_ends() >= ends_to_announce;
    changed.tells = std::max(changed.tells, tells);
    if (record.is_quarantined() && record.counted_ends() > before.counted_ends()) {
        log_warning("request_quarantined", {{"cause", to_string(cause.kind)},
                                            {"digest", to_text(cause.digest)},
                                            {"ends", record.counted_ends()},
                                            {"requests", record.requests()},
                                            {"trial_in_ms", std::llround(to_ms(record.trial_due() - now))}});
    } else if (before.is_quarantined() && !record.is_quarantined()) {
        log_info("quarantine_lifted", {{"cause", to_string(cause.kind)}, {"digest", to_text(cause.digest)}});
    }
}

void crash_quarantine::set_endpoints(const std::vector<endpoint_record>& endpoints, time_point now) {
    if (weighs_joint_ends_ && ended_.update(endpoints, now)) {
        weigh_when_due(now);
    }
}

void crash_quarantine::on_refused(const std::string& endpoint, time_point refused_at, time_point now) {
    if (weighs_joint_ends_ && ended_.on_refused(endpoint, refused_at, now)) {
        weigh_when_due(now);
    }
}

end_weight crash_quarantine::weight_of(const endpoint_end& end, const crash_record& record) const {
    if (ended_.was_sent_to_ended(end)) {
        return end_weight::none;
    }
    const std::optional<joint_ends> joint = ended_.joint_with(end);
    if (!joint) {
        return end_weight::full;
    }
    const int present = record.processes_ended(joint->first, std::max(joint->last, end.ended_at));
    const int needed = (std::min(joint->count, static_cast<int>(max_ends)) + 1) / 2;
    return present >= needed ? end_weight::in_row : end_weight::none;
}

bool crash_quarantine::weigh(crash_record& record, time_point now) {
    const int before = record.ends_without_weight();
    const auto weight = [&](const endpoint_end& end) { return weight_of(end, record); };
    const bool has_changed = weighs_joint_ends_ && record.weigh(weight, now);
    ends_not_counted_ += static_cast<std::uint64_t>(std::max(0, record.ends_without_weight() - before));
    return has_changed;
}

// The ends of a failure domain become known one by one within a few tenths of a second, and weighing takes
// longer the more of them there are.
void crash_quarantine::weigh_when_due(time_point now) {
    if (now - weighed_at_ >= min_weighing_interval) {
        weigh_all(now);
        return;
    }
    is_weighing_due_ = true;
    weigh_if(now, [](const crash_record& record) { return record.is_quarantined(); });
}

void crash_quarantine::weigh_all(time_point now) {
    is_weighing_due_ = false;
    weighed_at_ = now;
    weigh_if(now, [](const crash_record& record) { return record.has_ends(); });
}

void crash_quarantine::weigh_if(time_point now, bool (*is_weighed)(const crash_record&)) {
    for (const cause_kind kind : all_cause_kinds) {
        for (auto& [digest, each] : entries_of(kind)) {
            if (!is_weighed(each.record)) {
                continue;
            }
            const crash_record before = each.record;
            if (weigh(each.record, now)) {
                on_changed({kind, digest}, each, before, audience::none, now);
            }
        }
    }
}

void crash_quarantine::on_end(const crash_causes& causes, const endpoint_end& end, time_point now) {
    const bool is_news = weighs_joint_ends_ && ended_.on_ended(end.process, end.ended_at, now);
    endpoint_end counted = end;
    counted.request = static_cast<std::uint32_t>(causes.request);
    for (const crash_cause& cause : causes.all()) {
        entry* known = find_or_add(cause, now);
        if (known == nullptr) {
            log_warning("crash_record_dropped",
                        {{"cause", to_string(cause.kind)},
                         {"digest", to_text(cause.digest)},
                         {"remedy", "lift quarantines that are no longer needed: the list is full"}});
            continue;
        }
        const crash_record before = known->record;
        if (known->record.add_end(counted, now)) {
            weigh(known->record, now);
            on_changed(cause, *known, before, audience::trackers, now);
        }
    }
    if (is_news) {
        weigh_when_due(now);
    }
}

void crash_quarantine::on_begun(const std::vector<part_digest>& parts, time_point now) {
    for (const part_digest part : parts) {
        clear({cause_kind::prompt_part, part}, now);
    }
}

void crash_quarantine::clear(const crash_cause& cause, time_point now) {
    entry* known = find(cause);
    if (known == nullptr || !known->record.has_ends()) {
        return;
    }
    const crash_record before = known->record;
    known->record.clear_before(now, now);
    on_changed(cause, *known, before, audience::trackers, now);
}

bool crash_quarantine::has_use(const crash_notice& notice) const {
    const auto kind = static_cast<cause_kind>(notice.kind);
    const bool is_clearing = notice.cleared_age_ms >= 0;
    return !notice.ends.empty() || find({kind, notice.digest}) != nullptr ||
           (is_clearing && entries_of(kind).size() < max_records);
}

void crash_quarantine::merge(const std::vector<crash_notice>& notices, time_point now) {
    bool is_news = false;
    for (const crash_notice& notice : notices) {
        for (const end_report& end : notice.ends) {
            const time_point ended_at = time_from_age(end.ended_age_ms, now);
            is_news = (weighs_joint_ends_ && ended_.on_ended(end.process, ended_at, now)) || is_news;
        }
    }
    for (const crash_notice& notice : notices) {
        if (is_known_kind(notice.kind) && has_use(notice)) {
            merge(notice, now);
        }
    }
    if (is_news) {
        weigh_when_due(now);
    }
}

void crash_quarantine::merge(const crash_notice& notice, time_point now) {
    const crash_cause cause{static_cast<cause_kind>(notice.kind), notice.digest};
    entry* known = find_or_add(cause, now);
    if (known == nullptr) {
        return;
    }
    const crash_record before = known->record;
    bool has_changed = notice.cleared_age_ms >= 0 &&
                       known->record.clear_before(time_from_age(notice.cleared_age_ms, now), now);
    for (const end_report& end : notice.ends) {
        const endpoint_end heard{end.process, time_from_age(end.sent_age_ms, now),
                                 time_from_age(end.ended_age_ms, now), end.request};
        has_changed = known->record.add_end(heard, now) || has_changed;
    }
    if (!has_changed) {
        return;
    }
    weigh(known->record, now);
    // The count was combined here from notices of several hosts, none of which knows the total, so it is
    // passed on.
    const int counted = known->record.counted_ends();
    const bool is_combined = counted > static_cast<int>(notice.ends.size()) && counted >= ends_to_announce;
    on_changed(cause, *known, before, is_combined ? audience::all : audience::none, now);
}

void crash_quarantine::forget_old(time_point now) {
    for (const joint_ends& each : ended_.take_joint(now)) {
        log_info("endpoint_ends_joint", {{"service", each.pool},
                                         {"count", each.count},
                                         {"window_ms", std::llround(to_ms(each.last - each.first))}});
    }
    if (is_weighing_due_) {
        weigh_all(now);
    }
    ended_.forget_old(now);
    for (entry_map& entries : entries_) {
        for (auto item = entries.begin(); item != entries.end();) {
            item = item->second.record.is_expired(now) ? entries.erase(item) : std::next(item);
        }
    }
}

crash_notice crash_quarantine::to_notice(const crash_cause& cause, const entry& described, time_point now) {
    const crash_record& record = described.record;
    crash_notice notice;
    notice.kind = static_cast<int>(cause.kind);
    notice.digest = cause.digest;
    for (const endpoint_end& end : record.counted()) {
        notice.ends.push_back(
            {end.process, age_ms(end.sent_at, now), age_ms(end.ended_at, now), end.request});
    }
    notice.cleared_age_ms = record.cleared_at() ? age_ms(*record.cleared_at(), now) : -1;
    return notice;
}

crash_quarantine::found_entries crash_quarantine::fleet_wide_entries() const {
    found_entries found;
    for (const cause_kind kind : all_cause_kinds) {
        for (const auto& [digest, each] : entries_of(kind)) {
            if (each.is_fleet_wide) {
                found.emplace_back(crash_cause{kind, digest}, &each);
            }
        }
    }
    const auto weight = [](const auto& each) {
        return std::make_pair(each.second->record.is_quarantined(), each.second->record.changed_at());
    };
    std::sort(found.begin(), found.end(),
              [&](const auto& left, const auto& right) { return weight(left) > weight(right); });
    return found;
}

std::vector<crash_notice> crash_quarantine::known(std::size_t max_count, time_point now) const {
    found_entries order = fleet_wide_entries();
    const auto first_other = std::find_if(
        order.begin(), order.end(), [](const auto& each) { return !each.second->record.is_quarantined(); });
    const auto quarantined_count = static_cast<std::size_t>(first_other - order.begin());
    if (quarantined_count > max_count) {
        const auto turn = static_cast<std::size_t>(now.time_since_epoch() / turn_length);
        const std::size_t first = turn * max_count % quarantined_count;
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first), first_other);
    }
    std::vector<crash_notice> notices;
    for (std::size_t i = 0; i < std::min(max_count, order.size()); ++i) {
        notices.push_back(to_notice(order[i].first, *order[i].second, now));
    }
    return notices;
}

crash_quarantine::pending_notices crash_quarantine::take_pending(time_point now) {
    pending_notices taken;
    for (const cause_kind kind : all_cause_kinds) {
        for (auto& [digest, each] : entries_of(kind)) {
            if (each.tells == audience::none) {
                continue;
            }
            const bool is_for_all = each.tells == audience::all || each.is_fleet_wide;
            each.tells = audience::none;
            (is_for_all ? taken.for_all : taken.for_trackers).push_back(to_notice({kind, digest}, each, now));
        }
    }
    return taken;
}

quarantined_cause crash_quarantine::to_listed(const crash_cause& cause, const entry& described,
                                              time_point now) {
    const crash_record& record = described.record;
    const duration left = std::max<duration>(duration::zero(), record.trial_due() - now);
    return {to_string(cause.kind), to_text(cause.digest), record.counted_ends(), record.requests(),
            std::llround(to_ms(left))};
}

std::vector<quarantined_cause> crash_quarantine::quarantined_among(const crash_causes& causes,
                                                                   time_point now) const {
    std::vector<quarantined_cause> listed;
    for (const auto& [cause, known] : find_quarantined(causes)) {
        listed.push_back(to_listed(cause, *known, now));
    }
    return listed;
}

std::vector<quarantined_cause> crash_quarantine::quarantined(time_point now) const {
    std::vector<quarantined_cause> listed;
    for (const cause_kind kind : all_cause_kinds) {
        for (const auto& [digest, each] : entries_of(kind)) {
            if (each.record.is_quarantined()) {
                listed.push_back(to_listed({kind, digest}, each, now));
            }
        }
    }
    return listed;
}

} // namespace laurelhoist
