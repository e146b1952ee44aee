/** \file
 * Defines a caller's connection, which reads one request after another within the configured limits and
 * reports at once when the caller disconnects.
 */
#pragma once

#include "relay/byte_blocks.h"
#include "relay/http_codec.h"
#include "traffic/traffic.h"
#include "transport/byte_account.h"
#include "transport/event_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <optional>

namespace laurelhoist {

/** Who sends the requests of a connection. */
enum class request_source {
    caller,
    peer, ///< another host, which forwards its callers' requests
};

/** A connection from a caller. It serves one request at a time. */
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    struct handlers {
        /// Called with each complete request; the answer is written to the connection.
        std::function<void(const std::shared_ptr<caller_connection>&, caller_request&&)> on_request;
        /// Called when the connection itself answers an invalid, oversized or slow request.
        std::function<void(int status)> on_rejected;
        /// Called when the connection itself refuses a request of which \p own_bytes are held, as the host
        /// has no room for more.
        std::function<void(std::size_t own_bytes)> on_no_room;
        /// Called before the connection is reset because the caller does not read its answer.
        std::function<void(std::size_t unsent_bytes)> on_unread;
        /// Tells what is held of all requests. Where there is no room for a body, it is dropped and the
        /// request is passed on without it (\ref caller_request::is_body_dropped); where there is none for
        /// a head, the request is refused.
        std::function<request_buffer()> requests_held;
        /// Counts what is held of answers until the network accepts it.
        byte_account unsent_bytes;
        /// Called once, when the connection has closed.
        std::function<void(const std::shared_ptr<caller_connection>&)> on_closed;
    };

    caller_connection(boost::asio::ip::tcp::socket socket, const caller_limits& limits,
                      const handlers& events, byte_account request_bytes,
                      request_source source = request_source::caller);

    void start();
    /** Sets the callback for a caller that disconnects before its answer is complete. */
    void on_caller_gone(std::function<void()> work) { on_gone_ = std::move(work); }
    /** Sets the callback for each time that the network has accepted a part of the answer. */
    void on_sent(std::function<void()> work) { on_sent_ = std::move(work); }
    /** Adds \p bytes to the answer; those of one iteration of the event loop are sent in one write. */
    void write(std::string_view bytes);
    /** The same for bytes that are moved, so that a long answer is not held twice. */
    void write(byte_blocks&& bytes);
    /** Ends the answer. \param keeps_alive whether the caller may send another request */
    void finish(bool keeps_alive);
    /** Resets the connection at once, so that the caller cannot take a partial answer for a complete one. */
    void abort();
    /** Closes the connection if it is idle too long or its caller does not read; answers 408 if a request
     * takes too long to arrive. To be called every \ref check_interval. */
    void check_timeouts(time_point now);
    static constexpr duration check_interval = milliseconds(250);
    /** Closes the connection unless a request is being received, has arrived unread or is served, a part of
     * an answer is unsent, which the kernel is told to take, or the connection has been idle only briefly: a
     * new one whose request is on its way. For a process that is about to end. \return whether it was closed
     */
    bool close_if_idle(time_point now);

    /** \return since when the connection is idle; nothing while a request is being received or served, or a
     * part of an answer is unsent. */
    std::optional<time_point> idle_since() const;
    /** Closes the connection, so that its descriptor is free, if it is idle and nothing has arrived on it.
     * \return whether it did */
    bool close_if_unused();

    /** \return whether the caller has closed the connection, even if the event loop has not read the end of
     * stream yet. Costs a system call. */
    bool has_disconnected();
    bool is_from_peer() const { return source_ == request_source::peer; }
    bool is_serving() const { return is_serving_; }
    /** \return the bytes that have arrived and have not been read. Costs a system call. */
    std::size_t unread_bytes() const;
    std::size_t unsent_bytes() const { return outgoing_.size() + in_flight_.size(); }

private:
    void start_read();
    void on_read(std::size_t bytes);
    void read_requests();
    /** Reads the request that follows an answer, once little of the answers is unsent. */
    void read_next_request();
    /** Updates the count of received bytes; drops the body of the present request if there is no room.
     * \return whether there is room for what is held then */
    bool bound_received();
    /** \return whether so much of later requests has arrived that the rest is left in the network. */
    bool has_read_ahead() const;
    void resume_reading();
    void reject(int status, const std::string& remedy);
    void refuse_for_memory();
    void send_rejection(int status, const header_list& headers, const std::string& remedy);
    void count_outgoing() { held_.set(unsent_bytes()); }
    void post_flush();
    void flush();
    void write_some();
    void on_written(bool has_failed, std::size_t bytes);
    void end_answer();
    void reset_on_close();
    void hand_over_unsent();
    void close();

    boost::asio::ip::tcp::socket socket_;
    caller_limits limits_;
    const handlers& events_;
    request_source source_;
    request_reader reader_;
    byte_hold received_;                ///< bytes in \ref reader_
    std::array<char, 8192> incoming_{}; ///< read buffer; most requests arrive in two reads
    byte_blocks outgoing_;              ///< bytes that wait for the next write
    byte_blocks in_flight_;             ///< bytes of the write under way, and those that follow it
    byte_hold held_;                    ///< \ref unsent_bytes
    int unread_checks_ = 0; ///< consecutive timeout checks between which the network has accepted nothing
    std::function<void()> on_gone_;
    std::function<void()> on_sent_;
    time_point timeout_start_; ///< when the connection became idle or the present request began to arrive
    bool is_serving_ = false;
    bool is_reading_paused_ = false; ///< the caller has sent much ahead of the answer to its present request
    /// An answer has ended, and the next request has not been looked for: that is done in a later turn of the
    /// loop, and once the caller has read more of its answers.
    bool is_next_due_ = false;
    bool is_flushing_ = false;
    bool is_flush_posted_ = false;
    bool is_closing_ = false;
    bool is_closed_ = false;
};

} // namespace laurelhoist
