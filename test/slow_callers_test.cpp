#include "relay_fixture.h"

namespace laurelhoist {
namespace {

constexpr std::size_t event_bytes = 64 << 10;
/// Several times what the kernel buffers for one connection.
constexpr int events_of_long_stream = 256;
constexpr std::size_t long_body_bytes = 16 << 20;

std::string long_event(int id) {
    return "id: " + std::to_string(id) + "\ndata: " + std::string(event_bytes, 'x') + "\n\n";
}

/** \return the chunks of the events \p first to \p last. */
std::string long_events(int first, int last) {
    std::string chunks;
    for (int id = first; id <= last; ++id) {
        chunks += chunk_of(long_event(id));
    }
    return chunks;
}

scripted_answer long_stream(const std::string& id) {
    return {stream_head(id) + long_events(1, events_of_long_stream) + "0\r\n\r\n", false, false};
}

/** A caller that sends one request and reads its answer only when told to. */
class slow_caller {
public:
    slow_caller(std::uint16_t port, const std::string& id, bool keeps_alive = false,
                const std::string& protocol = "HTTP/1.1") {
        socket_.open(tcp::v4());
        socket_.set_option(asio::socket_base::receive_buffer_size(4096));
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        const std::string ending = keeps_alive ? "" : "Connection: close\r\n";
        asio::write(socket_, asio::buffer("POST /a/1 " + protocol + "\r\nHost: x\r\nId: " + id + "\r\n" +
                                          ending + "Content-Length: 0\r\n\r\n"));
    }

    /** \return what the relay sends until it closes the connection. */
    std::string read_all() {
        std::string answer;
        asio::read(socket_, asio::dynamic_buffer(answer), failure_);
        return answer;
    }

