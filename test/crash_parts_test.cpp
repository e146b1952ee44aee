// Parts of prompts that end each endpoint that begins to answer a request with them.
#include "crash_parts_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

const time_point start{seconds(1000)};
constexpr part_digest crashing_part = 0xdead;
constexpr part_digest shared_part = 0xaa;
const crash_cause crashing_cause{cause_kind::prompt_part, crashing_part};
const crash_cause shared_cause{cause_kind::prompt_part, shared_part};

time_point at_ms(std::int64_t ms) {
    return start + milliseconds(ms);
}

/** Reports the end of process \p number at \p ended_ms under a request of its own with both parts. */
void end_under_both(crash_quarantine& quarantine, std::uint32_t number, std::int64_t ended_ms) {
    quarantine.on_end({number, {shared_part, crashing_part}}, {number, at_ms(ended_ms - 50), at_ms(ended_ms)},
                      at_ms(ended_ms));
}

/** Reports three ends under three requests with both parts; an answer with the shared part begins after them.
 */
void quarantine_crashing_part(crash_quarantine& quarantine) {
    for (std::uint32_t i = 1; i <= 3; ++i) {
        end_under_both(quarantine, i, std::int64_t{300} * i);
    }
    quarantine.on_begun({shared_part}, at_ms(910));
}

// Guards against a part that is spelled in another way and not recognized.
TEST(crash_parts, spellings_of_a_part_have_one_digest) {
    EXPECT_EQ(to_text(digest_of_part("5c1e07a2")), "000000005c1e07a2") << "operators recognize it";
    EXPECT_EQ(digest_of_part("5c1e07a2"), digest_of_part("005C1E07A2"));
    EXPECT_EQ(digest_of_part("5c1e07a2"), digest_of_part(" 5c1e07a2\t"));
    EXPECT_EQ(digest_of_part("Summary"), digest_of_part("summary"));
    EXPECT_NE(digest_of_part("5c1e07a2"), digest_of_part("5c1e07a3"));
    EXPECT_NE(digest_of_part("0123456789abcdef0"), digest_of_part("1123456789abcdef0"));
    EXPECT_EQ(digest_of_part(""), digest_of_part("0"));
}

// Guards against innocent parts that are quarantined with the one that ends endpoints.
TEST(crash_parts, an_answer_that_begins_clears_the_parts_of_its_prompt) {
    crash_quarantine quarantine("h1");
    quarantine_crashing_part(quarantine);
    EXPECT_FALSE(quarantine.may_send({7, {shared_part, crashing_part}}, at_ms(1000)));
    EXPECT_FALSE(quarantine.may_send({8, {crashing_part}}, at_ms(1000))) << "whatever else the request holds";
    EXPECT_TRUE(quarantine.may_send({9, {shared_part}}, at_ms(1000)));
    EXPECT_EQ(quarantine.ends_of(shared_cause), 0);
    EXPECT_EQ(quarantine.ends_of(crashing_cause), 3);
}

// Guards against clearings within the same second that are taken for one: a shared part begins answers many
// times a second, and ends between two of them must not add up.
TEST(crash_parts, each_answer_that_begins_clears_anew) {
    crash_quarantine quarantine("h1");
    crash_quarantine other("h2");
    for (std::uint32_t i = 1; i <= 6; ++i) {
        const std::int64_t ended_ms = std::int64_t{250} * i;
        end_under_both(quarantine, i, ended_ms);
        other.merge(quarantine.take_pending(at_ms(ended_ms)).for_trackers, at_ms(ended_ms));
        quarantine.on_begun({shared_part}, at_ms(ended_ms + 20));
        const auto told = quarantine.take_pending(at_ms(ended_ms + 20));
        other.merge(told.for_trackers, at_ms(ended_ms + 20));
        other.merge(told.for_all, at_ms(ended_ms + 20));
    }
    EXPECT_EQ(quarantine.ends_of(shared_cause), 0);
    EXPECT_EQ(other.ends_of(shared_cause), 0);
    EXPECT_EQ(quarantine.ends_of(crashing_cause), 6);
}

