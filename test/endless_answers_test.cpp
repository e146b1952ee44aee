// Endpoints that send what is no answer, or an answer that does not end.
#include "relay_fixture.h"

#include <sys/resource.h>

namespace laurelhoist {
namespace {

/** An endpoint that answers each request with some bytes, and with others again and again until the caller
 * closes, at most 64 MiB. */
class endless_endpoint {
public:
    endless_endpoint(std::string begin, std::string piece)
        : acceptor_{context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)},
          begin_{std::move(begin)},
          piece_{std::move(piece)},
          thread_{[this] { serve(); }} {}
    ~endless_endpoint() {
        stops_ = true;
        boost::system::error_code ignored;
        tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    endless_endpoint(const endless_endpoint&) = delete;
    endless_endpoint& operator=(const endless_endpoint&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::size_t sent_bytes() const { return sent_bytes_; }

private:
    void serve() {
        constexpr std::size_t most = 64 << 20;
        while (!stops_) {
            boost::system::error_code failure;
            tcp::socket socket(context_);
            acceptor_.accept(socket, failure);
            std::string request;
            if (stops_ || failure) {
                return;
            }
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", failure);
            std::size_t sent = asio::write(socket, asio::buffer(begin_), failure);
            while (!failure && sent < most) {
                sent += asio::write(socket, asio::buffer(piece_), failure);
            }
            sent_bytes_ += sent;
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string begin_;
    std::string piece_;
    std::atomic<bool> stops_{false};
    std::atomic<std::size_t> sent_bytes_{0};
    std::thread thread_;
};

const std::string piece(std::size_t{32} << 10, 'x');
const std::string head = "HTTP/1.1 200 OK\r\nReceipt: 1\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";

long peak_memory_kb() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

/// What an endpoint sends, and again and again after it.
struct endless_case {
    const char* name;
    std::string begin;
    std::string again;
};

std::vector<endless_case> endless_cases() {
    return {{"body_without_length", head + "\r\n", piece},
            {"body_with_length", head + "Content-Length: 9999999999\r\n\r\n", piece},
            {"chunked_body", chunked_head, "8000\r\n" + piece + "\r\n"},
            {"chunk_extension", chunked_head + "1;", piece},
            {"trailer_field", chunked_head + "0\r\nA: ", piece},
            {"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"header_field", head + "A: ", piece},
            {"answer_to_another_request", "HTTP/1.1 200 OK\r\nId: other\r\nReceipt: 1\r\n\r\n", piece}};
}

class endless_answers : public relay_fixture {
protected:
    endless_answers() { max_answer_bytes_ = std::size_t{1} << 20; }
};

class endless_answers_of_each_kind : public endless_answers,
                                     public ::testing::WithParamInterface<endless_case> {
protected:
    static void SetUpTestSuite() { peak_before_kb = peak_memory_kb(); }
    /** \return by how much the tests of this suite have raised the peak memory of the process, in KB. */
    static long added_peak_kb() { return peak_memory_kb() - peak_before_kb; }

private:
    static inline long peak_before_kb = 0;
};

INSTANTIATE_TEST_SUITE_P(all, endless_answers_of_each_kind, ::testing::ValuesIn(endless_cases()),
                         [](const auto& each) { return std::string(each.param.name); });

// An endpoint does not end its answer, and the host that waits for it runs out of memory. The caller has to
// learn that the request may have run.
TEST_P(endless_answers_of_each_kind, a_request_that_may_not_be_repeated_fails_as_possibly_run) {
    endless_endpoint endpoint(GetParam().begin, GetParam().again);
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    EXPECT_TRUE(contains(send_request("7"), "502")) << "not a status that promises it has not run";
    constexpr long most_kb = 16 << 10;
    EXPECT_LE(added_peak_kb(), most_kb);
}

// One endpoint does not end its answers, and requests that may be repeated fail although another endpoint is
// sound.
TEST_P(endless_answers_of_each_kind, a_request_that_may_be_repeated_is_served_elsewhere) {
    endless_endpoint endpoint(GetParam().begin, GetParam().again);
    scripted_endpoint sound({{answer_of("7", "served"), false, false}});
    start_relay(route(route_kind::idempotent, 2), {endpoint.address(), sound.address()});
    EXPECT_TRUE(contains(send_request("7"), "served"));
}

// An event of a stream does not end, and the host holds all of it.
TEST_F(endless_answers, a_stream_whose_event_does_not_end_is_cut) {
    const std::string stream = head + "Content-Type: text/event-stream\r\n\r\n";
    endless_endpoint endpoint(stream + event(1) + "id: 2\ndata: ", piece);
    start_relay(route(route_kind::stream, 1), {endpoint.address()});
    const std::string received = send_request("7");
    EXPECT_FALSE(contains(received, "0\r\n\r\n")) << "a stream that breaks off must not look complete";
    EXPECT_LE(endpoint.sent_bytes(), std::size_t{16} << 20);
}

// A success without its endpoint's receipt can be given to no caller, and the host reads on to its end.
TEST_F(endless_answers, an_answer_without_a_receipt_is_not_read_beyond_its_head) {
    endless_endpoint endpoint("HTTP/1.1 200 OK\r\n\r\n", piece);
    max_answer_bytes_ = std::size_t{48} << 20;
    start_relay(route(route_kind::idempotent, 1), {endpoint.address()});
    EXPECT_TRUE(contains(send_request("7"), "502"));
    constexpr std::size_t most_in_the_network = std::size_t{16} << 20;
    EXPECT_LE(endpoint.sent_bytes(), most_in_the_network);
}

// The bound on answers refuses a sound one.
TEST_F(endless_answers, an_answer_below_the_bound_is_served) {
    const std::string body(std::size_t{900} << 10, 'y');
    scripted_endpoint sound({{answer_of("7", body), false, false}});
    start_relay(route(route_kind::non_idempotent, 1), {sound.address()});
    EXPECT_TRUE(contains(send_request("7"), body));
}

} // namespace
} // namespace laurelhoist
