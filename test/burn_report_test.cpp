#include "burn_report/burn_report.h"

#include <gtest/gtest.h>

namespace laurelhoist {

namespace {

bill_record make_bill(std::int64_t latency_ms, double score, const std::string& version = "m@1") {
    bill_record bill;
    bill.team = "t";
    bill.version = version;
    bill.latency_ms = latency_ms;
    bill.score = score;
    bill.cost_micro = 1000000;
    bill.at_ms = 1000000;
    return bill;
}

const burn_line& find_line(const burn_report& report, const std::string& objective) {
    for (const burn_line& line : report.lines) {
        if (line.objective == objective && line.window_minutes == 5) {
            return line;
        }
    }
    throw std::out_of_range(objective);
}

} // namespace

// Guards against burn rates over the wrong events: an unrated answer must not count for quality, and an
// answer of a stopped version must count as exposure.
TEST(burn_report, burn_rate_is_the_bad_share_over_the_allowed_share) {
    burn_input input;
    input.now_ms = 1060000;
    input.objectives = {{"t", 100, 0.9, 0.9, 0.99, 0.05}};
    input.score_by_team["t"] = 0.7;
    input.stopped = {"m@2"};
    input.bills = {make_bill(50, 0.9), make_bill(50, 0.3), make_bill(500, 0.9), make_bill(50, -1),
                   make_bill(50, 0.9, "m@2")};
    input.counts = {{17, {{"t", {100, 98, 1, 1}}}}};
    const burn_report report = make_burn_report(input);
    EXPECT_EQ(find_line(report, "latency").events, 5);
    EXPECT_NEAR(find_line(report, "latency").burn_rate, 0.2 / 0.1, 1e-9);
    EXPECT_EQ(find_line(report, "quality").events, 4);
    EXPECT_NEAR(find_line(report, "quality").burn_rate, 0.25 / 0.1, 1e-9);
    EXPECT_NEAR(find_line(report, "availability").burn_rate, 0.02 / 0.01, 1e-9);
    EXPECT_NEAR(find_line(report, "exposure").burn_rate, 0.2 / 0.05, 1e-9);
    EXPECT_NEAR(find_line(report, "latency").budget_left, -1.0, 1e-9);
    EXPECT_EQ(report.newest_bill_age_ms, 60000);
    ASSERT_EQ(report.versions.size(), 2U);
    EXPECT_TRUE(report.versions[1].is_stopped);
    EXPECT_NEAR(report.versions[0].cost_share, 0.8, 1e-9);
}

// Guards against a burn rate over 5 minutes that includes a bill from 10 minutes ago.
TEST(burn_report, records_older_than_the_window_are_not_counted) {
    burn_input input;
    input.now_ms = 1000000 + 10 * 60000;
    input.objectives = {{"t", 100, 0.9, 0.9, 0.99, 0.05}};
    input.bills = {make_bill(50, 0.9)};
    EXPECT_EQ(find_line(make_burn_report(input), "latency").events, 0);
}

} // namespace laurelhoist
