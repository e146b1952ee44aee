/** \file
 * Defines a caller's connection: it reads one request after another within the limits of the configuration,
 * and notices at once that the caller has left.
 */
#pragma once

#include "relay/http_codec.h"
#include "traffic/traffic.h"
#include "transport/event_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>

namespace laurelhoist {

class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    struct handlers {
        /// A request has been read whole; it is answered through the connection.
        std::function<void(const std::shared_ptr<caller_connection>&, caller_request&&)> on_request;
        /// Bytes that are no acceptable request were answered with \c status.
        std::function<void(int status)> on_rejected;
        std::function<void(const std::shared_ptr<caller_connection>&)> on_closed;
    };

    caller_connection(boost::asio::ip::tcp::socket socket, const caller_limits& limits,
                      const handlers& events);

    void start();
    /** Sets what to do when the caller leaves before its answer is complete. */
    void on_caller_gone(std::function<void()> work) { on_gone_ = std::move(work); }
    /** Adds \p bytes to the answer; bytes of one turn of the loop leave in one write. */
    void write(std::string_view bytes);
    /** Ends the answer. \param keeps_alive whether the caller may send another request */
    void finish(bool keeps_alive);
    /** Closes at once, so that a begun answer cannot be taken for whole. */
    void abort();
    /** Closes if it is idle too long, or a request takes too long to arrive. */
    void check_timeouts(time_point now);
    /** Closes if no request is on its way. \return whether it has closed */
    bool close_if_idle();

    /** \return whether the caller has closed the connection, also if this has not been read yet. Costs a
     * system call. */
    bool has_disconnected();
    bool is_serving() const { return is_serving_; }
    std::size_t unsent_bytes() const { return outgoing_.size() + in_flight_.size(); }

private:
    void start_read();
    void on_read(std::size_t bytes);
    void read_requests();
    void reject(int status, const std::string& remedy);
    void flush();
    void on_written(bool has_failed);
    void close();

    boost::asio::ip::tcp::socket socket_;
    caller_limits limits_;
    const handlers& events_;
    request_reader reader_;
    std::array<char, 8192> incoming_{}; ///< most requests arrive in two reads
    std::string outgoing_;
    std::string in_flight_;
    std::function<void()> on_gone_;
    time_point timeout_start_;
    bool is_serving_ = false;
    bool is_flushing_ = false;
    bool is_flush_posted_ = false;
    bool is_closing_ = false;
    bool is_closed_ = false;
};

} // namespace laurelhoist