    /** \return whether the connection ended with a reset when the answer was read. */
    bool was_reset() const { return failure_ == asio::error::connection_reset; }

private:
    asio::io_context context_;
    tcp::socket socket_{context_};
    boost::system::error_code failure_;
};

void sleep_for(duration time) {
    std::this_thread::sleep_for(time);
}

/** \return whether \p answer has each event of the long stream once, in order, and its end. */
::testing::AssertionResult is_whole_long_stream(const std::string& answer) {
    const std::size_t body = answer.find("\r\n\r\n");
    if (body == std::string::npos) {
        return ::testing::AssertionFailure() << "no head in " << answer.size() << " bytes";
    }
    int events = 0;
    std::size_t at = 0;
    while ((at = answer.find("\nid: ", at)) != std::string::npos) {
        ++events;
        at += 5;
        if (std::stoi(answer.substr(at, 8)) != events) {
            return ::testing::AssertionFailure() << "event " << events << " is missing or repeated";
        }
    }
    const bool has_end = answer.size() > 5 && answer.compare(answer.size() - 5, 5, "0\r\n\r\n") == 0;
    if (events != events_of_long_stream || !has_end) {
        return ::testing::AssertionFailure()
               << events << " events, " << (has_end ? "with" : "without") << " end";
    }
    return ::testing::AssertionSuccess();
}

// Guards against ending an attempt as the endpoint's silence, and sending the stream to another endpoint,
// because its caller has stopped reading for a moment.
TEST_F(relay_fixture, a_caller_that_pauses_gets_its_stream_from_one_attempt) {
    scripted_endpoint first({long_stream("7")});
    scripted_endpoint second({long_stream("7")});
    start_relay(route(route_kind::stream, 3), {first.address(), second.address()});
    slow_caller caller(port_, "7");
    sleep_for(milliseconds(1200));
    EXPECT_TRUE(is_whole_long_stream(caller.read_all()));
    EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// Guards against blaming an endpoint for a caller that never reads: such a caller is disconnected after a
// time limit, its stream is not sent again, and the endpoint goes on serving others.
TEST_F(relay_fixture, a_caller_that_never_reads_costs_one_attempt) {
    scripted_endpoint endpoint({long_stream("7"), {answer_of("8", "served"), false, false}});
    start_relay(route(route_kind::stream, 3), {endpoint.address()});
    const slow_caller caller(port_, "7");
    sleep_for(milliseconds(6000));
    EXPECT_EQ(endpoint.requests().size(), 1U);
    EXPECT_TRUE(contains(send_request("8"), "served"));
    EXPECT_EQ(endpoint.requests().size(), 2U);
    run_on_relay_thread([&] { EXPECT_EQ(relay_->active(), 0U); });
}

/** \return the long stream from the event on at which \p request resumes. */
std::string rest_of_long_stream(const std::string& request) {
    const std::string field = "Resume: ";
    const int last_received = std::stoi(request.substr(request.find(field) + field.size()));
    return stream_head("7") + long_events(last_received + 1, events_of_long_stream) + "0\r\n\r\n";
}

// Guards against a gap or a repeated event if the endpoint's connection breaks while the caller does not
// read.
TEST_F(relay_fixture, a_stream_that_breaks_while_its_caller_pauses_is_joined) {
    constexpr int broken_after = 160;
    scripted_endpoint endpoint({{stream_head("7") + long_events(1, broken_after), false, true},
                                {"", false, false, rest_of_long_stream}});
    start_relay(route(route_kind::stream, 3), {endpoint.address()});
    slow_caller caller(port_, "7");
    sleep_for(milliseconds(1200));
    EXPECT_TRUE(is_whole_long_stream(caller.read_all()));
    EXPECT_EQ(endpoint.requests().size(), 2U);
}

// Guards against a host that runs out of memory because many callers do not read their streams.
TEST_F(relay_fixture, what_is_held_for_callers_that_do_not_read_is_bounded) {
    constexpr std::size_t endpoints = 10;
    constexpr std::size_t slots = 6; // of each endpoint, as its service has no engine profile
    constexpr std::size_t callers = endpoints * slots;
    std::vector<std::unique_ptr<scripted_endpoint>> engines;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < endpoints; ++i) {
        engines.push_back(std::make_unique<scripted_endpoint>(
            std::vector<scripted_answer>(slots, {"", false, false, rest_of_long_stream})));
        addresses.push_back(engines.back()->address());
    }
    start_relay(route(route_kind::stream, 1), addresses);
    std::vector<std::unique_ptr<slow_caller>> stuck;
    for (std::size_t i = 0; i < callers; ++i) {
        stuck.push_back(std::make_unique<slow_caller>(port_, "7"));
    }
    // How soon the network stops accepting, and how much it takes later, depends on the load of the machine.
    constexpr int min_checks = 100;
    constexpr int max_checks = 400;
    std::size_t most_unsent = 0;
    for (int i = 0; i < min_checks || (i < max_checks && most_unsent <= std::size_t{1} << 20); ++i) {
        sleep_for(milliseconds(25));
        run_on_relay_thread([&] {
            if (i + 1 == min_checks) {
                EXPECT_EQ(relay_->active(), callers);
            }
            most_unsent = std::max(most_unsent, relay_->unsent_bytes());
        });
    }
    EXPECT_GT(most_unsent, std::size_t{1} << 20) << "the callers must have stopped reading";
    EXPECT_LT(most_unsent, relay_settings{}.caller_buffer_bytes + callers * 2 * event_bytes);
}

/** An answer that is complete before its caller has read any of it, as long as one may be. */
struct long_complete_answer {
    const char* name;
    route_kind kind;
    std::string bytes;
};

std::string with_length(const std::string& status) {
    return "HTTP/1.1 " + status + "\r\nReceipt: 1\r\nContent-Length: " + std::to_string(long_body_bytes) +
           "\r\n\r\n" + std::string(long_body_bytes, 'x');
}

std::vector<long_complete_answer> long_complete_answers() {
    const std::string event = "id: 1\ndata: " + std::string(long_body_bytes, 'x') + "\n\n";
    return {{"success", route_kind::non_idempotent, with_length("200 OK")},
            {"refusal", route_kind::non_idempotent, with_length("404 Not Found")},
            {"failure", route_kind::non_idempotent, with_length("500 Internal Server Error")},
            {"event", route_kind::stream, stream_head("7") + chunk_of(event)}};
}

class complete_answer_fixture : public relay_fixture,
                                public ::testing::WithParamInterface<long_complete_answer> {};

// Guards against a host that runs out of memory because each answer is held until it is complete, however
// much of earlier ones their callers have not read.
TEST_P(complete_answer_fixture, what_callers_have_not_read_leaves_no_room_for_more) {
    constexpr std::size_t callers = 8;
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    std::vector<std::string> addresses;
    const auto make_answer = [&whole = GetParam().bytes](const std::string&) { return whole; };
    for (std::size_t i = 0; i < callers; ++i) {
        endpoints.push_back(std::make_unique<scripted_endpoint>(
            std::vector<scripted_answer>(callers, {"", false, false, make_answer})));
        addresses.push_back(endpoints.back()->address());
    }
    start_relay(route(GetParam().kind, 1), addresses);
    std::vector<std::unique_ptr<slow_caller>> stuck;
    std::size_t most_unsent = 0;
    for (std::size_t i = 0; i < callers; ++i) {
        stuck.push_back(std::make_unique<slow_caller>(port_, "7"));
        sleep_for(milliseconds(200));
        run_on_relay_thread([&] { most_unsent = std::max(most_unsent, relay_->unsent_bytes()); });
    }
    const relay_settings settings;
    EXPECT_LT(most_unsent, settings.caller_buffer_bytes + settings.answer_buffer_bytes);
}

INSTANTIATE_TEST_SUITE_P(all, complete_answer_fixture, ::testing::ValuesIn(long_complete_answers()),
                         [](const auto& each) { return std::string(each.param.name); });

// Guards against the body of a failed attempt that takes room from other answers while its request waits for
// an endpoint.
TEST_F(relay_fixture, a_request_that_waits_for_another_attempt_holds_no_answer) {
    constexpr std::size_t slots = 6; // of each endpoint, as its service has no engine profile
    constexpr std::size_t body_bytes = 2 << 20;
    const std::string failure =
        "HTTP/1.1 500 X\r\nReceipt: 1\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
        std::string(body_bytes, 'x');
    const auto fail_later = [&failure](const std::string&) {
        sleep_for(milliseconds(400)); // Until the slots of both endpoints are taken.
        return std::string(failure);
    };
    scripted_endpoint fails(std::vector<scripted_answer>(2 * slots, {"", false, false, fail_later}));
    scripted_endpoint hangs(std::vector<scripted_answer>(2 * slots, {"", false, false}));
    start_relay(route(route_kind::idempotent, 3), {fails.address(), hangs.address()});
    std::vector<std::unique_ptr<slow_caller>> callers;
    for (std::size_t i = 0; i < 2 * slots; ++i) {
        callers.push_back(std::make_unique<slow_caller>(port_, std::to_string(i)));
        sleep_for(milliseconds(20));
    }
    sleep_for(milliseconds(500));
    constexpr int checks = 8;
    std::size_t least_held = body_bytes * slots;
    for (int i = 0; i < checks; ++i) {
        sleep_for(milliseconds(25));
        run_on_relay_thread([&] {
            EXPECT_EQ(relay_->active(), 2 * slots) << "all of them must still wait";
            least_held = std::min(least_held, relay_->state().answer_bytes.held());
        });
    }
    EXPECT_EQ(fails.requests().size(), slots);
    EXPECT_EQ(least_held, 0U);
}

// A slow caller's stream was the probe of an ejected endpoint, which no other request got until it ended.
TEST_F(relay_fixture, a_probe_for_a_slow_caller_keeps_no_other_request_waiting) {
    const auto short_stream = [](const std::string& id) {
        return scripted_answer{stream_head(id) + long_events(1, 1) + "0\r\n\r\n", false, false};
    };
    const scripted_answer broken{"", false, true};
    scripted_endpoint endpoint(
        {short_stream("1"), broken, broken, broken, long_stream("5"), short_stream("6")});
    start_relay(route(route_kind::stream, 1), {endpoint.address()});
    for (const char* id : {"1", "2", "3", "4"}) {
        send_request(id);
    }
    sleep_for(milliseconds(2200)); // The endpoint is ejected for two seconds.
    const slow_caller caller(port_, "5");
    sleep_for(milliseconds(300));
    const time_point sent_at = monotonic_now();
    EXPECT_TRUE(contains(send_request("6"), "id: 1"));
    EXPECT_LT(monotonic_now() - sent_at, milliseconds(1500));
}

// Guards against a planned stop that closes a connection whose caller has not received its whole answer yet.
TEST_F(relay_fixture, a_planned_stop_does_not_cut_an_answer_that_is_read_slowly) {
    scripted_endpoint endpoint({{answer_of("7", std::string(long_body_bytes, 'x')), false, false}});
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "7", true);
    sleep_for(milliseconds(700));
    run_on_relay_thread([&] {
        EXPECT_EQ(relay_->active(), 0U) << "the endpoint has answered";
        relay_->begin_stop();
        EXPECT_FALSE(relay_->close_idle());
    });
    std::thread closing([this] {
        for (int i = 0; i < 20; ++i) {
            sleep_for(milliseconds(100));
            run_on_relay_thread([&] { relay_->close_idle(); });
        }
    });
    EXPECT_GT(caller.read_all().size(), long_body_bytes);
    closing.join();
}

// A caller that reads more slowly than a planned stop lasts was cut off, although its answer was there.
TEST_F(relay_fixture, a_planned_stop_leaves_the_rest_of_an_answer_to_the_kernel) {
    constexpr std::size_t answer_bytes =
        4 << 20; // Fits the largest buffer of the kernel and not the usual one.
    scripted_endpoint endpoint({{answer_of("7", std::string(answer_bytes, 'x')), false, false}});
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "7");
    sleep_for(milliseconds(500));
    run_on_relay_thread([&] {
        EXPECT_GT(relay_->unsent_bytes(), 0U) << "the caller must not have read it";
        relay_->begin_stop();
        relay_->close_idle();
    });
    sleep_for(milliseconds(300));
    run_on_relay_thread([&] { EXPECT_EQ(relay_->unsent_bytes(), 0U); });
    loop_.stop();
    thread_.join();
    relay_.reset();
    EXPECT_GT(caller.read_all().size(), answer_bytes);
}

