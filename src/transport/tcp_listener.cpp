#include "transport/tcp_listener.h"

#include "base/line_limiter.h"

#include <boost/asio/io_context.hpp>

namespace laurelhoist {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Pause after a connection could not be accepted. The connection waits in the queue, so that the
/// next attempt would fail at once, until a descriptor or a buffer is free.
constexpr duration accept_pause = milliseconds(50);

} // namespace

struct tcp_listener::state : std::enable_shared_from_this<state> {
    state(event_loop& its_loop, listen_target its_target, events its_events)
        : loop{its_loop},
          acceptor{its_loop.context()},
          target{std::move(its_target)},
          what{std::move(its_events)} {}

    std::error_code open() {
        boost::system::error_code failure;
        const tcp::endpoint endpoint(asio::ip::make_address(target.address.host), target.address.port);
        acceptor.open(endpoint.protocol(), failure);
        if (!failure) {
            acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        }
        if (!failure) {
            acceptor.bind(endpoint, failure);
        }
        if (!failure) {
            acceptor.listen(asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            boost::system::error_code ignored;
            acceptor.close(ignored);
            return failure;
        }
        accept_next();
        return {};
    }

    void accept_next() {
        if (what.has_room && !what.has_room()) {
            on_failed("as many connections are open and in use as may be");
            return;
        }
        acceptor.async_accept(
            [self = shared_from_this()](boost::system::error_code failure, tcp::socket socket) {
                if (failure == asio::error::operation_aborted || !self->acceptor.is_open()) {
                    return;
                }
                if (failure) {
                    self->on_failed(failure.message());
                    return;
                }
                self->accept_next(); // First, as an exception would otherwise end the accepting.
                self->what.on_accepted(std::move(socket));
            });
    }

    void on_failed(const std::string& reason) {
        // First, as an exception would otherwise end the accepting.
        loop.after(accept_pause, [self = shared_from_this()] {
            if (self->acceptor.is_open()) {
                self->accept_next();
            }
        });
        ++failures;
        if (lines.admit(monotonic_now())) {
            log_warning("accept_failed",
                        {{"setting", target.setting},
                         {"reason", reason},
                         {"failures", failures},
                         {"remedy", "raise the limit of descriptors, or have callers close connections that "
                                    "they do not use"}});
        }
        if (what.on_failure) {
            what.on_failure();
        }
    }

    event_loop& loop;
    tcp::acceptor acceptor;
    listen_target target;
    events what;
    std::uint64_t failures = 0; ///< to accept, since the start
    line_limiter lines;
};

tcp_listener::tcp_listener(event_loop& loop, const listen_target& target, events what)
    : state_{std::make_shared<state>(loop, target, std::move(what))},
      opener_{std::make_unique<address_opener>(loop, target,
                                               [opened = state_.get()] { return opened->open(); })} {}

tcp_listener::~tcp_listener() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
}

bool tcp_listener::is_listening() const {
    return opener_->is_open();
}

std::uint16_t tcp_listener::port() const {
    boost::system::error_code failure;
    const tcp::endpoint endpoint = state_->acceptor.local_endpoint(failure);
    return failure ? 0 : endpoint.port();
}

} // namespace laurelhoist
