// Tests how the relay reacts when endpoints state in their answers a rate limit, a backoff period or that
// they are leaving.
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

/** A fixture for endpoints whose answers carry statements about the endpoint. */
class endpoint_signals : public relay_fixture {
protected:
    static std::vector<scripted_answer> answers(std::size_t count, const std::string& more = "") {
        return std::vector<scripted_answer>(count, {answer_of("7", "served", more), false, false});
    }
    /** \return the Retry-After time in \p answer, or 0 if there is none. */
    static double retry_after_ms(const std::string& answer) {
        const std::string field = "Retry-After: ";
        const std::size_t at = answer.find(field);
        return at == std::string::npos ? 0 : std::stod(answer.substr(at + field.size()));
    }
    /** Sends \p times requests with \p pause after each. \return how many were not served */
    int send_requests(int times, duration pause) {
        int unserved = 0;
        for (int i = 0; i < times; ++i) {
            unserved += contains(send_request("7"), "served") ? 0 : 1;
            std::this_thread::sleep_for(pause);
        }
        return unserved;
    }
};

// Guards against a host that ignores the rate limit that an endpoint states in its answers.
TEST_F(endpoint_signals, a_stated_rate_limit_is_respected) {
    constexpr std::size_t max_in_4_s = 17; // 1.5 times the 8 requests that 2/s allow in 4 s, plus 5.
    scripted_endpoint limited(answers(200, "Limit: 2\r\n"));
    scripted_endpoint free(answers(200));
    start_relay(route(route_kind::idempotent, 2), {limited.address(), free.address()});
    send_requests(10, milliseconds(10));
    const std::size_t before = limited.requests().size();
    EXPECT_EQ(send_requests(100, milliseconds(35)), 0) << "the other endpoint serves the rest";
    EXPECT_LE(limited.requests().size() - before, max_in_4_s);
}

// Guards against callers who wait in vain when every endpoint is rate limited and this host may send nothing.
TEST_F(endpoint_signals, callers_are_refused_at_once_when_all_endpoints_are_limited) {
    scripted_endpoint limited(answers(20, "Limit: 0.5\r\n"));
    start_relay(route(route_kind::non_idempotent, 1), {limited.address()});
    EXPECT_TRUE(contains(send_request("7"), "served"));
    const time_point asked_at = monotonic_now();
    const std::string answer = send_request("7");
    EXPECT_TRUE(contains(answer, "HTTP/1.1 503")) << answer;
    EXPECT_GE(retry_after_ms(answer), 2000) << "one request every two seconds";
    EXPECT_LE(retry_after_ms(answer), 2500);
    EXPECT_LT(monotonic_now() - asked_at, milliseconds(300));
    EXPECT_EQ(limited.requests().size(), 1U);
}

// Guards against a rate limit that never ends: if no host sends requests, none learns that it was lifted. The
// host that is a sponsor of the endpoint keeps sending.
TEST_F(endpoint_signals, a_sponsor_keeps_sending_and_learns_that_the_limit_is_lifted) {
    std::vector<scripted_answer> script = answers(3, "Limit: 20\r\n");
    const std::vector<scripted_answer> rest = answers(50);
    script.insert(script.end(), rest.begin(), rest.end());
    scripted_endpoint endpoint(script);
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    EXPECT_TRUE(contains(send_request("7"), "served"));
    run_on_relay_thread([&] {
        host_status self;
        self.name = "h1";
        self.state = "serving";
        relay_->state().endpoints.allowance().limits().set_hosts({{self}, true}, monotonic_now());
    });
    EXPECT_LE(send_requests(30, milliseconds(30)), 20);
    run_on_relay_thread(
        [&] { EXPECT_EQ(relay_->state().endpoints.allowance().limits().limit_of("e0"), std::nullopt); });
    EXPECT_EQ(send_requests(5, milliseconds(1)), 0);
}

// Guards against a host that keeps sending to an endpoint that has asked for a backoff.
TEST_F(endpoint_signals, a_requested_back_off_is_respected) {
    constexpr std::size_t max_in_back_off = 2;
    const scripted_answer refusal{
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n", false, false};
    scripted_endpoint backing_off(std::vector<scripted_answer>(50, refusal));
    start_relay(route(route_kind::non_idempotent, 1), {backing_off.address()});
    EXPECT_TRUE(contains(send_request("7"), "HTTP/1.1 503"));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const std::size_t before = backing_off.requests().size();
    send_requests(60, milliseconds(50));
    EXPECT_LE(backing_off.requests().size() - before, max_in_back_off);
}

// Guards against new requests to an endpoint that states in an answer that it is leaving, while its entry in
// the store still lists it as ready.
TEST_F(endpoint_signals, a_leaving_endpoint_gets_no_new_requests) {
    scripted_endpoint leaving(answers(50, "Leaving: 1\r\n"));
    scripted_endpoint staying(answers(50));
    start_relay(route(route_kind::idempotent, 2), {leaving.address(), staying.address()});
    send_requests(20, milliseconds(5));
    run_on_relay_thread([&] { relay_->set_endpoints(records_); });
    EXPECT_EQ(send_requests(20, milliseconds(5)), 0);
    EXPECT_EQ(leaving.requests().size(), 1U);
}

// Guards against callers who are told to retry before the backoff of the only endpoint has ended, or who are
// kept waiting until then.
TEST_F(endpoint_signals, callers_are_told_when_the_back_off_ends) {
    const scripted_answer refusal{
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n", false, false};
    scripted_endpoint backing_off({refusal, {answer_of("7", "served"), false, false}});
    start_relay(route(route_kind::non_idempotent, 1), {backing_off.address()});
    const time_point asked_at = monotonic_now();
    for (int i = 0; i < 2; ++i) {
        const std::string answer = send_request("7");
        EXPECT_TRUE(contains(answer, "HTTP/1.1 503")) << answer;
        EXPECT_GE(retry_after_ms(answer), 1300);
        EXPECT_LE(retry_after_ms(answer), 1500 * 1.25);
    }
    EXPECT_LT(monotonic_now() - asked_at, milliseconds(300));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    EXPECT_TRUE(contains(send_request("7"), "served")) << "the back-off does not count as a failure";
}

// Guards against retries that go to an endpoint in backoff after all other endpoints have been tried.
TEST_F(endpoint_signals, later_attempts_avoid_an_endpoint_in_back_off) {
    const scripted_answer refusal{
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", false, false};
    scripted_endpoint backing_off(std::vector<scripted_answer>(50, refusal));
    scripted_endpoint broken(std::vector<scripted_answer>(50, scripted_answer{"", false, true}));
    start_relay(route(route_kind::idempotent, 4), {backing_off.address(), broken.address()});
    send_requests(10, milliseconds(20));
    EXPECT_EQ(backing_off.requests().size(), 1U);
}

} // namespace
} // namespace laurelhoist
