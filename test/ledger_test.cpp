#include "ledger/ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace laurelhoist {

namespace {

bill_record make_record(int number, std::int64_t cost = 5) {
    bill_record record;
    record.team = "team" + std::to_string(number % 3);
    record.request_id = "r" + std::to_string(number);
    record.cost_micro = cost;
    return record;
}

} // namespace

// Stewards may write a record twice and readers may read segments in any order. Both must lead to the same
// records and totals.
RC_GTEST_PROP(ledger_book, order_and_duplicates_do_not_change_the_ledger,
              (const std::vector<std::uint8_t>& numbers)) {
    std::vector<ledger_segment> segments;
    for (const std::uint8_t number : numbers) {
        segments.push_back({"s" + std::to_string(segments.size()),
                            {make_record(number, number % 7), make_record(number / 2)}});
    }
    ledger_book forward;
    for (const ledger_segment& segment : segments) {
        forward.add(segment);
    }
    ledger_book backward;
    for (auto segment = segments.rbegin(); segment != segments.rend(); ++segment) {
        backward.add(*segment);
        backward.add(*segment);
    }
    RC_ASSERT(forward.records() == backward.records());
    RC_ASSERT(forward.totals() == backward.totals());
}

// The platform stores a segment but its response is lost. The steward must retry exactly the same write: a
// retry with other content under the same name would lose or duplicate records.
TEST(segment_buffer, a_sealed_segment_is_retried_unchanged) {
    segment_buffer buffer("steward#1");
    EXPECT_TRUE(buffer.add(make_record(1)));
    const ledger_segment sealed = *buffer.current();
    EXPECT_TRUE(buffer.add(make_record(2)));
    EXPECT_EQ(*buffer.current(), sealed);
    EXPECT_EQ(buffer.on_written(sealed.name).size(), 1U);
    EXPECT_NE(buffer.current()->name, sealed.name);
    EXPECT_EQ(buffer.current()->records.size(), 1U);
}

// An entry whose acknowledgement was lost sends its record again, possibly after it was written.
TEST(segment_buffer, a_duplicate_of_a_drained_record_is_not_written_again) {
    segment_buffer buffer("steward#1");
    buffer.add(make_record(1));
    buffer.on_written(buffer.current()->name);
    EXPECT_TRUE(buffer.add(make_record(1)));
    EXPECT_TRUE(buffer.is_empty());
}

// Hosts of one failure domain may fail together, so their copies of a record count as one.
TEST(bill_outbox, copies_count_failure_domains_not_hosts) {
    bill_outbox outbox;
    outbox.add(make_record(1), {});
    const bill_key key = key_of(make_record(1));
    outbox.on_copy_stored(key, "a", "north");
    outbox.on_copy_stored(key, "b", "north");
    EXPECT_EQ(outbox.copies(key), 1U);
    outbox.on_copy_stored(key, "c", "south");
    EXPECT_EQ(outbox.copies(key), 2U);
    outbox.on_holder_lost("c");
    EXPECT_EQ(outbox.copies(key), 1U);
    outbox.on_drained(key);
    EXPECT_EQ(outbox.size(), 0U);
}

// A record or its acknowledgement may be lost. The record is sent again after an interval until the holder
// acknowledges it.
TEST(bill_outbox, unacknowledged_records_are_sent_again) {
    bill_outbox outbox;
    const time_point begin;
    outbox.add(make_record(1), begin);
    EXPECT_EQ(outbox.take_records_to_send("a", begin, seconds(1)).size(), 1U);
    EXPECT_EQ(outbox.take_records_to_send("a", begin + milliseconds(500), seconds(1)).size(), 0U);
    EXPECT_EQ(outbox.take_records_to_send("a", begin + seconds(1), seconds(1)).size(), 1U);
    outbox.on_copy_stored(key_of(make_record(1)), "a", "north");
    EXPECT_EQ(outbox.take_records_to_send("a", begin + seconds(9), seconds(1)).size(), 0U);
}

// Two teams may choose the same key, and a key must not add path segments to the name of its claim.
TEST(claim, names_do_not_collide_across_teams) {
    EXPECT_NE(claim_name("a", "k"), claim_name("b", "k"));
    EXPECT_EQ(claim_name("a", "k/../x").find(".."), std::string::npos);
}

} // namespace laurelhoist
