/** \file
 * The program laurel-soak: long randomized runs that check every invariant. Each run has its own seed; the
 * first violated invariant is printed with its seed and ends the program.
 */
#include "simulation/simulation.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "seed of the first run; each following run uses the next number");
DEFINE_uint64(runs, 20, "number of runs");
DEFINE_uint64(seconds, 120, "virtual seconds of fault injection in each run");
DEFINE_uint64(wall_seconds, 0, "stop after this many real seconds; 0: no limit");
DEFINE_double(disturbances, 0.7, "mean number of faults and operator commands per virtual second");
DEFINE_string(site, "brazda", "fleet sizes to simulate: brazda or consorzio");
DEFINE_string(disable, "", "guards to switch off, separated by commas, to check that a run detects it");
DEFINE_bool(verbose, false, "log the messages of the nodes");

namespace laurelhoist {

namespace {

struct run_result {
    world_report report;
    std::uint64_t events = 0;
    std::string violation; ///< empty: every invariant held
    double virtual_seconds = 0;
};

run_result run_once(std::uint64_t seed) {
    world_options options = options_for(FLAGS_site);
    options.seed = seed;
    random_source random(seed + 77);
    const std::size_t sizes[] = {3, 4, 5};
    options.entries = sizes[random.below(3)];
    options.stewards = sizes[random.below(3)];
    options.engines_check_fence = random.chance(0.5);
    for (const std::string& guard : split_list(FLAGS_disable)) {
        options.disabled.insert(guard);
    }
    run_result result;
    world simulated(options);
    const time_point began = simulated.clock.now();
    try {
        simulated.start();
        const time_point end = simulated.clock.now() + seconds(FLAGS_seconds);
        while (simulated.clock.now() < end) {
            constexpr double ms_per_second = 1000;
            simulated.run_for(
                milliseconds(1 + static_cast<int>(random.exponential(ms_per_second / FLAGS_disturbances))));
            simulated.inject_disturbance();
        }
        simulated.quiesce();
        simulated.check_final();
    } catch (const invariant_failure& failure) {
        result.violation = failure.what();
    }
    result.report = simulated.report();
    result.events = simulated.clock.events_run();
    result.virtual_seconds = to_ms(simulated.clock.now() - began) / 1000;
    return result;
}

int run() {
    invariant_registry::instance().throw_on_failure(true);
    const time_point began = monotonic_now();
    std::uint64_t done = 0;
    std::uint64_t events = 0;
    std::uint64_t asked = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    double virtual_seconds = 0;
    for (std::uint64_t i = 0; i < FLAGS_runs; ++i) {
        const std::uint64_t seed = FLAGS_seed + i;
        const run_result result = run_once(seed);
        ++done;
        events += result.events;
        asked += result.report.asked;
        whole += result.report.whole;
        refused += result.report.refused;
        failed += result.report.failed;
        virtual_seconds += result.virtual_seconds;
        if (!result.violation.empty()) {
            std::cout << json{{"seed", seed},
                              {"broken", result.violation},
                              {"after_events", events},
                              {"after_runs", done},
                              {"virtual_seconds", virtual_seconds}}
                             .dump()
                      << "\nreproduce with: laurel-soak --runs=1 --seed=" << seed
                      << " --seconds=" << FLAGS_seconds << " --site=" << FLAGS_site
                      << (FLAGS_disable.empty() ? "" : " --disable=" + FLAGS_disable) << '\n';
            return 1;
        }
        if (FLAGS_wall_seconds > 0 && monotonic_now() - began > seconds(FLAGS_wall_seconds)) {
            break;
        }
    }
    json checked = json::object();
    for (const auto& [invariant, count] : invariant_registry::instance().all()) {
        checked[invariant] = count.checked;
    }
    std::cout << json{{"runs", done},     {"events", events},   {"virtual_seconds", virtual_seconds},
                      {"asked", asked},   {"whole", whole},     {"refused", refused},
                      {"failed", failed}, {"checked", checked}, {"broken", 0}}
                     .dump()
              << '\n';
    return 0;
}

} // namespace

} // namespace laurelhoist

int main(int argc, char** argv) {
    laurelhoist::read_settings(
        &argc, &argv,
        "laurel-soak: long randomized runs of the decision code under faults that check every invariant.");
    laurelhoist::start_log("laurel-soak", "");
    if (!FLAGS_verbose) {
        laurelhoist::quiet_log();
    }
    return laurelhoist::run();
}
