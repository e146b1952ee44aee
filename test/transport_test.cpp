/** \file
 * Tests the transport over real loopback sockets, on ports that the system chooses.
 */
#include "address_space.h"

#include "transport/descriptor_shares.h"
#include "transport/tcp_listener.h"
#include "transport/transport.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <random>
#include <sys/resource.h>
#include <thread>

namespace laurelhoist {

namespace {

const socket_address any_port{"127.0.0.1", 0};

/** A server and a client on one loop, which a test stops when it is done; it stops after 30 s at the latest.
 */
class http_pair : public ::testing::Test {
protected:
    void serve(const http_limits& limits, http_server::handler handler) {
        server =
            std::make_unique<http_server>(loop, listen_target{"--any", any_port}, limits, std::move(handler));
        loop.after(seconds(30), [this] { loop.stop(); });
    }
    http_answer ask(http_call call) {
        call.address = {"127.0.0.1", server->port()};
        http_answer answer;
        client.send(call, [&](const http_answer& arrived) {
            answer = arrived;
            loop.stop();
        });
        loop.run();
        return answer;
    }
    /** Sends raw bytes on a new connection. \return what the server sends until it closes the connection */
    std::string send_raw(const std::string& bytes) {
        std::string got;
        boost::asio::ip::tcp::socket socket(loop.context());
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->port()});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(got),
                                [&](const boost::system::error_code&, std::size_t) { loop.stop(); });
        loop.run();
        return got;
    }

    event_loop loop;
    http_client client{loop};
    std::unique_ptr<http_server> server;
};

} // namespace

// A crowd of long heads that stop before their end fills the memory; short requests are served beside it.
TEST_F(http_pair, long_requests_are_refused_while_too_much_is_held) {
    http_limits limits;
    limits.held_bytes = 8 << 10;
    serve(limits, [](const http_request&, const auto& responder) { responder->reply(200, {}, "{}"); });
    const std::string long_head = "GET / HTTP/1.1\r\nA: " + std::string(12 << 10, 'a');
    boost::asio::ip::tcp::socket first(loop.context());
    first.connect({boost::asio::ip::make_address("127.0.0.1"), server->port()});
    boost::asio::write(first, boost::asio::buffer(long_head));
    loop.after(milliseconds(100), [this] { loop.stop(); });
    loop.run();
    EXPECT_NE(send_raw(long_head).find("HTTP/1.1 503"), std::string::npos);
    EXPECT_EQ(ask({}).status, 200);
}

// Guards against an exception of one handler ending the process, or the timer that has thrown it.
TEST(event_loop, an_exception_ends_only_the_handler_that_throws) {
    event_loop loop;
    int calls = 0;
    loop.every(milliseconds(1), [&] {
        if (++calls == 3) {
            loop.stop();
        }
        throw std::runtime_error("a handler that fails");
    });
    loop.post([] { throw std::runtime_error("a posted handler that fails"); });
    loop.run();
    EXPECT_EQ(calls, 3);
}

// Guards against an address that is never tried again because one attempt to open it has thrown.
TEST(address_opener, an_attempt_that_throws_is_not_the_last_one) {
    event_loop loop;
    int attempts = 0;
    address_opener opener(loop, listen_target{"--any", any_port}, [&]() -> std::error_code {
        if (++attempts == 2) {
            throw std::runtime_error("an attempt that fails");
        }
        return attempts == 3 ? std::error_code() : std::make_error_code(std::errc::address_in_use);
    });
    loop.after(6 * listen_retry_interval, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(attempts, 3);
    EXPECT_TRUE(opener.is_open());
}

// Guards against a listener that accepts no one any more because the report of a failure has thrown.
TEST(tcp_listener, accepts_again_after_a_report_of_a_failure_has_thrown) {
    event_loop loop;
    int failures = 0;
    int accepted = 0;
    tcp_listener listener(loop, listen_target{"--any", any_port},
                          {[&](boost::asio::ip::tcp::socket) { ++accepted; },
                           [&] {
                               ++failures;
                               throw std::runtime_error("a report that fails");
                           }});
    boost::asio::ip::tcp::socket caller(loop.context());
    caller.open(boost::asio::ip::tcp::v4());
    rlimit limit{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
    loop.post([&] {
        caller.connect(
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), listener.port()));
        const rlimit none{0, limit.rlim_max};
        setrlimit(RLIMIT_NOFILE, &none);
    });
    loop.after(milliseconds(20), [&] { setrlimit(RLIMIT_NOFILE, &limit); });
    loop.after(milliseconds(300), [&] { loop.stop(); });
    loop.run();
    EXPECT_GE(failures, 1);
    EXPECT_EQ(accepted, 1);
}

