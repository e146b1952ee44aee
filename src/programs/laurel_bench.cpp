/** \file
 * The program laurel-bench: experiments that compare policies under the same seeds, load and faults. They run
 * the production decision code in virtual time and write CSV tables and SVG plots.
 */
#include "plot/plot.h"
#include "programs/bench_waiting_room.h"
#include "simulation/simulation.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>

DEFINE_string(experiment, "all",
              "tier, endpoint, exposure, brake, withdrawal, overload, control, outage, waiting or all");
DEFINE_string(out, "docs/data", "existing directory for CSV files and plots");
DEFINE_uint64(seeds, 3, "runs of each configuration, with seeds counted up from 1");

namespace laurelhoist {

namespace {

/** A table that is printed row by row, and written as a CSV file when it is destroyed. */
class result_table {
public:
    result_table(std::string name, const std::vector<std::string>& columns) : name_{std::move(name)} {
        add(columns);
    }

    void add(const std::vector<std::string>& cells) {
        std::string line;
        for (const std::string& cell : cells) {
            line += (line.empty() ? "" : ",") + cell;
        }
        text_ += line + "\n";
        std::cout << line << '\n';
    }
    ~result_table() { std::ofstream(FLAGS_out + "/" + name_ + ".csv") << text_; }
    result_table(const result_table&) = delete;
    result_table& operator=(const result_table&) = delete;

private:
    std::string name_;
    std::string text_;
};

std::string format_value(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

template <class Chart>
void write_plot(const std::string& name, const Chart& chart) {
    std::ofstream(FLAGS_out + "/" + name + ".svg") << to_svg(chart);
}

double ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

// ---- tier: cost and quality of the policies that choose a model version ----

struct tier_result {
    double cost_per_answer = 0;
    double quality_share = 0; ///< share of model answers at or above the required score
    double oracle_cost = 0;   ///< cost per answer if the cheapest sufficient version were known in advance
    std::vector<double> latency_ms;
};

tier_result run_tier(tier_policy policy, double stream_share) {
    tier_result result;
    std::uint64_t within_target = 0;
    std::uint64_t answers = 0;
    double cost = 0;
    double oracle = 0;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        world_options options;
        options.seed = seed;
        options.service_share = 0;
        options.stream_share = stream_share;
        options.requests_per_second = 60;
        options.policies.tier = policy;
        world simulated(options);
        simulated.start();
        simulated.run_for(seconds(120));
        simulated.quiesce();
        simulated.check_final();
        const world_report& report = simulated.report();
        within_target += report.good_model_answers;
        answers += report.model_answers;
        constexpr double micro = 1e6;
        cost += static_cast<double>(report.cost_micro) / micro;
        oracle += report.oracle_cost;
        result.latency_ms.insert(result.latency_ms.end(), report.latency_ms.begin(), report.latency_ms.end());
    }
    result.cost_per_answer = cost / static_cast<double>(answers);
    result.oracle_cost = oracle / static_cast<double>(answers);
    result.quality_share = ratio(within_target, answers);
    return result;
}

void experiment_tier() {
    result_table table("tier", {"streams", "policy", "cost_per_answer", "of_oracle", "of_always_costly",
                                "share_at_score", "p50_ms", "p95_ms", "p99_ms"});
    const std::pair<const char*, tier_policy> policies[] = {{"always_costly", tier_policy::always_costly},
                                                            {"ours", tier_policy::ours},
                                                            {"fixed_ladder", tier_policy::fixed_ladder},
                                                            {"always_cheap", tier_policy::always_cheap}};
    bar_chart chart{"Cost per answer (target: 95% at the score)", "", {}};
    for (const double stream_share : {0.0, 0.2, 1.0}) {
        double costly = 0;
        for (const auto& [name, policy] : policies) {
            const tier_result result = run_tier(policy, stream_share);
            costly = policy == tier_policy::always_costly ? result.cost_per_answer : costly;
            if (policy == tier_policy::always_costly) {
                table.add({format_value(stream_share), "oracle", format_value(result.oracle_cost), "1",
                           format_value(result.oracle_cost / costly), "", "", "", ""});
            }
            table.add({format_value(stream_share), name, format_value(result.cost_per_answer),
                       format_value(result.cost_per_answer / result.oracle_cost),
                       format_value(result.cost_per_answer / costly), format_value(result.quality_share),
                       format_value(quantile_of(result.latency_ms, 0.5)),
                       format_value(quantile_of(result.latency_ms, 0.95)),
                       format_value(quantile_of(result.latency_ms, 0.99))});
            if (stream_share == 0.0) {
                if (chart.bars.empty()) {
                    chart.bars.push_back({"oracle", result.oracle_cost});
                }
                chart.bars.push_back(
                    {std::string(name) + " (" + format_value(100 * result.quality_share) + "% at the score)",
                     result.cost_per_answer});
            }
        }
    }
    write_plot("tier", chart);
}

// ---- endpoint: time to first token of the policies that choose an endpoint, by report lag ----

void experiment_endpoint() {
    result_table table("endpoint", {"report_lag_ms", "policy", "first_token_p50_ms", "first_token_p95_ms",
                                    "first_token_p99_ms", "prefix_hit_share", "whole_share"});
    const std::pair<const char*, endpoint_policy> policies[] = {
        {"ours", endpoint_policy::least_expected_latency},
        {"round_robin", endpoint_policy::round_robin},
        {"random", endpoint_policy::random},
        {"least_in_flight", endpoint_policy::least_in_flight}};
    line_chart chart{
        "First token, p95, one slow and one dead endpoint", "lag of load reports in ms", "ms", {}, -1};
    for (const auto& [name, policy] : policies) {
        plot_series series{name, {}};
        for (const int lag_ms : {100, 1000, 5000}) {
            std::vector<double> first;
            std::uint64_t hits = 0;
            std::uint64_t begun = 0;
            std::uint64_t whole = 0;
            std::uint64_t asked = 0;
            for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
                world_options options;
                options.seed = seed;
                options.service_share = 0;
                options.stream_share = 1;
                options.rates_answers = true;
                options.requests_per_second = 160;
                options.report_lag = milliseconds(lag_ms);
                options.cheap = {0.99, 100, 8, 0.01};
                options.policies.endpoint = policy;
                world simulated(options);
                simulated.start();
                constexpr double slow = 5;
                simulated.endpoints[0]->slow_factor = slow;
                simulated.endpoints[1]->is_dead = true;
                simulated.run_for(seconds(60));
                const world_report& report = simulated.report();
                first.insert(first.end(), report.first_token_ms.begin(), report.first_token_ms.end());
                whole += report.whole;
                asked += report.asked;
                for (const auto& endpoint : simulated.endpoints) {
                    hits += endpoint->prefix_hits;
                    begun += endpoint->begun;
                }
            }
            const double p95 = quantile_of(first, 0.95);
            series.points.push_back({static_cast<double>(lag_ms), p95});
            table.add({std::to_string(lag_ms), name, format_value(quantile_of(first, 0.5)), format_value(p95),
                       format_value(quantile_of(first, 0.99)), format_value(ratio(hits, begun)),
                       format_value(ratio(whole, asked))});
        }
        chart.series.push_back(series);
    }
    write_plot("endpoint", chart);
}

// ---- exposure: bad answers released before a bad version is braked ----

void experiment_exposure() {
    result_table table("exposure",
                       {"bad_share", "requests_per_s", "runs", "braked", "bad_answers_released_mean",
                        "bad_answers_released_max", "answers_released_mean", "brake_after_s_mean"});
    line_chart chart{"Answers below the score released before the brake",
                     "share of bad answers",
                     "answers (mean)",
                     {},
                     20};
    for (const double rate : {30.0, 100.0}) {
        plot_series series{format_value(rate) + " requests/s", {}};
        for (const double bad_share : {0.35, 0.5, 0.7, 0.9}) {
            double released_below = 0;
            double released = 0;
            std::uint64_t max_bad_answers = 0;
            std::uint64_t braked = 0;
            double brake_seconds = 0;
            const std::uint64_t runs = 4 * FLAGS_seeds;
            for (std::uint64_t seed = 1; seed <= runs; ++seed) {
                world_options options;
                options.seed = seed;
                options.requests_per_second = rate;
                options.steps = {{0.1, 600000}, {1.0, 1000}};
                world simulated(options);
                simulated.start();
                const version_name bad = simulated.roll_bundle(1 - bad_share);
                const time_point rolled = simulated.clock.now();
                while (simulated.clock.now() - rolled < seconds(300) &&
                       simulated.head_in_platform().braked.count(bad) == 0) {
                    simulated.run_for(milliseconds(500));
                }
                braked += simulated.head_in_platform().braked.count(bad);
                brake_seconds += to_ms(simulated.clock.now() - rolled) / 1000;
                simulated.run_for(seconds(5));
                const world_report& report = simulated.report();
                released_below += static_cast<double>(report.bad_version_answers);
                released += static_cast<double>(report.bad_version_released);
                max_bad_answers = std::max(max_bad_answers, report.bad_version_answers);
            }
            const auto count = static_cast<double>(runs);
            table.add({format_value(bad_share), format_value(rate), std::to_string(runs),
                       std::to_string(braked), format_value(released_below / count),
                       std::to_string(max_bad_answers), format_value(released / count),
                       format_value(brake_seconds / count)});
            series.points.push_back({bad_share, released_below / count});
        }
        chart.series.push_back(series);
    }
    write_plot("exposure", chart);
}

// ---- brake: share of rollouts braked and ratings until the verdict, by share of bad answers ----

void experiment_brake() {
    result_table table("brake", {"stated_quality", "true_bad_share", "rollouts", "braked_share",
                                 "answers_mean", "answers_p95"});
    random_source random(7);
    constexpr int rollouts = 20000;
    constexpr int max_ratings = 2000;
    for (const double quality : {0.8, 0.9, 0.97}) {
        const brake_hypotheses limits = hypotheses_for(quality, {}, {});
        for (const double excess_bad_share : {0.0, 0.02, 0.1, 0.2, 0.4, 0.6}) {
            const double bad_share = std::min(0.99, 1 - quality + excess_bad_share);
            int braked = 0;
            std::vector<double> answers;
            for (int i = 0; i < rollouts; ++i) {
                version_counts counts;
                while (counts.rated < max_ratings && evaluate(counts, limits) == brake_verdict::undecided) {
                    ++counts.rated;
                    counts.below += random.chance(bad_share) ? 1 : 0;
                }
                braked += evaluate(counts, limits) == brake_verdict::braked ? 1 : 0;
                answers.push_back(static_cast<double>(counts.rated));
            }
            double sum = 0;
            for (const double count : answers) {
                sum += count;
            }
            table.add({format_value(quality), format_value(bad_share), std::to_string(rollouts),
                       format_value(static_cast<double>(braked) / rollouts), format_value(sum / rollouts),
                       format_value(quantile_of(answers, 0.95))});
        }
    }
}

// ---- withdrawal: time until a withdrawal is in force on all entries, under faults ----

void experiment_withdrawal() {
    result_table table("withdrawal", {"platform", "withdrawals", "accepted", "in_force_p50_ms",
                                      "in_force_p99_ms", "in_force_max_ms"});
    for (const std::string platform : {"up", "slow", "loses_answers", "one_entry_cut_off"}) {
        std::vector<double> in_force;
        std::uint64_t accepted = 0;
        std::uint64_t tried = 0;
        for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
            world_options options;
            options.seed = seed;
            options.entries = 7;
            options.stewards = 4;
            world simulated(options);
            simulated.start();
            const std::uint64_t before = simulated.report().commands_accepted;
            const std::size_t first = simulated.report().in_force_ms.size();
            if (platform == "slow") {
                simulated.platform->faults.delay = milliseconds(700);
            } else if (platform == "loses_answers") {
                simulated.platform->faults.lost_answers = 0.5;
            }
            for (int i = 0; i < 40; ++i) {
                if (platform == "one_entry_cut_off") {
                    simulated.isolate("entry-0", seconds(2));
                }
                simulated.withdraw("cheap@" + std::to_string(1000 + i), static_cast<std::size_t>(i) % 4);
                ++tried;
                simulated.run_for(seconds(12));
            }
            accepted += simulated.report().commands_accepted - before;
            const std::vector<double>& all = simulated.report().in_force_ms;
            in_force.insert(in_force.end(), all.begin() + static_cast<std::ptrdiff_t>(first), all.end());
        }
        table.add({platform, std::to_string(tried), std::to_string(accepted),
                   format_value(quantile_of(in_force, 0.5)), format_value(quantile_of(in_force, 0.99)),
                   format_value(quantile_of(in_force, 1.0))});
    }
}

