// Endpoints that answer before they have read a long request, and answers whose status is none.
#include "relay_fixture.h"

namespace laurelhoist {
namespace {

/** Answers each request once its head has arrived, and then ends the connection while the rest of the request
 * is still being written. */
class hasty_endpoint {
public:
    enum class ending {
        reset,
        close_unread, ///< which resets the connection, as there are bytes that it has not read
    };

    hasty_endpoint(std::string answer, ending how)
        : answer_{std::move(answer)}, how_{how}, acceptor_{context_} {
        constexpr int small_buffer = 16 << 10;
        acceptor_.open(tcp::v4());
        acceptor_.set_option(asio::socket_base::receive_buffer_size(small_buffer));
        acceptor_.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        acceptor_.listen();
        thread_ = std::thread([this] { serve(); });
    }
    ~hasty_endpoint() {
        stops_ = true;
        boost::system::error_code ignored;
        tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    hasty_endpoint(const hasty_endpoint&) = delete;
    hasty_endpoint& operator=(const hasty_endpoint&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    int requests() const { return requests_; }

private:
    void serve() {
        while (!stops_) {
            boost::system::error_code failure;
            tcp::socket socket(context_);
            acceptor_.accept(socket, failure);
            std::string request;
            if (stops_ || failure) {
                return;
            }
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", failure);
            ++requests_;
            asio::write(socket, asio::buffer(answer_), failure);
            std::this_thread::sleep_for(milliseconds(50)); // The answer is read before the connection ends.
            if (how_ == ending::reset) {
                socket.set_option(asio::socket_base::linger(true, 0), failure);
            }
            socket.close(failure);
        }
    }

    std::string answer_;
    ending how_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stops_{false};
    std::atomic<int> requests_{0};
    std::thread thread_;
};

const std::string part_without_length = "HTTP/1.1 200 OK\r\nId: 7\r\nReceipt: r\r\n\r\na part of the";

class early_answers : public relay_fixture, public ::testing::WithParamInterface<hasty_endpoint::ending> {
protected:
    early_answers() {
        body_limit_bytes_ = 2 * long_body.size();
        request_buffer_bytes_ = 4 * long_body.size();
    }
    const std::string long_body = std::string(std::size_t{12} << 20, 'b');
};

INSTANTIATE_TEST_SUITE_P(all, early_answers,
                         ::testing::Values(hasty_endpoint::ending::reset,
                                           hasty_endpoint::ending::close_unread));

// A part of an answer without a length is taken for a whole one, as the failed write of the upload has
// consumed the error of the connection, and its end looks orderly.
TEST_P(early_answers, one_that_is_reset_during_the_upload_is_not_whole) {
    hasty_endpoint endpoint(part_without_length, GetParam());
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    const std::string received = send_request("7", "", long_body);
    EXPECT_TRUE(contains(received, "HTTP/1.1 502")) << received.substr(0, 300);
    EXPECT_FALSE(contains(received, "a part of the"));
}

// The same for a request that another endpoint can serve.
TEST_P(early_answers, one_that_is_reset_during_the_upload_is_replaced) {
    hasty_endpoint endpoint(part_without_length, GetParam());
    constexpr int most = 20; // Either endpoint may be chosen first.
    scripted_endpoint sound(std::vector<scripted_answer>(most, {answer_of("7", "served"), false, false}));
    start_relay(route(route_kind::idempotent, 2), {endpoint.address(), sound.address()});
    for (int i = 0; i < most && endpoint.requests() == 0; ++i) {
        const std::string received = send_request("7", "", long_body);
        EXPECT_TRUE(contains(received, "served")) << received.substr(0, 300);
    }
    EXPECT_GT(endpoint.requests(), 0);
}

class status_out_of_range : public relay_fixture, public ::testing::WithParamInterface<const char*> {
protected:
    std::string answer() const {
        return std::string("HTTP/1.1 ") + GetParam() +
               " X\r\nId: 7\r\nReceipt: r\r\nContent-Length: 4\r\n\r\nbody";
    }
};

INSTANTIATE_TEST_SUITE_P(all, status_out_of_range, ::testing::Values("000", "001", "099", "600", "999"));

// A caller gets an answer whose status is none.
TEST_P(status_out_of_range, is_no_answer) {
    scripted_endpoint endpoint({{answer(), false, false}});
    start_relay(route(route_kind::non_idempotent, 1), {endpoint.address()});
    const std::string received = send_request("7");
    EXPECT_TRUE(contains(received, "HTTP/1.1 502")) << received;
}

TEST_P(status_out_of_range, is_replaced_by_another_answer) {
    scripted_endpoint endpoint({{answer(), false, false}, {answer_of("7", "served"), false, false}});
    start_relay(route(route_kind::idempotent, 2), {endpoint.address()});
    const std::string received = send_request("7");
    EXPECT_TRUE(contains(received, "served")) << received;
}

} // namespace
} // namespace laurelhoist