// Guards against the kernel ending a connection because its caller's receive window stays closed for seconds.
TEST_F(relay_fixture, an_answer_that_waits_for_its_caller_in_the_network_is_delivered) {
    constexpr std::size_t answer_bytes = 48 << 10; // Fits the kernel's buffer and not the caller's.
    scripted_endpoint endpoint({{answer_of("1", std::string(answer_bytes, 'x'))}});
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "1");
    sleep_for(milliseconds(6500));
    EXPECT_GT(caller.read_all().size(), answer_bytes);
}

// Guards against a host that keeps, and counts as held, all of an answer until its caller has read the last
// of it: bytes that the network has accepted are not needed any more.
TEST_F(relay_fixture, what_the_network_has_accepted_of_an_answer_is_not_held) {
    scripted_endpoint endpoint({{answer_of("7", std::string(long_body_bytes, 'x')), false, false}});
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "7");
    sleep_for(milliseconds(700));
    run_on_relay_thread([&] {
        EXPECT_GT(relay_->unsent_bytes(), 0U) << "the caller must not have read it";
        EXPECT_LT(relay_->unsent_bytes(), long_body_bytes) << "the network must have accepted a part";
        EXPECT_EQ(relay_->state().caller_bytes.held(), relay_->unsent_bytes());
    });
    EXPECT_GT(caller.read_all().size(), long_body_bytes);
}

