/** \file
 * Defines how TCP connections are accepted at an address.
 */
#pragma once

#include "transport/address_opener.h"

#include <boost/asio/ip/tcp.hpp>

namespace laurelhoist {

/** Accepts connections at an address, as soon as it can listen there (\ref address_opener). */
class tcp_listener {
public:
    /** What to do with connections. */
    struct events {
        std::function<void(boost::asio::ip::tcp::socket)> on_accepted;
        /// Called when the system could not hand over a connection; may be empty.
        std::function<void()> on_failure;
        /// Asked before each connection is accepted; while it returns false, connections wait in the queue of
        /// the system. May be empty.
        std::function<bool()> has_room = {};
    };

    /** Begins to listen at \p target. Port 0 stands for any free port. */
    tcp_listener(event_loop& loop, const listen_target& target, events what);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    bool is_listening() const;
    /** \return the port listened on; 0 while it does not listen. */
    std::uint16_t port() const;

private:
    struct state;
    std::shared_ptr<state> state_;
    std::unique_ptr<address_opener> opener_;
};

} // namespace laurelhoist
