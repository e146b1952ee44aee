/** \file
 * Defines a connection to an endpoint and the pool of idle connections.
 */
#pragma once

#include "transport/byte_account.h"
#include "transport/event_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace laurelhoist {

/** How a connection ended. */
enum class connection_end {
    finished, ///< closed by the endpoint with an orderly end of stream
    broken,   ///< reset, or timed out in the network
};

/** Why a connection could not be made. */
enum class connect_failure {
    refused,      ///< nothing listens at the address: the endpoint's process has ended
    unreachable,  ///< any other failure; the cause may be in the network
    own_shortage, ///< this host has no descriptor, buffer or port left, which says nothing about the endpoint
};

/** Receives the events of a connection; implemented by its user. */
class connection_observer {
public:
    connection_observer() = default;
    connection_observer(const connection_observer&) = delete;
    connection_observer& operator=(const connection_observer&) = delete;
    virtual ~connection_observer() = default;

    virtual void on_connected() = 0;
    /** The connection could not be made, so nothing has reached the endpoint. */
    virtual void on_connect_failed(connect_failure why) = 0;
    virtual void on_received(std::string_view bytes) = 0;
    virtual void on_closed(connection_end end) = 0;
};

/** A TCP connection to an endpoint. */
class endpoint_connection : public std::enable_shared_from_this<endpoint_connection> {
public:
    /** \param unsent_bytes counts what has been given to \ref send and not been written yet
     * \param receive_bytes size of the receive buffer \param receive_buffers counts it until the connection
     * is closed */
    endpoint_connection(boost::asio::io_context& context, std::string address, byte_account unsent_bytes,
                        std::size_t receive_bytes, byte_account receive_buffers);

    void connect(connection_observer& observer);
    /** Sets the observer. Null means that the connection is idle: it then closes on any received byte and on
     * its end. */
    void set_observer(connection_observer* observer) { observer_ = observer; }
    void send(std::string bytes);
    /** Stops reading after the bytes that are being delivered, so that the endpoint is slowed down by the
     * network's flow control. The end of the connection goes unnoticed meanwhile. */
    void pause_reading() { is_reading_paused_ = true; }
    void resume_reading();
    bool is_reading_paused() const { return is_reading_paused_; }
    /** Stops reading like \ref pause_reading, whether or not that is in force. */
    void defer_reading() { is_reading_deferred_ = true; }
    void resume_deferred_reading();
    bool is_reading_deferred() const { return is_reading_deferred_; }
    /** Closes at once without notifying the observer. */
    void close();

    const std::string& address() const { return address_; }
    bool is_open() const { return is_connected_ && socket_.is_open(); }
    bool has_unsent() const { return !outgoing_.empty(); }
    /** \return the bytes that have arrived and have not been read. Costs a system call. */
    std::size_t unread_bytes() const;

    time_point idle_until; ///< when the pool closes an idle connection

private:
    bool may_read() const { return !is_reading_ && !is_reading_paused_ && !is_reading_deferred_; }
    void start_read();
    void start_write();
    void close_and_notify(connection_end reason);

    boost::asio::ip::tcp::socket socket_;
    std::string address_;
    connection_observer* observer_ = nullptr;
    std::array<char, 8192> incoming_{}; ///< fits about a hundred events; a larger buffer gains nothing
    std::deque<std::string> outgoing_;
    byte_hold unsent_;  ///< bytes in \ref outgoing_
    byte_hold receive_; ///< size of the receive buffer
    bool is_connected_ = false;
    bool has_write_failed_ = false;
    bool is_reading_ = false; ///< a read is in progress
    bool is_reading_paused_ = false;
    bool is_reading_deferred_ = false;
};

/** Makes connections to endpoints, and keeps idle ones by address. */
class connection_pool {
public:
    /** \param receive_bytes of the receive buffers of all connections, see \ref receive_share */
    connection_pool(boost::asio::io_context& context, std::size_t receive_bytes)
        : context_{context}, receive_bytes_{receive_bytes} {}

    /** \return the most recently used idle connection to \p address, or null. */
    std::shared_ptr<endpoint_connection> take_idle(const std::string& address, time_point now);
    /** \return a new connection that has not been connected yet. */
    std::shared_ptr<endpoint_connection> make(const std::string& address);
    /** Keeps \p connection for reuse until \p until, or closes it if enough idle ones are kept. */
    void keep(std::shared_ptr<endpoint_connection> connection, time_point until);
    /** Closes all idle connections to \p address, as the process at their other end is gone. */
    void drop(const std::string& address);
    /** Closes connections that have been idle too long; to be called a few times a second. */
    void expire(time_point now);

    /** \return the bytes of requests that wait for endpoints to read. */
    std::size_t unsent_bytes() const { return unsent_bytes_.held(); }

private:
    boost::asio::io_context& context_;
    std::size_t receive_bytes_;
    byte_account unsent_bytes_;
    byte_account receive_buffers_; ///< of open connections
    std::unordered_map<std::string, std::deque<std::shared_ptr<endpoint_connection>>> idle_;
};

} // namespace laurelhoist
