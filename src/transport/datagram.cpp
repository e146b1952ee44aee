#include "transport/datagram.h"

#include "base/line_limiter.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace laurelhoist {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

constexpr std::size_t max_datagram_bytes = 64 << 10;

} // namespace

struct datagram_socket::state : std::enable_shared_from_this<state> {
    state(asio::io_context& context, handler received) : socket{context}, on_received{std::move(received)} {}

    std::error_code open(const socket_address& address) {
        boost::system::error_code failure;
        const udp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        socket.open(endpoint.protocol(), failure);
        if (!failure) {
            socket.bind(endpoint, failure);
        }
        if (!failure) {
            socket.non_blocking(true, failure);
        }
        if (failure) {
            // A socket that is open and not bound would send from any free port.
            boost::system::error_code ignored;
            socket.close(ignored);
            return failure;
        }
        receive();
        return {};
    }

    void receive() {
        socket.async_receive_from(
            asio::buffer(incoming), sender,
            [self = shared_from_this()](boost::system::error_code failure, std::size_t bytes) {
                if (failure == asio::error::operation_aborted) {
                    return;
                }
                if (!failure) {
                    self->deliver(bytes);
                }
                self->receive();
            });
    }

    // One message that cannot be handled must not end the receiving of all others.
    void deliver(std::size_t bytes) {
        const std::string from = sender.address().to_string() + ":" + std::to_string(sender.port());
        try {
            on_received(from, {incoming.data(), bytes});
        } catch (const std::exception& failure) {
            if (const auto left_out = failed_lines.admit(monotonic_now())) {
                log_error("datagram_handler_failed",
                          {{"from", from}, {"what", failure.what()}, {"left_out", *left_out}});
            }
        }
    }

    udp::socket socket;
    handler on_received;
    std::array<char, max_datagram_bytes> incoming{};
    udp::endpoint sender;
    std::uint64_t sent = 0;
    line_limiter failed_lines; ///< about messages that could not be handled
};

datagram_socket::datagram_socket(event_loop& loop, const listen_target& target, handler on_received)
    : state_{std::make_shared<state>(loop.context(), std::move(on_received))},
      opener_{std::make_unique<address_opener>(
          loop, target, [bound = state_.get(), address = target.address] { return bound->open(address); })} {}

datagram_socket::~datagram_socket() {
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

bool datagram_socket::is_bound() const {
    return opener_->is_open();
}

void datagram_socket::send(const std::string& address, const std::string& bytes) {
    const outcome<socket_address> parsed = parse_address(address);
    const socket_address* target = value_of(parsed);
    if (target == nullptr) {
        return;
    }
    boost::system::error_code dropped; // Datagrams may be lost in transit too, so none is relied on.
    state_->socket.send_to(asio::buffer(bytes), {asio::ip::make_address(target->host), target->port}, 0,
                           dropped);
    state_->sent += dropped ? 0 : bytes.size();
}

std::uint64_t datagram_socket::bytes_sent() const {
    return state_->sent;
}

} // namespace laurelhoist
