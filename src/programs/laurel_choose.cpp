/** \file
 * The program laurel-choose: the time that the choice of an endpoint takes, by the number of endpoints.
 */
#include "placement/placement.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(charts, "charts", "directory with endpoint.scxml");
DEFINE_int32(choices, 200, "choices for each number of endpoints");

namespace laurelhoist {

namespace {

std::vector<endpoint_record> make_endpoints(int count) {
    std::vector<endpoint_record> records;
    for (int i = 0; i < count; ++i) {
        records.push_back({"i-" + std::to_string(1'000'000 + i), "10.0.0.1:" + std::to_string(1'024 + i),
                           "hall" + std::to_string(i % 6), "pool"});
    }
    return records;
}

/** \return the time for each choice among \p count endpoints, of which half have load of peers, in us. */
double us_for_each_choice(int count, bool knows_pace) {
    mechanisms in_use;
    in_use.knows_pace = knows_pace;
    endpoint_directory directory{load_chart_or_exit(FLAGS_charts, "endpoint"), 7, "hall1", in_use};
    const time_point begin = monotonic_now();
    const std::vector<endpoint_record> records = make_endpoints(count);
    directory.update(records, begin);
    directory.set_slots("pool", 48, 1);
    load_by_endpoint load;
    for (std::size_t i = 0; i < records.size(); i += 2) {
        load[records[i].name] = {200, 10};
        constexpr double ms_for_event[] = {100, 100, 240};
        constexpr int streams = 8;
        for (int k = 0; k < streams && i % 3 == 2; ++k) {
            directory.pace().merge("other", {{process_hash(records[i].name, 0), 240, 5}}, begin);
            directory.pace().observe(records[i], "large", ms_for_event[i % 3], begin);
        }
    }
    directory.set_peer_load("peer", load, begin);
    endpoint_criteria criteria;
    criteria.pool = "pool";
    const prompt_shape prompt{8'000, {1, 2, 3}, {500, 4'000, 3'500}, 800};
    const time_point started = monotonic_now();
    for (int i = 0; i < FLAGS_choices; ++i) {
        if (!directory.choose(criteria, prompt, {"large", {0.03, 1}}, begin)) {
            std::cerr << "no endpoint was chosen\n";
        }
    }
    constexpr double us_per_ms = 1'000;
    return to_ms(monotonic_now() - started) * us_per_ms / FLAGS_choices;
}

} // namespace

} // namespace laurelhoist

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::cout << "endpoints,without_pace_us,with_pace_us\n";
    for (const int count : {60, 192, 6'100}) {
        std::cout << count << ',' << laurelhoist::us_for_each_choice(count, false) << ','
                  << laurelhoist::us_for_each_choice(count, true) << '\n';
    }
    return 0;
}
