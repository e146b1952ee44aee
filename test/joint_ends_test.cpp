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

/** \return a day with requests that end engines, and the list of engines known to all hosts. */
parts_day crashing_day(unsigned seed) {
    parts_day day = joint_day(seed);
    day.length_ms = 40'000;
    day.crashing_parts = 1 + seed % 3;
    constexpr double rates[] = {0.5, 1, 3, 8};
    day.crashing_per_s = rates[seed / 3 % std::size(rates)];
    return day;
}

constexpr int allowed_late_sends = 3;

// Guards against engines that end for other reasons, three each second, and hide a part that ends engines.
TEST(joint_ends, other_ends_do_not_hide_a_crashing_part) {
    quiet_log();
    for (unsigned seed = 0; seed < 24; ++seed) {
        parts_day day = crashing_day(seed);
        day.joint_share = 1e-9; // Hosts know the list, and no engines end at once.
        day.joint_delay_ms = 0;
        day.max_first_event_ms = 5;
        day.other_ends_per_s = 3;
        EXPECT_LE(crash_parts_fleet(day).play().worst_late_sends(), allowed_late_sends) << "seed " << seed;
    }
}

// Guards against engines that end in numbers and hide a part that ends engines meanwhile.
TEST(joint_ends_known_red, joint_ends_do_not_hide_a_crashing_part) {
    quiet_log();
    for (unsigned seed = 0; seed < 40; ++seed) {
        parts_day day = crashing_day(seed);
        day.joint_at_ms = 4500 + std::int64_t{seed * 37 % 11} * 700;
        EXPECT_LE(crash_parts_fleet(day).play().worst_late_sends(), allowed_late_sends) << "seed " << seed;
    }
}

std::vector<endpoint_record> list_of(int count) {
    std::vector<endpoint_record> listed;
    for (int i = 0; i < count; ++i) {
        listed.push_back({"e" + std::to_string(i), "", "", "pool"});
        listed.back().started_at_ms = 1;
    }
    return listed;
}

// Guards against a quarantine that was made before its ends were known to be joint, and that stays.
TEST(joint_ends, a_quarantine_made_too_early_is_lifted) {
    quiet_log();
    const time_point start{seconds(1000)};
    const std::vector<endpoint_record> listed = list_of(24);
    crash_quarantine quarantine("h1");
    quarantine.set_endpoints(listed, start);
    for (std::uint32_t i = 0; i < 3; ++i) {
        const time_point ended_at = start + milliseconds(100 + 300 * static_cast<int>(i));
        quarantine.on_end({i, {0xaa}}, {process_hash(listed[i].name, 1), start, ended_at}, ended_at);
    }
    EXPECT_FALSE(quarantine.may_send({9, {0xaa}}, start + seconds(1)));
    for (std::size_t i = 3; i < 10; ++i) {
        quarantine.on_refused(listed[i].name, start + milliseconds(90), start + seconds(1));
    }
    EXPECT_TRUE(quarantine.may_send({9, {0xaa}}, start + seconds(1)));
    quarantine.forget_old(start + seconds(1)); // Weighs what is not quarantined.
    EXPECT_EQ(quarantine.take_ends_not_counted(), 6U) << "three under the part, one under each request";
}

// Guards against ends that came together and weigh fully again once what ended with them is forgotten.
TEST(joint_ends, weights_stay_when_the_ends_beside_them_are_forgotten) {
    quiet_log();
    const time_point start{seconds(1000)};
    const std::vector<endpoint_record> listed = list_of(24);
    crash_quarantine quarantine("h1");
    quarantine.set_endpoints(listed, start);
    for (std::uint32_t i = 0; i < 10; ++i) {
        const time_point ended_at = start + milliseconds(100 + static_cast<int>(i));
        if (i < 3) {
            quarantine.on_end({i, {0xaa}},
                              {process_hash(listed[i].name, 1), start, ended_at + 300 * i * milliseconds(1)},
                              start + seconds(1));
        } else {
            quarantine.on_refused(listed[i].name, ended_at, start + seconds(1));
        }
    }
    const time_point later = start + seconds(12);
    quarantine.forget_old(later);
    quarantine.on_end({20, {0xaa}}, {process_hash(listed[20].name, 1), later - milliseconds(50), later},
                      later);
    EXPECT_EQ(quarantine.ends_of({cause_kind::prompt_part, 0xaa}), 1);
    EXPECT_TRUE(quarantine.may_send({9, {0xaa}}, later));
}

} // namespace
} // namespace laurelhoist
