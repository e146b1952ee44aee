// Endpoints that end in numbers in one moment, for a reason that no request gave.
#include "crash_parts_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

constexpr std::size_t fleet_sizes[] = {3, 4, 7, 11, 25, 60, 120, 400};

/** \return a day on which a tenth to half of the engines end at once, while first events take up to 1.5 s, a
 * third of the hosts learns of ends with delay and another third is cut off. */
parts_day joint_day(unsigned seed) {
    parts_day day;
    day.seed = seed;
    day.hosts = fleet_sizes[seed % std::size(fleet_sizes)];
    day.joint_share = 0.1 + 0.1 * (seed / std::size(fleet_sizes) % 5);
    day.joint_delay_ms = 2000;
    day.max_first_event_ms = 1500;
    day.sound_per_s = 10.0 + 5.0 * static_cast<double>(day.hosts);
    day.length_ms = 25'000;
    return day;
}

// Guards against innocent parts that are quarantined because a part of the engines ended at once and hosts
// learned of it at different times.
TEST(joint_ends, no_sound_request_is_refused_when_many_engines_end_at_once) {
    quiet_log();
    for (unsigned seed = 0; seed < 40; ++seed) {
        parts_day day = joint_day(seed);
        day.trouble_from_ms = day.length_ms + 1;
        const parts_report report = crash_parts_fleet(day).play();
        EXPECT_EQ(report.refused, 0) << "seed " << seed << ", hosts " << day.hosts << ", share "
                                     << day.joint_share;
    }
}

} // namespace
} // namespace laurelhoist
