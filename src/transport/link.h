/** \file
 * Defines the links between the processes of this project: binary WebSocket messages (websocketpp). Each link
 * is pinged, so that a connection that no longer delivers anything is closed after \ref link_idle_timeout.
 */
#pragma once

#include "transport/event_loop.h"
#include "transport/listen_attempts.h"

namespace laurelhoist {

/** Identifies a connection within its \ref link_server or \ref link_client; never reused. */
using link_id = std::uint64_t;

/** A device on the network path may drop its state of a connection. Sends then succeed, nothing arrives, and
 * no error is ever reported. Pings are sent every second; if neither a pong nor a message arrives for this
 * long, the connection is closed and on_close is called, so that the owner can connect again. */
constexpr duration link_idle_timeout = seconds(3);

struct link_handlers {
    std::function<void(link_id)> on_open;
    std::function<void(link_id, const std::string&)> on_message;
    std::function<void(link_id)> on_close;
};

/** Accepts links at an address, as soon as it can listen there (\ref tcp_listener). */
class link_server {
public:
    link_server(event_loop& loop, const listen_target& target, link_handlers handlers);
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;
    void send(link_id link, const std::string& message);
    void close(link_id link);
    std::uint64_t bytes_sent() const;
    bool is_listening() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/** Opens links. */
class link_client {
public:
    link_client(event_loop& loop, link_handlers handlers);
    ~link_client();
    link_client(const link_client&) = delete;
    link_client& operator=(const link_client&) = delete;
    /** Starts connecting; on_open or on_close follows. \return 0 if \p address is invalid, and then no
     * handler is called */
    link_id connect(const std::string& address);
    void send(link_id link, const std::string& message);
    void close(link_id link);
    std::uint64_t bytes_sent() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace laurelhoist