// ---- overload: goodput beyond capacity; latency of small teams while one team floods the fleet ----

struct overload_result {
    double goodput = 0;
    double small_team_p95_ms = 0;
    double refused_share = 0;
};

overload_result run_overload(double rate, double flood_factor) {
    overload_result result;
    std::vector<double> small;
    std::uint64_t asked = 0;
    std::uint64_t whole = 0;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        world_options options;
        options.seed = seed;
        options.engines = 6;
        options.service_share = 0;
        options.stream_share = 0;
        options.callers_retry = false;
        options.requests_per_second = rate;
        options.flood_factor = flood_factor;
        options.latency_budget_ms = 4000;
        options.policies.tier = tier_policy::always_cheap;
        world simulated(options);
        simulated.start();
        simulated.run_for(seconds(20));
        const std::uint64_t whole_before = simulated.report().whole;
        const std::uint64_t asked_before = simulated.report().asked;
        simulated.run_for(seconds(40));
        const world_report& report = simulated.report();
        whole += report.whole - whole_before;
        asked += report.asked - asked_before;
        for (const auto& [team, latencies] : report.latency_by_team) {
            if (team != 0) {
                small.insert(small.end(), latencies.begin(), latencies.end());
            }
        }
    }
    constexpr double measured_seconds = 40;
    result.goodput = static_cast<double>(whole) / (measured_seconds * static_cast<double>(FLAGS_seeds));
    result.refused_share = 1 - ratio(whole, asked);
    result.small_team_p95_ms = quantile_of(small, 0.95);
    return result;
}

