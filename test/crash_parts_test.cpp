// Parts of prompts that end each endpoint that begins to answer a request with them.
#include "crash_parts_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

/** \return a day whose size, rates and number of crashing parts follow from \p seed. */
parts_day day_of(unsigned seed) {
    parts_day day;
    day.seed = seed;
    constexpr std::size_t sizes[] = {3, 4, 7, 11, 25, 60, 120, 400};
    day.hosts = sizes[seed % std::size(sizes)];
    const unsigned rest = seed / std::size(sizes);
    day.crashing_parts = 1 + rest % 3;
    constexpr double rates[] = {0.5, 1, 3, 8};
    day.crashing_per_s = rates[rest / 3 % std::size(rates)];
    day.sound_per_s = 10.0 + 5.0 * static_cast<double>(day.hosts);
    return day;
}

// Guards against a quarantine that recognizes only repeats of a whole request: requests that share one part
// of their prompts would go on to end an endpoint each. At most three of them are sent later than three
// seconds after the fifth end, trials included, and sound requests of the route are served all the while.
RC_GTEST_PROP(crash_parts, requests_with_a_crashing_part_are_hardly_sent_once_hosts_are_told,
              (unsigned seed)) {
    quiet_log();
    const parts_day day = day_of(seed);
    const parts_report report = crash_parts_fleet(day).play();
    RC_LOG() << "hosts " << day.hosts << ", crashing requests a second " << day.crashing_per_s << ", parts "
             << day.crashing_parts << ", sent too late " << report.worst_late_sends() << ", ends "
             << report.ends.front() << ", begun before " << report.begun_before << " of "
             << report.sound_before << ", after " << report.begun_after << " of " << report.sound_after;
    constexpr int allowed = 3;
    RC_ASSERT(report.worst_late_sends() <= allowed);
    RC_ASSERT(report.serves_sound_requests());
}

} // namespace
} // namespace laurelhoist
