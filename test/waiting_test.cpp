// How the relay holds requests that no endpoint takes.
#include "waiting_fixture.h"

namespace laurelhoist {
namespace {

constexpr duration tick = milliseconds(50);

} // namespace

// Guards against an endpoint that idles until the next tick while requests wait, and against requests that
// overtake one another.
TEST_F(waiting_fixture, a_freed_endpoint_takes_the_next_request_at_once_and_in_order) {
    constexpr int count = 20;
    start(route(route_kind::idempotent, 2), count, duration::zero());
    send_waiting(count);
    const time_point freed_at = monotonic_now();
    free_endpoint();
    EXPECT_EQ(count_served(), count + 1);
    EXPECT_LT(monotonic_now() - freed_at, count * tick / 2);
    for (int i = 0; i <= count; ++i) {
        EXPECT_EQ(id_in(endpoint_->requests()[static_cast<std::size_t>(i)]), std::to_string(i));
    }
}

// Guards against refusing requests that would be served within their time limit, only because half of their
// objective has passed.
TEST_F(waiting_fixture, a_request_waits_longer_while_its_place_lets_it_be_answered) {
    constexpr int count = 12;
    traffic_route slow = route(route_kind::idempotent, 2);
    slow.latency_objective = milliseconds(800);
    start(slow, count, milliseconds(60));
    send_waiting(count);
    free_endpoint();
    EXPECT_EQ(count_served(), count + 1);
}

// Guards against a request that is held although no endpoint becomes free.
TEST_F(waiting_fixture, a_request_is_refused_after_half_of_its_objective_if_none_is_served) {
    traffic_route fast = route(route_kind::idempotent, 2);
    fast.latency_objective = milliseconds(300);
    start(fast, 1, duration::zero());
    EXPECT_TRUE(contains(send_request("1"), "no_room"));
    EXPECT_EQ(waiting(), 0U);
    EXPECT_EQ(count_of("requests_refused_waiting"), 1U);
    free_endpoint();
}

// Guards against a place that is kept for a caller who has left.
TEST_F(waiting_fixture, a_caller_that_leaves_gives_up_its_place) {
    start(route(route_kind::idempotent, 2), 1, duration::zero());
    send_and_disconnect("gone");
    wait_until([this] { return count_of("requests_waited") == 1 && waiting() == 0; });
    send_waiting(1);
    free_endpoint();
    EXPECT_EQ(count_served(), 2);
}

// Guards against requests bound to a full release that keep an idle endpoint from the others behind them.
TEST_F(waiting_fixture, requests_bound_to_a_full_release_do_not_hold_up_the_others) {
    constexpr std::size_t count = 20;
    traffic_route slow = route(route_kind::idempotent, 2);
    slow.latency_objective = seconds(8); // None is refused meanwhile.
    start(slow, count, duration::zero());
    const scripted_answer served{
        "", false, false, [](const std::string& request) { return answer_of(id_in(request), "served"); }};
    scripted_endpoint on_trial({served});
    add_release_on_trial(on_trial);
    const std::vector<std::string> bound = ids_bound(false, count);
    const std::vector<std::string> other = ids_bound(true, 1);
    ASSERT_EQ(bound.size() + other.size(), count + 1);
    for (std::size_t i = 0; i < count; ++i) {
        send(bound[i]);
        wait_until([this, i] { return waiting() == i + 1; });
    }
    send(other.front());
    wait_until([&] { return on_trial.requests().size() == 1; });
    EXPECT_EQ(waiting(), count);
    free_endpoint();
    EXPECT_EQ(count_served(), static_cast<int>(count) + 2);
}

// Guards against a request that is held because others are served, by endpoints that do not suit it.
TEST_F(waiting_fixture, a_request_that_was_passed_over_is_refused_after_half_of_its_objective) {
    traffic_route fast = route(route_kind::idempotent, 2);
    fast.latency_objective = milliseconds(800);
    start(fast, 1, duration::zero());
    const scripted_answer served{
        "", false, false, [](const std::string& request) { return answer_of(id_in(request), "served"); }};
    scripted_endpoint on_trial({served, served, served, served});
    add_release_on_trial(on_trial);
    const std::vector<std::string> bound = ids_bound(false, 1);
    const std::vector<std::string> others = ids_bound(true, 4);
    ASSERT_EQ(bound.size() + others.size(), 5U);
    const time_point sent_at = monotonic_now();
    send(bound.front());
    wait_until([this] { return waiting() == 1; });
    for (const std::string& id : others) {
        EXPECT_TRUE(contains(send_request(id), "served"));
    }
    EXPECT_TRUE(contains(answers_.back().get(), "no_room"));
    EXPECT_LT(monotonic_now() - sent_at, fast.latency_objective);
    answers_.pop_back();
    free_endpoint();
}

// Guards against a stream that is cut off because no endpoint has room at once when its own has ended.
TEST_F(waiting_fixture, a_stream_that_has_begun_waits_beyond_half_of_its_objective) {
    traffic_route stream = route(route_kind::stream, 3);
    stream.latency_objective = milliseconds(300);
    stream.gap_objective = milliseconds(200);
    endpoint_ = std::make_unique<scripted_endpoint>(
        std::vector<scripted_answer>{{"", false, false,
                                      [this](const std::string&) {
                                          freed_.get_future().wait_for(seconds(5));
                                          return stream_head("0") + chunk_of(event(1)) + "0\r\n\r\n";
                                      }},
                                     {stream_head("7") + chunk_of(event(2)) + "0\r\n\r\n", false, false}});
    auto ending = std::make_unique<scripted_endpoint>(
        std::vector<scripted_answer>{{stream_head("7") + chunk_of(event(1)), false, false}});
    start_relay(stream, {endpoint_->address()});
    run_on_relay_thread([this] { relay_->state().endpoints.set_slots("claims", 1, 1); });
    send("0");
    wait_until([this] { return endpoint_->requests().size() == 1; });
    const std::vector<endpoint_record> others = records_;
    records_.push_back({"ending", ending->address(), "d1", "claims", "live", "v1", 1000});
    run_on_relay_thread([this] { relay_->set_endpoints(records_); });
    send("7");
    wait_until([&] { return ending->requests().size() == 1; });
    run_on_relay_thread([&] { relay_->set_endpoints(others); });
    ending.reset();
    wait_until([this] { return waiting() == 1; });
    std::this_thread::sleep_for(2 * stream.latency_objective);
    EXPECT_EQ(waiting(), 1U);
    free_endpoint();
    const std::string answer = answers_.back().get();
    EXPECT_TRUE(contains(answer, event(1)) && contains(answer, event(2))) << answer;
    answers_.pop_back();
}

// Guards against a switch that does not restore what was before: requests wait outside the room.
TEST_F(waiting_fixture, without_the_mechanism_the_room_stays_empty) {
    in_use_.orders_waiting = false;
    start(route(route_kind::idempotent, 2), 1, duration::zero());
    send("1");
    std::this_thread::sleep_for(2 * tick);
    EXPECT_EQ(waiting(), 0U);
    free_endpoint();
    EXPECT_EQ(count_served(), 2);
}

// Guards against time limits that are no longer checked, and requests that are never answered, because one
// request could not even be ended by the exception of its handling.
TEST_F(waiting_fixture, requests_end_in_time_after_the_end_of_another_has_thrown) {
    traffic_route brief = route(route_kind::non_idempotent, 1);
    brief.timeout = milliseconds(700);
    brief.latency_objective = milliseconds(200);
    start(brief, 0, duration::zero());
    send("1");
    wait_until([this] { return waiting() == 1; });
    run_on_relay_thread([this] { relay_->state().waiting.clear(); }); // Its place is gone.
    const time_point limit = monotonic_now() + seconds(3);
    while (count_of("request_handlers_failed") == 0 && monotonic_now() < limit) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_EQ(count_of("request_handlers_failed"), 1U);
    EXPECT_EQ(answers_.back().wait_for(seconds(1)), std::future_status::ready); // Its caller is reset.
    EXPECT_EQ(answers_.front().wait_for(seconds(2)), std::future_status::ready);
    EXPECT_EQ(count_of("requests_expired") + count_of("requests_served"), 1U);
    free_endpoint();
    run_on_relay_thread([this] {
        EXPECT_EQ(relay_->active(), 0U);
        relay_->end_requests(); // Otherwise a caller of a request that has no end keeps this test.
        relay_->close_idle();
    });
}

// Guards against requests that are left without an end because the end of another has thrown twice.
TEST_F(waiting_fixture, a_second_exception_ends_its_own_request_only) {
    start(route(route_kind::idempotent, 2), 0, duration::zero());
    send("1");
    wait_until([this] { return waiting() == 1; });
    run_on_relay_thread([this] {
        relay_->state().waiting.clear(); // Its place is gone.
        EXPECT_NO_THROW(relay_->end_requests());
        EXPECT_EQ(relay_->active(), 0U);
        relay_->end_requests();
    });
    EXPECT_EQ(answers_.back().get(), "");
    EXPECT_TRUE(contains(answers_.front().get(), "HTTP/1.1 502"));
    answers_.clear();
    free_endpoint();
}

// Guards against an endpoint that seems to have room although it runs a request, because an exception has
// settled the attempt of another request twice.
TEST_F(waiting_fixture, an_exception_after_an_answer_does_not_settle_its_attempt_twice) {
    std::promise<void> freed;
    const auto served = [](const std::string& request) { return answer_of(id_in(request), "served"); };
    scripted_endpoint endpoint({{"", false, false,
                                 [&](const std::string& request) {
                                     freed.get_future().wait_for(seconds(5));
                                     return served(request);
                                 }},
                                {"", false, false, served}});
    start_relay(route(route_kind::idempotent, 2), {endpoint.address()});
    run_on_relay_thread([this] {
        const time_point now = monotonic_now();
        relay_->state().endpoints.set_slots("claims", 2, 1);
        relay_->state().quarantine.on_end({7, {digest_of_part("part")}}, {1, now - milliseconds(50), now},
                                          now);
        relay_->state().on_crash_notices_changed = [this] {
            relay_->state().on_crash_notices_changed = nullptr;
            throw std::runtime_error("a report that fails");
        };
    });
    auto running = std::async(std::launch::async, [this] { return send_request("0"); });
    for (int i = 0; i < 1000 && endpoint.requests().empty(); ++i) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    int before = 0;
    int after = 0;
    const auto running_now = [this] {
        const load_by_endpoint& load = relay_->state().endpoints.own_load();
        const auto found = load.find("e0");
        return found == load.end() ? 0 : found->second.running;
    };
    run_on_relay_thread([&] { before = running_now(); });
    const std::string cut = send_request("1", "Prompt: part own\r\n");
    run_on_relay_thread([&] { after = running_now(); });
    EXPECT_EQ(cut, "");
    EXPECT_EQ(before, 1);
    EXPECT_EQ(after, before);
    freed.set_value();
    EXPECT_TRUE(contains(running.get(), "served"));
}

} // namespace laurelhoist
