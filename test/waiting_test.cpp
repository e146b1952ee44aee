// How the relay holds requests that no endpoint takes.
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

constexpr duration tick = milliseconds(50);

/** A relay in front of one endpoint that runs one request at a time. */
class waiting_fixture : public relay_fixture {
protected:
    /** Starts the relay, and an endpoint that answers its first request once \ref free_endpoint is called and
     * the others after \p answer_time. */
    void start(const traffic_route& route, int count, duration answer_time) {
        std::vector<scripted_answer> script;
        for (int i = 0; i <= count; ++i) {
            script.push_back({"", false, false, [this, i, answer_time](const std::string& request) {
                                  if (i == 0) {
                                      freed_.get_future().wait_for(seconds(5));
                                  }
                                  std::this_thread::sleep_for(answer_time);
                                  return answer_of(id_in(request), "served");
                              }});
        }
        endpoint_ = std::make_unique<scripted_endpoint>(std::move(script));
        start_relay(route, {endpoint_->address()});
        run_on_relay_thread([this] { relay_->state().endpoints.set_slots("claims", 1, 1); });
        send("0");
        wait_until([this] { return endpoint_->requests().size() == 1; });
    }
    void TearDown() override {
        answers_.clear(); // Waits for the callers while the relay still runs.
        relay_fixture::TearDown();
    }
    void send(const std::string& id) {
        answers_.push_back(std::async(std::launch::async, [this, id] { return send_request(id); }));
    }
    /** Sends the requests 1 to \p count, each once the one before waits. */
    void send_waiting(std::size_t count) {
        for (std::size_t i = 1; i <= count; ++i) {
            send(std::to_string(i));
            wait_until([this, i] { return waiting() == i; });
        }
    }
    void free_endpoint() { freed_.set_value(); }
    std::size_t waiting() {
        std::size_t size = 0;
        run_on_relay_thread([&] { size = relay_->state().waiting["claims"].size(); });
        return size;
    }
    std::uint64_t count_of(const std::string& counter) {
        std::uint64_t count = 0;
        run_on_relay_thread([&] { count = relay_->state().measured.counter(counter); });
        return count;
    }
    static void wait_until(const std::function<bool()>& is_done) {
        for (int i = 0; i < 1000 && !is_done(); ++i) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        ASSERT_TRUE(is_done());
    }
    int count_served() {
        int served = 0;
        for (auto& answer : answers_) {
            served += contains(answer.get(), "served") ? 1 : 0;
        }
        return served;
    }
    static std::string id_in(const std::string& request) {
        const std::size_t at = request.find("Id: ") + 4;
        return request.substr(at, request.find("\r\n", at) - at);
    }

    std::promise<void> freed_;
    std::unique_ptr<scripted_endpoint> endpoint_;
    std::vector<std::future<std::string>> answers_;
};

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

} // namespace laurelhoist