class little_room : public relay_fixture {
protected:
    little_room() { answer_buffer_bytes_ = std::size_t{1} << 20; }
    std::size_t most_held_bytes() {
        std::size_t held = 0;
        run_on_relay_thread(
            [&] { held = relay_->state().answer_bytes.held() + relay_->state().caller_bytes.held(); });
        return held;
    }
    std::size_t most_held_in_800_ms() {
        std::size_t most = 0;
        for (int i = 0; i < 40; ++i) {
            sleep_for(milliseconds(20));
            most = std::max(most, most_held_bytes());
        }
        return most;
    }
    static constexpr std::size_t long_answer_bytes = std::size_t{12} << 20;
};

// Guards against a host that runs out of memory because it holds whole answers for callers that read slowly.
TEST_F(little_room, a_long_answer_for_a_slow_caller_is_held_in_parts_and_arrives_whole) {
    scripted_endpoint endpoint({{answer_of("7", std::string(long_answer_bytes, 'x')), false, false}});
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "7");
    std::size_t most = 0;
    for (int i = 0; i < 40; ++i) {
        sleep_for(milliseconds(20));
        most = std::max(most, most_held_bytes());
    }
    EXPECT_LE(most, std::size_t{2} << 20);
    const std::string answer = caller.read_all();
    EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, long_answer_bytes);
    EXPECT_EQ(endpoint.requests().size(), 1U);
    EXPECT_EQ(most_held_bytes(), 0U);
}

