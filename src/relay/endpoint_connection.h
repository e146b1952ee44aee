/** \file
 * Defines a connection to an endpoint, and the pool of those that are idle.
 */
#pragma once

#include "transport/event_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace laurelhoist {

/** How a connection came to its end. */
enum class connection_end {
    finished, ///< closed in order by the other side
    broken,   ///< reset, or timed out by the network
};

/** Why no connection came about. */
enum class connect_failure {
    refused,     ///< nothing listens there: the endpoint's process has ended
    unreachable, ///< anything else; the fault may lie on the way
};

/** What happens on a connection; the one who uses it. */
class connection_observer {
public:
    connection_observer() = default;
    connection_observer(const connection_observer&) = delete;
    connection_observer& operator=(const connection_observer&) = delete;
    virtual ~connection_observer() = default;

    virtual void on_connected() = 0;
    /** No connection came about: nothing can have reached the endpoint. */
    virtual void on_connect_failed(connect_failure why) = 0;
    virtual void on_received(std::string_view bytes) = 0;
    virtual void on_closed(connection_end end) = 0;
};

class endpoint_connection : public std::enable_shared_from_this<endpoint_connection> {
public:
    endpoint_connection(boost::asio::io_context& context, std::string address);

    void connect(connection_observer& observer);
    /** Sets who is told; null for an idle connection, which closes itself at any byte or end. */
    void set_observer(connection_observer* observer) { observer_ = observer; }
    void send(std::string bytes);
    /** Closes at once; the observer is not told. */
    void close();

    const std::string& address() const { return address_; }
    bool is_open() const { return is_connected_ && socket_.is_open(); }
    bool has_unsent() const { return !outgoing_.empty(); }

    time_point idle_until; ///< when the pool drops it

private:
    void start_read();
    void start_write();
    void close_and_notify(connection_end reason);

    boost::asio::ip::tcp::socket socket_;
    std::string address_;
    connection_observer* observer_ = nullptr;
    std::array<char, 8192> incoming_{}; ///< holds about a hundred events; larger gains nothing
    std::deque<std::string> outgoing_;
    bool is_connected_ = false;
};

/** Connections that wait for their next request, by address. */
class connection_pool {
public:
    explicit connection_pool(boost::asio::io_context& context) : context_{context} {}

    /** \return the idle connection to \p address used last, or null. */
    std::shared_ptr<endpoint_connection> take_idle(const std::string& address, time_point now);
    /** \return a new one, not yet connected. */
    std::shared_ptr<endpoint_connection> make(const std::string& address);
    /** Keeps \p connection until \p until. */
    void keep(std::shared_ptr<endpoint_connection> connection, time_point until);
    /** Drops all to \p address: the process that held their other end has gone. */
    void drop(const std::string& address);
    /** Drops those whose time is up; to be called a few times a second. */
    void expire(time_point now);

private:
    boost::asio::io_context& context_;
    std::unordered_map<std::string, std::deque<std::shared_ptr<endpoint_connection>>> idle_;
};

} // namespace laurelhoist