void experiment_overload() {
    result_table table("overload",
                       {"load_of_capacity", "requests_per_s", "goodput_per_s", "of_peak", "refused_share"});
    constexpr double capacity =
        300; // 6 engines with 8 slots, about 150 ms per answer with half of the prefixes cached
    double peak = 0;
    plot_series series{"complete answers in time", {}};
    for (const double factor : {0.5, 0.8, 1.0, 1.5, 2.0, 5.0}) {
        const overload_result result = run_overload(capacity * factor, 1);
        peak = std::max(peak, result.goodput);
        table.add({format_value(factor), format_value(capacity * factor), format_value(result.goodput),
                   format_value(result.goodput / peak), format_value(result.refused_share)});
        series.points.push_back({factor, result.goodput});
    }
    write_plot(
        "overload",
        line_chart{"Goodput under overload", "load, of nominal capacity", "answers a second", {series}, -1});
    result_table fairness("fairness",
                          {"flood_of_one_team", "requests_per_s", "small_teams_p95_ms", "of_alone"});
    double baseline_p95_ms = 0;
    for (const double flood_factor : {1.0, 20.0, 100.0}) {
        constexpr double small_load = 100;
        const double rate = small_load * (flood_factor + 9) / 9;
        const overload_result result = run_overload(rate, flood_factor);
        baseline_p95_ms = baseline_p95_ms == 0 ? result.small_team_p95_ms : baseline_p95_ms;
        fairness.add({format_value(flood_factor), format_value(rate), format_value(result.small_team_p95_ms),
                      format_value(result.small_team_p95_ms / baseline_p95_ms)});
    }
}