TEST_F(http_pair, transfers_a_request_and_its_response) {
    serve({}, [](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        responder->reply(200, {{"X-Path", request.path}},
                         request.parameter("a") + request.header("x-b") + request.body);
    });
    http_call call;
    call.method = "POST";
    call.target = "/p%20q?a=1%202";
    call.headers = {{"X-B", "-b-"}};
    call.body = "body";
    const http_answer answer = ask(call);
    EXPECT_EQ(answer.what, http_answer::result::answered);
    EXPECT_EQ(answer.body, "1 2-b-body");
    EXPECT_EQ(answer.header("x-path"), "/p q");
}

TEST_F(http_pair, refuses_an_oversized_body_with_a_remedy) {
    http_limits limits;
    limits.body_bytes = 1000;
    bool was_handled = false;
    serve(limits, [&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        was_handled = true;
        responder->reply(200, {}, "");
    });
    http_call call;
    call.method = "POST";
    call.body = std::string(5000, 'x');
    const http_answer answer = ask(call);
    EXPECT_EQ(answer.status, 413);
    EXPECT_NE(answer.body.find("send less"), std::string::npos);
    EXPECT_FALSE(was_handled);
}

TEST_F(http_pair, answers_invalid_http_with_an_error_and_does_not_handle_it) {
    bool was_handled = false;
    serve({}, [&](const http_request&, const std::shared_ptr<http_responder>&) { was_handled = true; });
    EXPECT_NE(send_raw("THIS IS NOT HTTP\r\n\r\n").find("400"), std::string::npos);
    EXPECT_FALSE(was_handled);
}

// A caller that sends part of a request and stalls must be disconnected after the read timeout; otherwise it
// would occupy a connection indefinitely.
TEST_F(http_pair, disconnects_a_slow_caller) {
    http_limits limits;
    limits.read_time = milliseconds(200);
    bool was_handled = false;
    serve(limits, [&](const http_request&, const std::shared_ptr<http_responder>&) { was_handled = true; });
    send_raw("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf");
    EXPECT_FALSE(was_handled);
}

// A client that passed on each chunk only when the next one arrives would delay every token of a stream.
TEST_F(http_pair, delivers_a_stream_piece_by_piece) {
    serve({}, [this](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->begin_stream(200, {});
        responder->write("one ");
        loop.after(milliseconds(30), [responder] {
            responder->write("two");
            responder->end_stream();
        });
    });
    http_call call;
    call.is_streamed = true;
    call.address = {"127.0.0.1", server->port()};
    std::vector<std::string> pieces;
    client.send(
        call, [&](const http_answer&) { loop.stop(); },
        [&](const std::string& piece) { pieces.push_back(piece); });
    loop.run();
    EXPECT_EQ(pieces, (std::vector<std::string>{"one ", "two"}));
}

