// Long answers that are read a share at a time, so that the other requests of a host have their turn.
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

constexpr std::size_t long_body_bytes = 16 << 20;

class deferred_answers : public relay_fixture {
protected:
    /// Makes the relay find that the process lacks processor time.
    void be_late() {
        run_on_relay_thread([&] { relay_->state().answer_work.begin_tick(seconds(1)); });
    }
    std::uint64_t counter(const std::string& name) {
        std::uint64_t value = 0;
        run_on_relay_thread([&] { value = relay_->state().measured.counter(name); });
        return value;
    }
};

// Guards against one long answer that takes all of the processor time while it is sent.
TEST_F(deferred_answers, a_long_answer_is_read_over_several_ticks_and_arrives_whole) {
    scripted_endpoint endpoint({{answer_of("7", std::string(long_body_bytes, 'x')), false, false}});
    start_relay(route(route_kind::idempotent, 3), {endpoint.address()});
    be_late();
    EXPECT_GT(send_request("7").size(), long_body_bytes);
    EXPECT_EQ(endpoint.requests().size(), 1U);
    EXPECT_EQ(counter("answers_deferred"), 1U);
    EXPECT_GE(counter("answer_deferrals"), long_body_bytes / answer_work_budget::min_units_per_tick - 3);
}

// Guards against callers that wait beyond the time limit of their route because this host reads slowly.
TEST_F(deferred_answers, an_answer_that_is_read_slowly_ends_at_the_time_limit_of_its_route) {
    scripted_endpoint endpoint({{answer_of("7", std::string(long_body_bytes, 'x')), false, false}});
    traffic_route short_route = route(route_kind::idempotent, 1);
    short_route.timeout = milliseconds(200);
    start_relay(short_route, {endpoint.address()});
    be_late();
    const time_point begin = monotonic_now();
    EXPECT_TRUE(contains(send_request("7"), "504"));
    EXPECT_LT(monotonic_now() - begin, milliseconds(500));
}

// Guards against a connection that stays unread after its answer and is not used again.
TEST_F(deferred_answers, the_connection_of_a_long_answer_serves_the_next_request) {
    scripted_endpoint endpoint({{answer_of("7", std::string(long_body_bytes, 'x')), false, false},
                                {answer_of("8", "served"), false, false}});
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    be_late();
    EXPECT_GT(send_request("7").size(), long_body_bytes);
    EXPECT_TRUE(contains(send_request("8"), "served"));
}

} // namespace
} // namespace laurelhoist