// ---- control: control traffic and CPU time per node by fleet size and load ----

struct control_result {
    double bytes_per_node_s = 0;
    double messages_per_node_s = 0;
    double platform_reads_s = 0;
    double cpu_ms_per_node_s = 0;
};

control_result run_control(const world_options& options, double changes_per_s) {
    world simulated(options);
    simulated.start();
    simulated.set_load(options.requests_per_second);
    simulated.run_for(seconds(5));
    simulated.counts_control_bytes = true;
    const std::int64_t bytes = simulated.control_bytes();
    const std::int64_t messages = simulated.control_messages();
    const std::uint64_t reads = simulated.platform->reads;
    const double cpu = process_cpu_seconds();
    constexpr int span_s = 30;
    if (changes_per_s > 0) {
        for (int i = 0; i < static_cast<int>(span_s * changes_per_s); ++i) {
            simulated.withdraw("cheap@" + std::to_string(5000 + i));
            simulated.run_for(milliseconds(static_cast<int>(1000 / changes_per_s)));
        }
    } else {
        simulated.run_for(seconds(span_s));
    }
    const double nodes = static_cast<double>(options.entries + options.stewards) * span_s;
    control_result result;
    result.bytes_per_node_s = static_cast<double>(simulated.control_bytes() - bytes) / nodes;
    result.messages_per_node_s = static_cast<double>(simulated.control_messages() - messages) / nodes;
    result.platform_reads_s = static_cast<double>(simulated.platform->reads - reads) / span_s;
    result.cpu_ms_per_node_s = (process_cpu_seconds() - cpu) * 1000 / nodes;
    return result;
}