// Guards against the parts of one crashing request being quarantined for all requests that share them.
TEST(crash_parts, the_ends_under_one_request_quarantine_none_of_its_parts) {
    crash_quarantine quarantine("h1");
    for (std::uint32_t i = 1; i <= 4; ++i) {
        const std::int64_t ended_ms = std::int64_t{300} * i;
        quarantine.on_end({7, {shared_part}}, {i, at_ms(ended_ms - 50), at_ms(ended_ms)}, at_ms(ended_ms));
    }
    EXPECT_FALSE(quarantine.may_send({7, {shared_part}}, at_ms(1300)));
    EXPECT_TRUE(quarantine.may_send({8, {shared_part}}, at_ms(1300)));
}

// Guards against the loss of a failure domain counting against each part that was in flight there.
TEST(crash_parts, simultaneous_ends_count_once) {
    crash_quarantine quarantine("h1");
    for (std::uint32_t i = 1; i <= 5; ++i) {
        quarantine.on_end({i, {shared_part}}, {i, at_ms(0), at_ms(100 + i)}, at_ms(100 + i));
    }
    EXPECT_EQ(quarantine.ends_of(shared_cause), 1);
}

// Guards against ends of a part in so quick succession that all engines are gone before it is quarantined.
TEST(crash_parts, quick_ends_count_if_each_attempt_followed_the_end_before) {
    crash_quarantine quarantine("h1");
    for (std::uint32_t i = 1; i <= 3; ++i) {
        const std::int64_t sent_ms = std::int64_t{40} * i;
        quarantine.on_end({i, {crashing_part}}, {i, at_ms(sent_ms), at_ms(sent_ms + 30)},
                          at_ms(sent_ms + 30));
    }
    EXPECT_FALSE(quarantine.may_send({7, {crashing_part}}, at_ms(200)));
}

