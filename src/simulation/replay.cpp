#include "simulation/replay.h"

#include <algorithm>

namespace laurelhoist {

namespace {

int team_number(const std::string& name) {
    const std::size_t dash = name.rfind('-');
    return dash == std::string::npos ? 0 : std::max(0, std::atoi(name.c_str() + dash + 1));
}

void check_outcome(replay_result& result, const trace_outcome& wanted) {
    const world_report& report = result.report;
    const auto add_unmet = [&result](const std::string& what, double got, double bound) {
        result.unmet_outcomes.push_back(what + ": " + std::to_string(got) + ", expected " +
                                        std::to_string(bound));
    };
    const double whole_share =
        static_cast<double>(report.whole) / static_cast<double>(std::max<std::uint64_t>(1, report.asked));
    if (whole_share < wanted.least_whole_share) {
        add_unmet("share of complete answers", whole_share, wanted.least_whole_share);
    }
    if (static_cast<std::int64_t>(report.doubled_calls) > wanted.most_doubled) {
        add_unmet("duplicate calls", static_cast<double>(report.doubled_calls),
                  static_cast<double>(wanted.most_doubled));
    }
    if (static_cast<std::int64_t>(report.unbilled) > wanted.most_unbilled) {
        add_unmet("unbilled answers", static_cast<double>(report.unbilled),
                  static_cast<double>(wanted.most_unbilled));
    }
    if (wanted.most_bad_answers >= 0 &&
        static_cast<std::int64_t>(report.bad_version_answers) > wanted.most_bad_answers) {
        add_unmet("answers of the bad version", static_cast<double>(report.bad_version_answers),
                  static_cast<double>(wanted.most_bad_answers));
    }
    if (wanted.least_quality_share >= 0 && result.quality_share < wanted.least_quality_share) {
        add_unmet("share of good answers", result.quality_share, wanted.least_quality_share);
    }
    if (wanted.most_p95_ms >= 0 && result.p95_ms > wanted.most_p95_ms) {
        add_unmet("p95 in ms", result.p95_ms, wanted.most_p95_ms);
    }
    if (!wanted.final_bundle.empty() && result.established != wanted.final_bundle) {
        result.unmet_outcomes.push_back("established: " + result.established + ", expected " +
                                        wanted.final_bundle);
    }
}

} // namespace

replay_result replay(const trace& recorded, const entry_policies& policies) {
    world_options options = options_for(recorded.header.site);
    options.seed = recorded.header.seed;
    options.entries = 4;
    options.stewards = 4;
    options.requests_per_second = 0;
    options.policies = policies;
    world simulated(options);
    simulated.start();
    const time_point begin = simulated.clock.now();
    for (const trace_event& event : recorded.header.events) {
        simulated.clock.at(begin + milliseconds(event.at_ms),
                           [&simulated, event] { simulated.apply_event(event); });
    }
    random_source random(recorded.header.seed);
    std::uint64_t number = 0;
    for (const trace_line& line : recorded.lines) {
        operation op;
        op.team = team_number(line.team) % options.teams;
        op.session = random.below(options.sessions_per_team);
        op.kind = line.kind;
        op.is_service = !line.service.empty();
        op.service_path = line.path;
        op.is_idempotent = line.path != "book";
        op.stream = line.stream;
        op.tokens = std::max(1, line.tokens);
        op.difficulty = random.uniform();
        op.key = "trace-" + std::to_string(++number);
        simulated.clock.at(begin + duration(line.at_us), [&simulated, op] { simulated.ask_any(op); });
    }
    simulated.run_for(milliseconds(recorded.header.length_ms));
    simulated.quiesce();
    simulated.check_final();
    replay_result result;
    result.report = simulated.report();
    result.p95_ms = quantile_of(result.report.latency_ms, 0.95);
    result.quality_share = static_cast<double>(result.report.good_model_answers) /
                           static_cast<double>(std::max<std::uint64_t>(1, result.report.model_answers));
    result.established = simulated.head_in_platform().established;
    check_outcome(result, recorded.header.outcome);
    return result;
}

} // namespace laurelhoist