void experiment_control() {
    result_table table("control",
                       {"varied", "value", "entries", "stewards", "endpoints", "teams", "requests_per_s",
                        "bytes_per_node_s", "messages_per_node_s", "platform_reads_s", "cpu_ms_per_node_s"});
    const auto run = [&table](const std::string& varied, double value, const world_options& options,
                              double changes) {
        const control_result result = run_control(options, changes);
        table.add({varied, format_value(value), std::to_string(options.entries),
                   std::to_string(options.stewards), std::to_string(options.engines + options.services),
                   std::to_string(options.teams), format_value(options.requests_per_second),
                   format_value(result.bytes_per_node_s), format_value(result.messages_per_node_s),
                   format_value(result.platform_reads_s), format_value(result.cpu_ms_per_node_s)});
    };
    world_options idle;
    idle.requests_per_second = 0;
    idle.stewards = 4;
    idle.entries = 6;
    for (const std::size_t entries : {6, 24, 96}) {
        world_options options = idle;
        options.entries = entries;
        run("entries", static_cast<double>(entries), options, 0);
    }
    for (const std::size_t stewards : {4, 9, 18}) {
        world_options options = idle;
        options.stewards = stewards;
        options.entries = 24;
        run("stewards", static_cast<double>(stewards), options, 0);
    }
    for (const int engines : {18, 180, 1800}) {
        world_options options = idle;
        options.engines = engines;
        run("endpoints", engines, options, 0);
    }
    for (const int teams : {10, 40, 160}) {
        world_options options = idle;
        options.teams = teams;
        run("teams", teams, options, 0);
    }
    for (const double changes : {0.0, 0.25, 1.0}) {
        run("changes_per_s", changes, idle, changes);
    }
    for (const double rate : {0.0, 60.0, 180.0}) {
        world_options options = idle;
        options.requests_per_second = rate;
        run("requests_per_s", rate, options, 0);
    }
}

// ---- outage: share of requests answered and refused under one fault at a time ----

void experiment_outage() {
    result_table table("outage", {"fault", "asked", "whole_share", "refused_share", "p95_ms"});
    const std::pair<const char*, std::function<void(world&)>> faults[] = {
        {"none", [](world&) {}},
        {"platform dark 60 s", [](world& w) { w.platform->faults.is_down = true; }},
        {"platform dark and one steward dead",
         [](world& w) {
             w.platform->faults.is_down = true;
             w.kill_steward(0, seconds(100));
         }},
        {"platform dark and two of four stewards dead",
         [](world& w) {
             w.platform->faults.is_down = true;
             w.kill_steward(0, seconds(100));
             w.kill_steward(1, seconds(100));
         }},
        {"a domain lost", [](world& w) { w.lose_domain("osk-hall1", seconds(60)); }},
        {"a domain lost while the platform is dark",
         [](world& w) {
             w.platform->faults.is_down = true;
             w.lose_domain("osk-hall1", seconds(60));
         }},
        {"one entry cut off from all but callers", [](world& w) { w.isolate("entry-0", seconds(60)); }},
        {"rating service dark", [](world& w) { w.rater_is_down = true; }},
    };
    for (const auto& [name, apply] : faults) {
        world_options options;
        options.entries = 4;
        options.stewards = 4;
        options.service_share = 0;
        world simulated(options);
        simulated.start();
        apply(simulated);
        simulated.run_for(seconds(60));
        const world_report& report = simulated.report();
        table.add({name, std::to_string(report.asked), format_value(ratio(report.whole, report.asked)),
                   format_value(ratio(report.refused, report.asked)),
                   format_value(quantile_of(report.latency_ms, 0.95))});
    }
}

struct experiment_entry {
    const char* name;
    void (*run)();
};

constexpr experiment_entry experiments[] = {{"tier", experiment_tier},
                                            {"endpoint", experiment_endpoint},
                                            {"exposure", experiment_exposure},
                                            {"brake", experiment_brake},
                                            {"withdrawal", experiment_withdrawal},
                                            {"overload", experiment_overload},
                                            {"control", experiment_control},
                                            {"outage", experiment_outage},
                                            {"waiting", print_waiting_room_costs}};

int run() {
    bool is_known = false;
    for (const experiment_entry& experiment : experiments) {
        if (FLAGS_experiment == "all" || FLAGS_experiment == experiment.name) {
            is_known = true;
            std::cout << "\n# " << experiment.name << '\n';
            experiment.run();
        }
    }
    require_setting(is_known, "experiment", FLAGS_experiment, "give one of the names listed in --help");
    return 0;
}

} // namespace

} // namespace laurelhoist

int main(int argc, char** argv) {
    laurelhoist::read_settings(
        &argc, &argv, "laurel-bench: compares policies under the same load and faults in virtual time.");
    laurelhoist::start_log("laurel-bench", "");
    laurelhoist::quiet_log();
    laurelhoist::require_setting(std::ofstream(FLAGS_out + "/.writable").good(), "out", FLAGS_out,
                                 "give a directory that exists");
    std::remove((FLAGS_out + "/.writable").c_str());
    return laurelhoist::run();
}
