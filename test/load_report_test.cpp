// Tests of the load report and of the bound on request bodies.
#include "relay_fixture.h"

#include <rapidcheck/gtest.h>

namespace laurelhoist {
namespace {

const time_point start{seconds(1000)};

ended_request ended(const std::string& team, const std::string& outcome, int status, int wait_ms = -1) {
    ended_request request{{"pool", "chat", team}, outcome, status, false, std::nullopt};
    if (wait_ms >= 0) {
        request.first_event = milliseconds(wait_ms);
    }
    return request;
}

// Guards against a report that hides whose requests a burst of one team has turned away, and why.
TEST(load_summary, tells_who_was_refused_in_a_burst_and_why) {
    load_summary load;
    for (int i = 0; i < 90; ++i) {
        load.on_ended(ended("hot", "no_room", 503), start);
    }
    for (int i = 0; i < 10; ++i) {
        load.on_ended(ended("calm", "served", 200, i < 8 ? 100 : 2000), start + seconds(1));
    }
    load.on_ended(ended("calm", "expired", 504), start + seconds(1));
    const std::vector<waiting_time> waiting = {{{"pool", "chat", "hot"}, milliseconds(300)},
                                               {{"pool", "chat", "new"}, milliseconds(70)}};
    const json all = load.report(waiting, {}, start + seconds(2));
    ASSERT_EQ(all["rows"].size(), 3U);
    const json& calm = all["rows"][0];
    EXPECT_EQ(calm["team"], "calm");
    EXPECT_EQ(calm["last"]["served"], 10);
    EXPECT_EQ(calm["last"]["failed"]["expired"], 1);
    EXPECT_TRUE(calm["last"]["refused"].empty());
    EXPECT_NEAR(calm["last"]["first_event_ms_p50"].get<double>(), 100, 20);
    EXPECT_NEAR(calm["last"]["first_event_ms_p90"].get<double>(), 2000, 400);
    const json hot = load.report(waiting, {"chat", "hot"}, start + seconds(2));
    ASSERT_EQ(hot["rows"].size(), 1U);
    EXPECT_EQ(hot["rows"][0]["last"]["refused"]["no_room"], 90);
    EXPECT_EQ(hot["rows"][0]["longest_wait_ms"], 300);
    EXPECT_EQ(all["rows"][2]["waiting"], 1) << "a team whose first request still waits";
    const json later = load.report({}, {"", "hot"}, start + seconds(load_summary::window_s));
    EXPECT_EQ(later["rows"][0]["last"]["requests"], 0);
    EXPECT_EQ(later["rows"][0]["since_start"]["requests"], 90);
}

// Guards against a report that grows with the teams, or loses requests when a key makes room for another.
RC_GTEST_PROP(load_summary, counts_every_request_within_its_bound, ()) {
    load_summary load;
    const auto teams = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    const int step_s = *rc::gen::inRange(0, 3);
    time_point now = start;
    for (const int team : teams) {
        load.on_ended(ended(std::to_string(team), "served", 200, team), now += seconds(step_s));
    }
    const json report = load.report({{{"pool", "chat", "x"}, seconds(1)}}, {}, now);
    RC_ASSERT(report["rows"].size() <= load_summary::max_rows);
    std::size_t total = report["other"]["since_start"]["requests"];
    std::size_t waiting = report["other"]["waiting"];
    for (const json& row : report["rows"]) {
        total += row["since_start"]["requests"].get<std::size_t>();
        waiting += row["waiting"].get<std::size_t>();
    }
    RC_ASSERT(total == teams.size());
    RC_ASSERT(waiting == 1U);
}

constexpr std::size_t body_bytes = 512 << 10;

// Guards against a host that runs out of memory because many requests with bodies are under way: new ones are
// refused as not run while the bound is exceeded, ones without a body are served, and later ones again.
TEST_F(relay_fixture, request_bodies_beyond_the_bound_are_refused_and_not_run) {
    scripted_endpoint endpoint(
        {{"", false, false}, {"", false, false}, {answer_of("3", "served")}, {answer_of("4", "served")}});
    request_buffer_bytes_ = body_bytes;
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    std::thread first([this] { send_request("1", "", std::string(body_bytes, 'x')); });
    while (endpoint.requests().empty()) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    std::thread second([this] { send_request("2", "", std::string(body_bytes, 'x')); });
    while (endpoint.requests().size() < 2) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    const std::string refused = send_request("9", "", std::string(body_bytes, 'x'));
    EXPECT_TRUE(contains(refused, "503") && contains(refused, "no_memory")) << refused;
    EXPECT_TRUE(contains(refused, "Retry-After"));
    EXPECT_TRUE(contains(send_request("3"), "served"));
    EXPECT_EQ(endpoint.requests().size(), 3U) << "the refused request must not run";
    run_on_relay_thread([&] {
        EXPECT_LE(relay_->state().held_for_requests(), 4 * body_bytes);
        const json refusals = relay_->report_load({})["rows"][0]["since_start"]["refused"];
        EXPECT_EQ(refusals["no_memory"], 1);
    });
    first.join();
    second.join();
    EXPECT_TRUE(contains(send_request("4", "", std::string(body_bytes, 'x')), "served"));
    run_on_relay_thread([&] { EXPECT_EQ(relay_->state().held_for_requests(), 0U); });
}

// Guards against memory that grows because endpoints do not read the requests that are sent to them.
TEST_F(relay_fixture, what_waits_for_an_endpoint_that_does_not_read_is_counted_and_freed) {
    asio::io_context context;
    const tcp::acceptor deaf(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    constexpr std::size_t large_bytes = 16 << 20; // More than the kernel buffers for one connection.
    request_buffer_bytes_ = large_bytes;
    body_limit_bytes_ = large_bytes;
    start_relay(route(route_kind::idempotent, 1),
                {"127.0.0.1:" + std::to_string(deaf.local_endpoint().port())});
    std::thread caller([this] { send_request("1", "", std::string(large_bytes, 'x')); });
    std::size_t seen = 0;
    for (int i = 0; i < 200 && seen == 0; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
        run_on_relay_thread([&] { seen = relay_->state().pool.unsent_bytes(); });
    }
    EXPECT_GT(seen, 0U);
    EXPECT_TRUE(contains(send_request("2", "", "body"), "no_memory"));
    caller.join();
    run_on_relay_thread([&] { EXPECT_EQ(relay_->state().held_for_requests(), 0U); });
}

// Guards against memory that grows with what a caller sends ahead of its answers.
TEST_F(relay_fixture, what_a_caller_sends_ahead_stays_in_the_network) {
    scripted_endpoint endpoint({{"", false, false}});
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    asio::write(socket, asio::buffer(std::string("POST /a/1 HTTP/1.1\r\nHost: x\r\nId: 1\r\n"
                                                 "Content-Length: 0\r\n\r\n")));
    socket.non_blocking(true);
    std::size_t sent = 0;
    for (int i = 0; i < 100; ++i) {
        boost::system::error_code full;
        sent += socket.write_some(asio::buffer(std::string(body_bytes, 'x')), full);
        std::this_thread::sleep_for(milliseconds(10));
    }
    EXPECT_GT(sent, body_bytes);
    run_on_relay_thread([&] { EXPECT_LT(relay_->state().held_for_requests(), body_bytes); });
}

} // namespace
} // namespace laurelhoist
