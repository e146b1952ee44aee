/** \file
 * The program laurel-burn: reports the error-budget burn rates of each team and the totals of each version as
 * a table, CSV, JSON or an SVG plot. It reads the ledger and the request counts through any steward.
 */
#include "burn_report/burn_report.h"
#include "plot/plot.h"
#include "transport/transport.h"

#include <gflags/gflags.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>

DEFINE_string(stewards, "127.0.0.1:7100",
              "control addresses of stewards, tried in order, separated by commas");
DEFINE_string(operator_key, "", "operator key that authenticates to the stewards");
DEFINE_string(format, "text", "text, csv or json");
DEFINE_string(svg, "", "SVG file for a plot of the burn rates; empty: no plot");
DEFINE_string(team, "", "team to report on; empty: all");
DEFINE_int64(window, 60, "window of the plot in minutes: 5, 60 or 360");
DEFINE_uint32(timeout_ms, 15000, "timeout of a request to a steward in ms; allows for a slow platform");

namespace laurelhoist {

namespace {

constexpr int exit_unreachable = 4;

/** \return the JSON document at \p target from the first steward that serves it. Exits if none does, or if
 * one rejects the operator key. */
json fetch_json(const std::string& target) {
    for (const std::string& address : split_list(FLAGS_stewards)) {
        http_call call;
        call.address = require_address("stewards", address);
        call.target = target;
        call.headers = {{"Authorization", "Bearer " + FLAGS_operator_key}};
        call.timeout = milliseconds(FLAGS_timeout_ms);
        const http_answer answer = send_and_wait(call);
        if (answer.status == 200) {
            return json::parse(answer.body);
        }
        if (answer.status == 401) {
            std::cerr << "laurel-burn: the operator key is wrong; set --operator_key\n";
            std::exit(exit_unreachable);
        }
    }
    std::cerr << "laurel-burn: no steward answers " << target
              << "; set --stewards, or try again when the platform is available\n";
    std::exit(exit_unreachable);
}

burn_input read_input() {
    burn_input input;
    const json status = fetch_json("/control/status");
    const auto head = status["head"].get<fleet_head>();
    for (const auto* stops : {&head.withdrawn, &head.braked}) {
        for (const auto& [version, stop] : *stops) {
            input.stopped.insert(version);
        }
    }
    if (status["bundle"].is_object()) {
        const auto document = status["bundle"].get<bundle>();
        for (const objective_entry& objective : document.objectives) {
            if (FLAGS_team.empty() || objective.team == FLAGS_team) {
                input.objectives.push_back(objective);
            }
        }
        for (const team_entry& team : document.teams) {
            input.score_by_team[team.name] = team.quality.score;
        }
    }
    ledger_book book;
    const json ledger = fetch_json("/control/objects?prefix=ledger/");
    for (const json& item : ledger["items"]) {
        book.add(item["value"].get<ledger_segment>());
    }
    for (const auto& [key, record] : book.records()) {
        if (FLAGS_team.empty() || record.team == FLAGS_team) {
            input.bills.push_back(record);
        }
    }
    const json counts = fetch_json("/control/objects?prefix=counts/");
    for (const json& item : counts["items"]) {
        input.counts.push_back(item["value"].get<counts_bucket>());
    }
    input.now_ms = wall_clock_ms();
    return input;
}

std::string percent(double share) {
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f%%", share * 100);
    return text.data();
}

std::string decimal(double value) {
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

std::string age_text(std::int64_t age_ms) {
    return age_ms < 0 ? "none yet" : decimal(static_cast<double>(age_ms) / 1000) + " s old";
}

void print_row(const std::vector<std::string>& cells) {
    constexpr std::size_t width = 17;
    for (const std::string& cell : cells) {
        std::cout << cell << std::string(cell.size() < width ? width - cell.size() : 1, ' ');
    }
    std::cout << '\n';
}

void print_text(const burn_report& report) {
    std::cout << "newest bill: " << age_text(report.newest_bill_age_ms)
              << "; newest request counts: " << age_text(report.newest_count_age_ms) << "\n\n";
    print_row({"TEAM", "OBJECTIVE", "WINDOW", "EVENTS", "ATTAINED", "WANTED", "BURN RATE", "BUDGET LEFT"});
    for (const burn_line& line : report.lines) {
        print_row({line.team, line.objective, std::to_string(line.window_minutes) + " min",
                   std::to_string(line.events), line.events == 0 ? "-" : percent(line.attained),
                   percent(line.wanted), line.events == 0 ? "-" : decimal(line.burn_rate),
                   line.events == 0 ? "-" : percent(line.budget_left)});
    }
    std::cout << '\n';
    print_row({"TEAM", "VERSION", "REQUESTS", "SHARE", "COST", "COST SHARE", "AT THE SCORE", "P95 MS", ""});
    for (const version_line& line : report.versions) {
        print_row({line.team, line.version, std::to_string(line.requests), percent(line.request_share),
                   decimal(line.cost), percent(line.cost_share),
                   line.quality_share < 0 ? "-" : percent(line.quality_share), std::to_string(line.p95_ms),
                   line.is_stopped ? "stopped" : ""});
    }
}

void print_csv(const burn_report& report) {
    std::cout << "team,objective,window_minutes,events,attained,wanted,burn_rate,budget_left\n";
    for (const burn_line& line : report.lines) {
        std::cout << line.team << ',' << line.objective << ',' << line.window_minutes << ',' << line.events
                  << ',' << line.attained << ',' << line.wanted << ',' << line.burn_rate << ','
                  << line.budget_left << '\n';
    }
}

void plot(const burn_report& report) {
    bar_chart chart{
        "Burn rate over " + std::to_string(FLAGS_window) + " minutes (1 = budget fully used)", "", {}};
    for (const burn_line& line : report.lines) {
        if (line.window_minutes == FLAGS_window && line.events > 0) {
            chart.bars.push_back({line.team + " " + line.objective, line.burn_rate});
        }
    }
    std::ofstream file(FLAGS_svg);
    file << to_svg(chart);
    require_setting(file.good(), "svg", FLAGS_svg, "give a file that can be written");
}

int run() {
    require_setting(FLAGS_format == "text" || FLAGS_format == "csv" || FLAGS_format == "json", "format",
                    FLAGS_format, "give text, csv or json");
    require_setting(FLAGS_window == 5 || FLAGS_window == 60 || FLAGS_window == 360, "window",
                    std::to_string(FLAGS_window), "give 5, 60 or 360");
    const burn_report report = make_burn_report(read_input());
    if (FLAGS_format == "json") {
        std::cout << json(report).dump(2) << '\n';
    } else if (FLAGS_format == "csv") {
        print_csv(report);
    } else {
        print_text(report);
    }
    if (!FLAGS_svg.empty()) {
        plot(report);
    }
    return 0;
}

} // namespace

} // namespace laurelhoist

int main(int argc, char** argv) {
    laurelhoist::read_settings(&argc, &argv,
                               "laurel-burn: reports the burn rates of each team's error budgets.");
    return laurelhoist::run();
}
