#include "burn_report/burn_report.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

constexpr std::int64_t ms_per_minute = 60000;
constexpr double micro = 1e6;

struct event_counts {
    std::int64_t good = 0;
    std::int64_t total = 0;
};

bool is_model_answer(const bill_record& bill) {
    return bill.version.find('@') != std::string::npos;
}

event_counts count_bills(const burn_input& input, const objective_entry& objective,
                         std::int64_t window_minutes, const std::string& objective_kind) {
    event_counts counted;
    const auto score = input.score_by_team.find(objective.team);
    const double required_score = score == input.score_by_team.end() ? 0.0 : score->second;
    for (const bill_record& bill : input.bills) {
        const bool is_in_window = input.now_ms - bill.at_ms <= window_minutes * ms_per_minute;
        if (bill.team != objective.team || !is_in_window || !is_model_answer(bill)) {
            continue;
        }
        if (objective_kind == "quality" && bill.score < 0) {
            continue;
        }
        ++counted.total;
        const bool is_good = objective_kind == "latency"   ? bill.latency_ms <= objective.latency_ms
                             : objective_kind == "quality" ? bill.score >= required_score
                                                           : input.stopped.count(bill.version) == 0;
        counted.good += is_good ? 1 : 0;
    }
    return counted;
}

event_counts count_requests(const burn_input& input, const std::string& team, std::int64_t window_minutes) {
    event_counts counted;
    for (const counts_bucket& bucket : input.counts) {
        const auto found = bucket.teams.find(team);
        // A bucket is dated by the start of its minute, so the window is extended by one minute.
        if (found == bucket.teams.end() ||
            input.now_ms - bucket.minute * ms_per_minute > (window_minutes + 1) * ms_per_minute) {
            continue;
        }
        counted.good += found->second.whole;
        counted.total += found->second.whole + found->second.refused + found->second.failed;
    }
    return counted;
}

burn_line make_burn_line(const std::string& team, const std::string& objective, std::int64_t window,
                         const event_counts& counted, double wanted) {
    burn_line line;
    line.team = team;
    line.objective = objective;
    line.window_minutes = window;
    line.events = counted.total;
    line.wanted = wanted;
    line.attained =
        counted.total == 0 ? 1.0 : static_cast<double>(counted.good) / static_cast<double>(counted.total);
    constexpr double min_error_budget = 1e-6; // avoids division by zero for an objective of 100%
    line.burn_rate = (1 - line.attained) / std::max(min_error_budget, 1 - wanted);
    line.budget_left = 1 - line.burn_rate;
    return line;
}

std::vector<version_line> make_version_lines(const burn_input& input) {
    std::map<std::pair<std::string, version_name>, std::vector<const bill_record*>> groups;
    std::map<std::string, std::int64_t> requests;
    std::map<std::string, std::int64_t> costs;
    for (const bill_record& bill : input.bills) {
        groups[{bill.team, bill.version}].push_back(&bill);
        ++requests[bill.team];
        costs[bill.team] += bill.cost_micro;
    }
    std::vector<version_line> lines;
    for (const auto& [key, bills] : groups) {
        version_line line;
        line.team = key.first;
        line.version = key.second;
        line.requests = static_cast<std::int64_t>(bills.size());
        line.request_share = static_cast<double>(line.requests) / static_cast<double>(requests[line.team]);
        std::vector<std::int64_t> latencies;
        std::int64_t cost = 0;
        std::int64_t rated = 0;
        std::int64_t good = 0;
        const auto score = input.score_by_team.find(line.team);
        for (const bill_record* bill : bills) {
            cost += bill->cost_micro;
            latencies.push_back(bill->latency_ms);
            rated += bill->score >= 0 ? 1 : 0;
            good += bill->score >= 0 && score != input.score_by_team.end() && bill->score >= score->second
                        ? 1
                        : 0;
        }
        std::sort(latencies.begin(), latencies.end());
        constexpr std::size_t percentile = 95;
        line.p95_ms = latencies[(latencies.size() * percentile + 99) / 100 - 1];
        line.cost = static_cast<double>(cost) / micro;
        line.cost_share =
            costs[line.team] == 0 ? 0 : static_cast<double>(cost) / static_cast<double>(costs[line.team]);
        line.quality_share = rated == 0 ? -1 : static_cast<double>(good) / static_cast<double>(rated);
        line.is_stopped = input.stopped.count(line.version) > 0;
        lines.push_back(line);
    }
    return lines;
}

} // namespace

burn_report make_burn_report(const burn_input& input) {
    burn_report report;
    for (const objective_entry& objective : input.objectives) {
        for (const std::int64_t window : burn_windows) {
            const auto add = [&](const std::string& objective_kind, const event_counts& counted,
                                 double wanted) {
                report.lines.push_back(
                    make_burn_line(objective.team, objective_kind, window, counted, wanted));
            };
            add("latency", count_bills(input, objective, window, "latency"), objective.latency_share);
            add("quality", count_bills(input, objective, window, "quality"), objective.quality_share);
            add("availability", count_requests(input, objective.team, window), objective.availability);
            add("exposure", count_bills(input, objective, window, "exposure"), 1 - objective.exposure_share);
        }
    }
    report.versions = make_version_lines(input);
    for (const bill_record& bill : input.bills) {
        const std::int64_t age = std::max<std::int64_t>(0, input.now_ms - bill.at_ms);
        report.newest_bill_age_ms =
            report.newest_bill_age_ms < 0 ? age : std::min(report.newest_bill_age_ms, age);
    }
    for (const counts_bucket& bucket : input.counts) {
        const std::int64_t age = std::max<std::int64_t>(0, input.now_ms - bucket.minute * ms_per_minute);
        report.newest_count_age_ms =
            report.newest_count_age_ms < 0 ? age : std::min(report.newest_count_age_ms, age);
    }
    return report;
}

} // namespace laurelhoist
