#include "relay/load_report.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace laurelhoist {

namespace {

constexpr double class_growth = 1.2;
constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;

std::int64_t second_of(time_point now) {
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

/** \return whether \p status promises that the request has not run. */
bool is_refusal(int status) {
    return status == status_unavailable || status < first_server_error;
}

void add_counts(counts_by_cause& sum, const counts_by_cause& more) {
    for (const auto& [cause, count] : more) {
        sum[cause] += count;
    }
}

} // namespace

bool operator<(const load_key& left, const load_key& right) {
    return std::tie(left.service, left.route, left.team) < std::tie(right.service, right.route, right.team);
}

void wait_histogram::add(duration wait) {
    const double position = std::ceil(std::log(std::max(1.0, to_ms(wait))) / std::log(class_growth));
    ++classes_[std::min(class_count - 1, static_cast<std::size_t>(position))];
}

void wait_histogram::add(const wait_histogram& other) {
    for (std::size_t i = 0; i < class_count; ++i) {
        classes_[i] += other.classes_[i];
    }
}

double wait_histogram::quantile_ms(double probability) const {
    const auto total = std::accumulate(classes_.begin(), classes_.end(), std::uint64_t{0});
    if (total == 0) {
        return 0;
    }
    const double wanted = std::max(1.0, std::ceil(probability * static_cast<double>(total)));
    std::uint64_t seen = 0;
    std::size_t at = 0;
    while (static_cast<double>(seen += classes_[at]) < wanted) {
        ++at;
    }
    return std::pow(class_growth, static_cast<double>(at));
}

void load_counts::add(const ended_request& request) {
    ++requests;
    if (request.outcome == "served") {
        ++served;
        late += request.is_late ? 1 : 0;
    } else if (request.outcome == "cut") {
        ++cut;
    } else if (request.status == 0) {
        ++left;
    } else {
        ++(is_refusal(request.status) ? refused : failed)[request.outcome];
    }
    if (request.first_event) {
        waits.add(*request.first_event);
    }
}

void load_counts::add(const load_counts& other) {
    requests += other.requests;
    served += other.served;
    late += other.late;
    cut += other.cut;
    left += other.left;
    add_counts(refused, other.refused);
    add_counts(failed, other.failed);
    waits.add(other.waits);
}

void to_json(json& document, const load_counts& counts) {
    constexpr double median = 0.5;
    constexpr double high = 0.9;
    document = {{"requests", counts.requests},
                {"served", counts.served},
                {"late", counts.late},
                {"cut", counts.cut},
                {"left", counts.left},
                {"refused", counts.refused},
                {"failed", counts.failed},
                {"first_event_ms_p50", std::lround(counts.waits.quantile_ms(median))},
                {"first_event_ms_p90", std::lround(counts.waits.quantile_ms(high))}};
}

void load_summary::row::add(const ended_request& request, std::int64_t second) {
    slice& present = slices.at(static_cast<std::size_t>(second % window_s));
    if (present.second != second) {
        present = {second, {}};
    }
    present.counts.add(request);
    total.add(request);
    last_second = second;
}

load_counts load_summary::row::in_window(std::int64_t second) const {
    load_counts sum;
    for (const slice& each : slices) {
        if (each.second > second - window_s) {
            sum.add(each.counts);
        }
    }
    return sum;
}

load_summary::row& load_summary::row_for(const load_key& key, std::int64_t second) {
    const auto found = rows_.find(key);
    if (found != rows_.end()) {
        return found->second;
    }
    if (rows_.size() >= max_rows) {
        const auto oldest = std::min_element(rows_.begin(), rows_.end(), [](const auto& a, const auto& b) {
            return a.second.last_second < b.second.last_second;
        });
        if (oldest->second.last_second > second - window_s) {
            return other_;
        }
        other_.total.add(oldest->second.total);
        rows_.erase(oldest);
    }
    return rows_[key];
}

void load_summary::on_ended(const ended_request& request, time_point now) {
    const std::int64_t second = second_of(now);
    row_for(request.key, second).add(request, second);
}

json load_summary::to_report(const row& of, const std::vector<duration>& waits, std::int64_t second) {
    const auto longest = std::max_element(waits.begin(), waits.end());
    return {{"last", of.in_window(second)},
            {"since_start", of.total},
            {"waiting", waits.size()},
            {"longest_wait_ms", longest == waits.end() ? 0 : std::lround(to_ms(*longest))}};
}

json load_summary::report(const std::vector<waiting_time>& waiting, const load_filter& filter,
                          time_point now) const {
    const std::int64_t second = second_of(now);
    std::map<load_key, std::vector<duration>> waits;
    std::vector<duration> other_waits;
    for (const waiting_time& each : waiting) {
        const bool has_room = rows_.size() + waits.size() < max_rows || waits.count(each.key) > 0;
        (has_room || rows_.count(each.key) > 0 ? waits[each.key] : other_waits).push_back(each.wait);
    }
    std::map<load_key, const row*> shown;
    static const row no_row;
    for (const auto& [key, ignored] : waits) {
        shown[key] = &no_row;
    }
    for (const auto& [key, known] : rows_) {
        shown[key] = &known;
    }
    json rows = json::array();
    for (const auto& [key, known] : shown) {
        const bool is_wanted = (filter.route.empty() || filter.route == key.route) &&
                               (filter.team.empty() || filter.team == key.team);
        if (is_wanted) {
            json each = to_report(*known, waits[key], second);
            each.update(json(key));
            rows.push_back(std::move(each));
        }
    }
    return {{"window_s", window_s}, {"rows", rows}, {"other", to_report(other_, other_waits, second)}};
}

} // namespace laurelhoist