// Guards against trials that are too many, as each may end an endpoint, and against a first one so late that
// an innocent part is refused for long.
TEST(crash_parts, one_host_tries_a_part_soon_and_then_seldom) {
    const std::vector<std::string> names = {"h1", "h2", "h3", "h4"};
    std::vector<crash_quarantine> hosts;
    for (const std::string& name : names) {
        hosts.emplace_back(name);
        hosts.back().set_hosts(names, true);
        quarantine_crashing_part(hosts.back());
    }
    std::uint32_t number = 100;
    const auto trials_until = [&](std::int64_t from_ms, std::int64_t to_ms) {
        int trials = 0;
        for (std::int64_t ms = from_ms; ms < to_ms; ms += 100) {
            for (crash_quarantine& host : hosts) {
                const crash_causes causes{++number, {crashing_part}};
                if (host.may_send(causes, at_ms(ms))) {
                    EXPECT_TRUE(host.on_sent(causes, at_ms(ms)));
                    ++trials;
                    for (crash_quarantine& each : hosts) {
                        each.on_end(causes, {number, at_ms(ms), at_ms(ms + 80)}, at_ms(ms + 80));
                    }
                }
            }
        }
        return trials;
    };
    EXPECT_EQ(trials_until(1000, 3300), 0);
    EXPECT_EQ(trials_until(3300, 20'000), 1);
    EXPECT_EQ(trials_until(20'000, 150'000), 1);
    EXPECT_EQ(trials_until(150'000, 400'000), 1);
}

// Guards against a trial of an innocent part with a request that holds the one that ends endpoints as well.
TEST(crash_parts, a_request_with_two_quarantined_parts_is_tried_later) {
    crash_quarantine quarantine("h1");
    quarantine.set_hosts({"h1"}, true);
    for (std::uint32_t i = 1; i <= 3; ++i) {
        end_under_both(quarantine, i, std::int64_t{300} * i);
    }
    EXPECT_FALSE(quarantine.may_send({7, {shared_part, crashing_part}}, at_ms(3500)));
    EXPECT_TRUE(quarantine.may_send({8, {shared_part}}, at_ms(3500)));
    EXPECT_TRUE(quarantine.may_send({9, {shared_part, crashing_part}}, at_ms(5000)));
}

// Guards against a trial that the endpoint rejected and that keeps others from being made.
TEST(crash_parts, a_trial_that_was_not_run_is_made_again) {
    crash_quarantine quarantine("h1");
    quarantine.set_hosts({"h1"}, true);
    quarantine_crashing_part(quarantine);
    const crash_causes causes{7, {crashing_part}};
    EXPECT_TRUE(quarantine.on_sent(causes, at_ms(3500)));
    EXPECT_FALSE(quarantine.may_send({8, {crashing_part}}, at_ms(3600)));
    quarantine.on_trial_not_run(causes);
    EXPECT_TRUE(quarantine.may_send({8, {crashing_part}}, at_ms(3700)));
}

// Guards against a caller who sends hundreds of new parts in each request until a quarantined one is
// forgotten.
TEST(crash_parts, new_parts_cannot_displace_a_quarantined_one) {
    quiet_log();
    crash_quarantine quarantine("h1");
    quarantine_crashing_part(quarantine);
    part_digest next_part = 1 << 20;
    for (std::uint32_t i = 10; i < 40; ++i) {
        std::vector<part_digest> parts;
        for (int count = 0; count < 300; ++count) {
            parts.push_back(next_part++);
        }
        const std::int64_t ended_ms = std::int64_t{100} * i;
        quarantine.on_end({i, parts}, {i, at_ms(ended_ms - 50), at_ms(ended_ms)}, at_ms(ended_ms));
    }
    EXPECT_FALSE(quarantine.may_send({7, {crashing_part}}, at_ms(2000)));
}

// Guards against a host that starts and is told of what changed last, but not of what is quarantined.
TEST(crash_parts, quarantined_causes_are_passed_on_before_others) {
    crash_quarantine quarantine("h1");
    quarantine_crashing_part(quarantine);
    for (std::uint32_t i = 10; i < 40; ++i) {
        for (std::uint32_t end = 0; end < 2; ++end) {
            const std::int64_t ended_ms = 1000 + std::int64_t{300} * end;
            quarantine.on_end(i, {i * 2 + end, at_ms(ended_ms - 50), at_ms(ended_ms)}, at_ms(ended_ms));
        }
    }
    crash_quarantine newcomer("h2");
    newcomer.merge(quarantine.known(8, at_ms(1400)), at_ms(1400));
    EXPECT_FALSE(newcomer.may_send({7, {crashing_part}}, at_ms(1500)));
}

// Guards against a notice from a later release that names a kind of cause unknown here.
TEST(crash_parts, notices_of_unknown_kinds_are_ignored) {
    crash_quarantine quarantine("h1");
    quarantine.merge({{crashing_part, {{1, 50, 0, 1}}, -1, 7}, {crashing_part, {{1, 50, 0, 1}}, -1, -1}},
                     at_ms(0));
    EXPECT_TRUE(quarantine.is_empty());
}

// Guards against a quarantine that an operator has lifted and that older notices restore.
TEST(crash_parts, a_lifted_quarantine_is_not_restored) {
    crash_quarantine quarantine("h1");
    quarantine_crashing_part(quarantine);
    const std::vector<crash_notice> old = quarantine.known(8, at_ms(1000));
    quarantine.take_pending(at_ms(1000));
    quarantine.clear(crashing_cause, at_ms(1100));
    quarantine.merge(old, at_ms(1000));
    EXPECT_TRUE(quarantine.may_send({7, {crashing_part}}, at_ms(1200)));
    EXPECT_EQ(quarantine.take_pending(at_ms(1200)).for_all.size(), 1U) << "other hosts are told";
}

// Guards against the quarantine of innocent parts where engines end for other reasons, three each second.
TEST(crash_parts, ends_for_other_reasons_quarantine_no_part) {
    quiet_log();
    int refused = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        parts_day day;
        day.seed = seed;
        day.trouble_from_ms = day.length_ms + 1;
        day.other_ends_per_s = 3;
        refused += crash_parts_fleet(day).play().refused;
    }
    EXPECT_EQ(refused, 0);
}

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