// Guards against an answer that is joined from two attempts, or that looks complete, because its endpoint
// broke off when a part of it had been passed on.
TEST_F(little_room, an_answer_that_breaks_off_after_a_part_was_passed_on_is_cut) {
    std::string broken = answer_of("7", std::string(long_answer_bytes, 'x'));
    broken.resize(broken.size() / 2);
    scripted_endpoint endpoint({{broken, false, true}, {answer_of("7", "served"), false, false}});
    start_relay(route(route_kind::idempotent, 3), {endpoint.address()});
    slow_caller caller(port_, "7");
    EXPECT_LT(caller.read_all().size(), long_answer_bytes);
    EXPECT_EQ(endpoint.requests().size(), 1U);
    run_on_relay_thread([&] { EXPECT_EQ(relay_->active(), 0U); });
}

/** \return the head of an answer without a length to the request 7. */
std::string unframed_head(const std::string& more) {
    return "HTTP/1.1 200 OK\r\nId: 7\r\nReceipt: r\r\n" + more + "\r\n";
}

/** \return \p bytes bytes of a body in chunks, without the last one. */
std::string body_in_chunks(std::size_t bytes) {
    const std::string chunk = chunk_of(std::string(event_bytes, 'x'));
    std::string chunks;
    for (std::size_t i = 0; i < bytes / event_bytes; ++i) {
        chunks += chunk;
    }
    return chunks;
}

const std::string chunked_field = "Transfer-Encoding: chunked\r\n";
const std::string last_chunk_text = "0\r\n\r\n";

/** \return how many bytes of a long answer, which is made of x, have arrived. */
std::size_t body_bytes_of(const std::string& answer) {
    return static_cast<std::size_t>(std::count(answer.begin(), answer.end(), 'x'));
}

bool has_last_chunk(const std::string& answer) {
    return contains(answer, chunked_field) && answer.size() > last_chunk_text.size() &&
           answer.substr(answer.size() - last_chunk_text.size()) == last_chunk_text;
}

