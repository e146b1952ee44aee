/** \file
 * Defines the links between our own processes: binary WebSocket messages (websocketpp), probed so that a
 * connection that has gone silent is noticed within \ref link_idle_timeout and made anew.
 */
#pragma once

#include "transport/event_loop.h"

namespace laurelhoist {

/** Names one connection within a process; never used again. */
using link_id = std::uint64_t;

/** Something between the two ends may lose track of a connection, and then no error ever comes: sends
 * succeed, nothing arrives. Pings are sent every second; without any sign of life for this long the
 * connection is closed and the owner connects again. */
constexpr duration link_idle_timeout = seconds(3);

struct link_handlers {
    std::function<void(link_id)> on_open;
    std::function<void(link_id, const std::string&)> on_message;
    std::function<void(link_id)> on_close;
};

/** Accepts links. */
class link_server {
public:
    link_server(event_loop& loop, const socket_address& address, link_handlers handlers);
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;
    void send(link_id link, const std::string& message);
    void close(link_id link);
    std::uint64_t bytes_sent() const;

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
    /** Begins to connect; on_open or on_close follows. */
    link_id connect(const std::string& address);
    void send(link_id link, const std::string& message);
    void close(link_id link);
    std::uint64_t bytes_sent() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace laurelhoist