// A server may accept a request and never respond, as happens when a device on the path drops its state of
// the connection. No error is ever reported then, so only the timeout ends the call.
TEST_F(http_pair, distinguishes_a_timeout_from_a_failure_and_from_not_sent) {
    std::vector<std::shared_ptr<http_responder>> kept;
    serve({}, [&](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        request.path == "/cut" ? responder->abort() : kept.push_back(responder);
    });
    http_call call;
    call.timeout = milliseconds(200);
    EXPECT_EQ(ask(call).what, http_answer::result::silent);
    call.target = "/cut";
    EXPECT_EQ(ask(call).what, http_answer::result::failed);
    const std::uint16_t port = server->port();
    server.reset();
    call.address = {"127.0.0.1", port};
    http_answer answer;
    client.send(call, [&](const http_answer& arrived) {
        answer = arrived;
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(answer.what, http_answer::result::not_sent);
}

// Reading a configuration of a megabyte over 10 Mbit/s takes longer than the silence after which a connection
// is considered lost. If the call were aborted and repeated each time, it would never complete, and callers
// would keep the old routes.
TEST_F(http_pair, a_large_response_may_take_longer_than_the_timeout) {
    constexpr int pieces = 6;
    serve({}, [this](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->begin_stream(200, {});
        for (int i = 1; i <= pieces; ++i) {
            loop.after(milliseconds(300) * i, [responder, i] {
                responder->write("piece");
                if (i == pieces) {
                    responder->end_stream();
                }
            });
        }
    });
    http_call call;
    call.timeout = milliseconds(1500);
    EXPECT_EQ(ask(call).what, http_answer::result::silent);
    call.is_large = true;
    const http_answer answer = ask(call);
    EXPECT_EQ(answer.what, http_answer::result::answered);
    EXPECT_EQ(answer.body.size(), pieces * std::string("piece").size());
}

TEST_F(http_pair, notices_the_disconnect_of_a_caller) {
    bool is_gone = false;
    serve({}, [&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->on_disconnect([&] {
            is_gone = true;
            loop.stop();
        });
    });
    http_call call;
    call.address = {"127.0.0.1", server->port()};
    const http_client::canceller cancel = client.send(call, [](const http_answer&) {});
    loop.after(milliseconds(50), cancel);
    loop.run();
    EXPECT_TRUE(is_gone);
}

/// \return how a call ends whose server sends \p begin and then 8 KiB again and again, at most 64 MiB.
http_answer::result call_to_endless_server(const std::string& begin) {
    namespace asio = boost::asio;
    event_loop loop;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread server([&] {
        constexpr std::size_t most = 64 << 20;
        boost::system::error_code failure;
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket, failure);
        asio::write(socket, asio::buffer(begin), failure);
        const std::string piece(8192, 'x');
        for (std::size_t sent = 0; sent < most && !failure; sent += piece.size()) {
            asio::write(socket, asio::buffer(piece), failure);
        }
    });
    http_client client(loop);
    http_call call;
    call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.is_large = true;
    http_answer::result ended = http_answer::result::answered;
    client.send(call, [&](const http_answer& answer) {
        ended = answer.what;
        loop.stop();
    });
    loop.run();
    server.join();
    return ended;
}

// A store, or another server, sends what is no response without end, and the process holds all of it.
TEST(http_client, a_response_without_end_fails) {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& begin :
         {chunked + "1;", chunked + "0\r\nA: ", std::string("HTTP/1.1 200 OK\r\nA: "),
          std::string("HTTP/1.1 200 OK\r\n\r\n")}) {
        EXPECT_EQ(call_to_endless_server(begin), http_answer::result::failed) << begin;
    }
}

// Guards against a host whose callers, or those who read its pages, leave it no descriptor for the endpoints
// that their requests need.
TEST(descriptor_shares, leave_a_connection_to_an_endpoint_for_each_request_and_some_for_the_host) {
    constexpr std::size_t pages = 4;
    for (const std::size_t limit : {256U, 1024U, 20000U, 1U << 20}) {
        const descriptor_shares shares = share_descriptors(limit);
        const std::size_t taken = 2 * (shares.callers + shares.peers) + pages * shares.page;
        EXPECT_LE(taken, limit - limit / 9) << limit;
        EXPECT_GE(shares.callers, limit / 4) << limit;
    }
    const descriptor_shares least = share_descriptors(1);
    EXPECT_GE(least.callers, 1U);
    EXPECT_GE(least.peers, 1U);
}