// Guards against a host that holds whole answers without a length for callers that read slowly.
TEST_F(little_room, a_chunked_answer_for_a_slow_caller_is_held_in_parts_and_arrives_whole) {
    scripted_endpoint endpoint(
        {{unframed_head(chunked_field) + body_in_chunks(long_answer_bytes) + last_chunk_text, false, false}});
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "7");
    EXPECT_LE(most_held_in_800_ms(), std::size_t{2} << 20);
    const std::string answer = caller.read_all();
    EXPECT_EQ(body_bytes_of(answer), long_answer_bytes);
    EXPECT_TRUE(has_last_chunk(answer));
    EXPECT_EQ(endpoint.requests().size(), 1U);
    EXPECT_EQ(most_held_bytes(), 0U);
}

// Guards against a host that holds whole answers that end with their connection for callers that read slowly.
TEST_F(little_room, an_answer_that_ends_with_its_connection_is_held_in_parts_and_arrives_whole) {
    scripted_endpoint endpoint({{unframed_head("") + std::string(long_answer_bytes, 'x'), true, false}});
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "7");
    EXPECT_LE(most_held_in_800_ms(), std::size_t{2} << 20);
    const std::string answer = caller.read_all();
    EXPECT_EQ(body_bytes_of(answer), long_answer_bytes);
    EXPECT_TRUE(has_last_chunk(answer));
    EXPECT_EQ(most_held_bytes(), 0U);
}

// Guards against chunks that are sent to a caller that speaks HTTP/1.0 and takes them for the body.
TEST_F(little_room, a_caller_without_chunks_gets_a_chunked_answer_until_the_end_of_its_connection) {
    scripted_endpoint endpoint(
        {{unframed_head(chunked_field) + body_in_chunks(long_answer_bytes) + last_chunk_text, false, false}});
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    slow_caller caller(port_, "7", false, "HTTP/1.0");
    EXPECT_LE(most_held_in_800_ms(), std::size_t{2} << 20);
    const std::string answer = caller.read_all();
    EXPECT_FALSE(contains(answer, chunked_field));
    EXPECT_EQ(answer.substr(answer.find("\r\n\r\n") + 4), std::string(long_answer_bytes, 'x'));
}

class broken_unframed_answer : public little_room {
protected:
    /** Checks that a caller that has a part of \p broken sees its connection reset, and no other attempt. */
    void expect_cut(const scripted_answer& broken, const std::string& protocol = "HTTP/1.1") {
        scripted_endpoint endpoint({broken, {answer_of("7", "served"), false, false}});
        start_relay(route(route_kind::idempotent, 3), {endpoint.address()});
        slow_caller caller(port_, "7", false, protocol);
        sleep_for(milliseconds(200));
        const std::string answer = caller.read_all();
        EXPECT_TRUE(contains(answer, "200 OK")) << "a part must have been passed on";
        EXPECT_FALSE(has_last_chunk(answer));
        EXPECT_TRUE(caller.was_reset());
        EXPECT_EQ(endpoint.requests().size(), 1U);
    }
    const std::string half_in_chunks_ = unframed_head(chunked_field) + body_in_chunks(long_answer_bytes / 2);
    const std::string half_ = unframed_head("") + std::string(long_answer_bytes / 2, 'x');
};

// Guards against a part of an answer that looks complete because its endpoint's connection was reset.
TEST_F(broken_unframed_answer, one_in_chunks_that_is_reset_is_cut) {
    expect_cut({half_in_chunks_, false, true});
}

// Guards against a part of an answer that looks complete because its endpoint closed the connection in order.
TEST_F(broken_unframed_answer, one_in_chunks_that_ends_without_its_last_chunk_is_cut) {
    expect_cut({half_in_chunks_, true, false});
}

// Guards against a part of an answer that looks complete because only the end of its connection shows its
// end.
TEST_F(broken_unframed_answer, one_that_ends_with_its_connection_and_is_reset_is_cut) {
    expect_cut({half_, false, true});
}

// Guards against a part of an answer that looks complete to a caller without chunks.
TEST_F(broken_unframed_answer, one_for_a_caller_without_chunks_is_cut) {
    expect_cut({half_in_chunks_, false, true}, "HTTP/1.0");
}

} // namespace
} // namespace laurelhoist