// Guards against receive buffers that take the host's memory together, in whatever order connections come and
// go.
TEST(receive_share, shares_above_the_least_one_add_up_to_no_more_than_the_total) {
    std::mt19937 random(82);
    for (const std::size_t total : {std::size_t{1} << 20, std::size_t{14} << 20, std::size_t{64} << 20}) {
        std::vector<std::size_t> open;
        for (int step = 0; step < 5000; ++step) {
            if (random() % 3 == 0 && !open.empty()) {
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(random() % open.size()));
                continue;
            }
            open.push_back(receive_share(total, open.size()));
            ASSERT_GE(open.back(), min_receive_bytes);
            ASSERT_LE(open.back(), max_receive_bytes);
            std::size_t above_least = 0;
            for (const std::size_t share : open) {
                above_least += share > min_receive_bytes ? share : 0;
            }
            ASSERT_LE(above_least, total) << "with " << open.size() << " open";
        }
    }
}

// Guards against a receive buffer that the system lets grow with the rate of its connection.
TEST(receive_share, what_is_not_read_of_a_connection_is_bounded) {
    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket sender(context);
    sender.connect(acceptor.local_endpoint());
    tcp::socket receiver = acceptor.accept();
    set_receive_buffer(receiver, min_receive_bytes);
    sender.non_blocking(true);
    const std::string piece(std::size_t{64} << 10, 'x');
    std::string read(piece.size(), ' ');
    boost::system::error_code failure;
    for (int i = 0; i < 2000; ++i) { // Read as fast as it comes, so that the buffer would grow.
        sender.write_some(asio::buffer(piece), failure);
        receiver.read_some(asio::buffer(read), failure);
    }
    for (int i = 0; i < 200; ++i) {
        while (sender.write_some(asio::buffer(piece), failure) > 0) {
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_LE(receiver.available(), min_receive_bytes);
}

// Guards against connections without a request that shut those out who ask for a page.
TEST_F(http_pair, closes_the_connection_that_waits_longest_for_one_more) {
    http_limits limits;
    limits.connections = 2;
    serve(limits, [&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->reply(200, {}, "{}");
    });
    namespace asio = boost::asio;
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> idle;
    for (std::size_t i = 0; i < limits.connections; ++i) {
        idle.emplace_back(context);
        idle.back().connect({asio::ip::make_address("127.0.0.1"), server->port()});
    }
    EXPECT_EQ(ask({}).what, http_answer::result::answered);
    boost::system::error_code failure;
    char byte = 0;
    idle.front().receive(asio::buffer(&byte, 1), 0, failure);
    EXPECT_EQ(failure, asio::error::eof);
    idle.back().non_blocking(true);
    idle.back().receive(asio::buffer(&byte, 1), 0, failure);
    EXPECT_EQ(failure, asio::error::would_block);
}

std::error_code failure_of(std::errc code) {
    return std::make_error_code(code);
}

// Guards against a process that runs out of memory, where its address space is limited, because servers state
// long responses and send nearly nothing of them.
TEST(http_client, a_stated_length_sets_no_memory_aside) {
    constexpr int calls = 16;
    event_loop loop;
    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    tcp::acceptor acceptor(loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    http_client client(loop);
    http_call call;
    call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.is_large = true;
    call.timeout = seconds(30);
    const std::int64_t before = address_space_bytes();
    std::vector<tcp::socket> served;
    int ended = 0;
    for (int i = 0; i < calls; ++i) {
        client.send(call, [&](const http_answer&) { ++ended; });
        served.push_back(acceptor.accept());
        asio::write(served.back(),
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\na")));
    }
    loop.after(milliseconds(300), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(ended, 0);
    EXPECT_LT(address_space_bytes() - before, std::int64_t{32} << 20);
}

// Guards against the same by requests.
TEST_F(http_pair, a_stated_length_of_a_request_sets_no_memory_aside) {
    http_limits limits;
    limits.body_bytes = std::size_t{1} << 30;
    serve(limits, [](const http_request&, const std::shared_ptr<http_responder>&) {});
    namespace asio = boost::asio;
    const std::int64_t before = address_space_bytes();
    std::vector<asio::ip::tcp::socket> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back(loop.context());
        callers.back().connect({asio::ip::make_address("127.0.0.1"), server->port()});
        asio::write(
            callers.back(),
            asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\na")));
    }
    loop.after(milliseconds(300), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(server->open_connections(), 4U);
    EXPECT_LT(address_space_bytes() - before, std::int64_t{64} << 20);
}

// Guards against a process that ends because another one, or the one before it, still uses its port.
TEST(listen_attempts, a_port_in_use_is_tried_again_without_end_and_logged_at_intervals) {
    for (const listen_need need : {listen_need::service, listen_need::observation}) {
        listen_attempts attempts(need);
        const time_point start = monotonic_now();
        int lines = 0;
        constexpr int tries = 4 * 60 * 60; // an hour
        for (int i = 0; i < tries; ++i) {
            const listen_reaction reaction =
                attempts.on_failed(failure_of(std::errc::address_in_use), start + i * listen_retry_interval);
            ASSERT_NE(reaction, listen_reaction::give_up);
            lines += reaction == listen_reaction::log_and_retry ? 1 : 0;
        }
        EXPECT_EQ(lines, tries * listen_retry_interval / listen_log_interval);
        EXPECT_EQ(attempts.on_succeeded(start + seconds(3600)), seconds(3600));
        EXPECT_EQ(attempts.on_succeeded(start + seconds(3601)), std::nullopt);
    }
}

// Guards against a host without a service that waits for an address that can never be its own, and against
// one that ends while its network interface still comes up.
TEST(listen_attempts, an_address_of_no_interface_ends_the_process_after_a_while_if_it_is_needed) {
    const std::error_code permanent = failure_of(std::errc::address_not_available);
    const time_point start = monotonic_now();
    listen_attempts needed(listen_need::service);
    EXPECT_EQ(needed.on_failed(permanent, start), listen_reaction::log_and_retry);
    EXPECT_NE(needed.on_failed(permanent, start + permanent_failure_timeout - milliseconds(1)),
              listen_reaction::give_up);
    EXPECT_EQ(needed.on_failed(permanent, start + permanent_failure_timeout), listen_reaction::give_up);
    listen_attempts observed(listen_need::observation);
    EXPECT_EQ(observed.on_failed(permanent, start), listen_reaction::log_and_retry);
    EXPECT_NE(observed.on_failed(permanent, start + 2 * permanent_failure_timeout), listen_reaction::give_up);
}

// Guards against an interface that is up at last and whose port is then still in use for a moment.
TEST(listen_attempts, a_reason_that_passes_ends_the_count_of_one_that_does_not) {
    const std::error_code permanent = failure_of(std::errc::address_not_available);
    const time_point start = monotonic_now();
    listen_attempts attempts(listen_need::service);
    attempts.on_failed(permanent, start);
    attempts.on_failed(failure_of(std::errc::too_many_files_open), start + permanent_failure_timeout);
    EXPECT_NE(attempts.on_failed(permanent, start + permanent_failure_timeout + seconds(1)),
              listen_reaction::give_up);
}

TEST(link, carries_messages_both_ways_and_reports_the_close) {
    event_loop loop;
    // link_server cannot report a port chosen by the system, so a port that was just free is used.
    boost::asio::ip::tcp::acceptor probe(loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t port = probe.local_endpoint().port();
    probe.close();
    std::vector<std::string> heard;
    link_server* serving = nullptr;
    link_server server(loop, listen_target{"--listen", {"127.0.0.1", port}},
                       {[](link_id) {},
                        [&](link_id link, const std::string& message) {
                            heard.push_back("server:" + message);
                            serving->send(link, "pong");
                        },
                        [&](link_id) {
                            heard.emplace_back("server:closed");
                            loop.stop();
                        }});
    serving = &server;
    link_client* calling = nullptr;
    link_client client(loop, {[&](link_id link) { calling->send(link, "ping"); },
                              [&](link_id link, const std::string& message) {
                                  heard.push_back("client:" + message);
                                  calling->close(link);
                              },
                              [](link_id) {}});
    calling = &client;
    client.connect("127.0.0.1:" + std::to_string(port));
    loop.after(seconds(20), [&loop] { loop.stop(); });
    loop.run();
    EXPECT_EQ(heard, (std::vector<std::string>{"server:ping", "client:pong", "server:closed"}));
}

} // namespace laurelhoist
