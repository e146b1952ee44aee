#include "relay/caller_connection.h"

#include "transport/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace laurelhoist {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using asio_error = boost::system::error_code;

namespace {

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_headers_too_large = 431;
constexpr int status_unavailable = 503;
/// Of a request that was refused before it was read, in seconds: as long as other callers take to send
/// theirs.
constexpr const char* retry_after_refused_unread = "1";
/// Added to the idle limit, so that a caller that respects the limit never sends on a connection that is
/// being closed.
constexpr duration idle_slack = seconds(1);
/// Bytes that a caller may send ahead of the answer to its present request before they are left in the
/// network.
constexpr std::size_t max_bytes_ahead = 16 << 10;
/// Unsent bytes of answers from which on no further request of the caller is read.
constexpr std::size_t max_unsent_before_next = 16 << 10;
/// A caller that accepts nothing for this long is disconnected. Endpoints drop an answer that stays unread
/// for some seconds, so a longer wait would not save it.
constexpr duration unread_timeout = seconds(4);
/// Send buffer at the end of the process; the kernel lowers it to its own limit.
constexpr int handover_bytes = 4 << 20;
/// Checks are counted instead of the time, which also passes while the host is suspended.
constexpr int max_unread_checks = unread_timeout / caller_connection::check_interval;
/// Within this, the first request of a new connection arrives.
constexpr duration min_idle_before_close = milliseconds(500);
/// Blocks that one write passes to the network, 1 MiB together.
constexpr std::size_t max_blocks_of_write = 16;

} // namespace

caller_connection::caller_connection(tcp::socket socket, const caller_limits& limits, const handlers& events,
                                     byte_account request_bytes, request_source source)
    : socket_{std::move(socket)},
      limits_{limits},
      events_{events},
      source_{source},
      reader_{limits.header_bytes, limits.body_bytes},
      received_{std::move(request_bytes)},
      held_{events.unsent_bytes},
      timeout_start_{monotonic_now()} {
    set_caller_liveness_options(socket_);
}

void caller_connection::start() {
    start_read();
}

void caller_connection::start_read() {
    socket_.async_read_some(asio::buffer(incoming_),
                            [self = shared_from_this()](asio_error failure, std::size_t bytes) {
                                if (failure) {
                                    self->close();
                                } else if (!self->is_closed_) {
                                    self->on_read(bytes);
                                }
                            });
}

void caller_connection::on_read(std::size_t bytes) {
    if (is_closing_) { // What follows the last answer is no request any more.
        start_read();
        return;
    }
    if (!reader_.has_partial_request()) {
        timeout_start_ = monotonic_now();
    }
    reader_.feed({incoming_.data(), bytes});
    if (!is_serving_ && !is_next_due_) {
        read_requests();
    }
    bound_received();
    is_reading_paused_ = has_read_ahead();
    if (!is_closed_ && !is_reading_paused_) {
        start_read();
    }
}

bool caller_connection::bound_received() {
    received_.set(reader_.holding().counted_bytes());
    if (!has_room_for_body(reader_.holding(), events_.requests_held())) {
        reader_.drop_body();
        received_.set(reader_.holding().counted_bytes());
    }
    return has_room_for_head(reader_.holding(), events_.requests_held());
}

void caller_connection::read_requests() {
    const request_reader::progress made = reader_.advance();
    const bool has_room = bound_received();
    switch (made) {
    case request_reader::progress::needs_more:
        if (!has_room) {
            refuse_for_memory();
        }
        return;
    case request_reader::progress::needs_continue:
        write("HTTP/1.1 100 Continue\r\n\r\n");
        return;
    case request_reader::progress::malformed:
        reject(status_bad_request, "send a valid HTTP/1.1 request");
        return;
    case request_reader::progress::header_too_large:
        reject(status_headers_too_large, "send shorter headers, chunk extensions and trailers");
        return;
    case request_reader::progress::body_too_large:
        reject(status_body_too_large, "send a smaller body");
        return;
    case request_reader::progress::complete: {
        is_serving_ = true;
        caller_request request = reader_.take();
        received_.set(reader_.holding().counted_bytes());
        events_.on_request(shared_from_this(), std::move(request));
        return;
    }
    }
}

bool caller_connection::has_read_ahead() const {
    const bool is_busy = is_serving_ || is_next_due_;
    return is_busy && (reader_.unparsed_bytes() > max_bytes_ahead ||
                       !has_room_for_head(reader_.holding(), events_.requests_held()));
}

void caller_connection::resume_reading() {
    if (is_reading_paused_ && !is_closed_ && !has_read_ahead()) {
        is_reading_paused_ = false;
        start_read();
    }
}

void caller_connection::reject(int status, const std::string& remedy) {
    events_.on_rejected(status);
    send_rejection(status, {}, remedy);
}

void caller_connection::refuse_for_memory() {
    events_.on_no_room(received_.bytes());
    header_list headers;
    headers.add("Retry-After", retry_after_refused_unread);
    send_rejection(status_unavailable, headers, "retry later: this host holds too many long requests");
}

void caller_connection::send_rejection(int status, const header_list& headers, const std::string& remedy) {
    const std::string body = json{{"error", "request_refused"}, {"remedy", remedy}}.dump();
    std::string answer = status_line(status);
    append_header(answer, "Content-Type", "application/json");
    append_header(answer, "Content-Length", std::to_string(body.size()));
    append_header(answer, "Connection", "close");
    for (const header_field& field : headers.all()) {
        append_header(answer, field.name, field.value);
    }
    write(answer + "\r\n" + body);
    finish(false);
}

void caller_connection::write(std::string_view bytes) {
    if (is_closed_) {
        return;
    }
    outgoing_.append(bytes);
    post_flush();
}

void caller_connection::write(byte_blocks&& bytes) {
    if (is_closed_) {
        bytes.clear();
        return;
    }
    outgoing_.splice(bytes);
    post_flush();
}

void caller_connection::post_flush() {
    count_outgoing();
    if (!is_flushing_ && !is_flush_posted_) {
        is_flush_posted_ = true;
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->is_flush_posted_ = false;
            self->flush();
        });
    }
}

void caller_connection::flush() {
    if (is_closed_ || is_flushing_ || outgoing_.empty()) {
        return;
    }
    is_flushing_ = true;
    in_flight_.swap(outgoing_);
    unread_checks_ = 0;
    write_some();
}

void caller_connection::write_some() {
    std::vector<asio::const_buffer> parts;
    for (const std::string_view part : in_flight_.front(max_blocks_of_write)) {
        parts.emplace_back(part.data(), part.size());
    }
    socket_.async_write_some(parts, [self = shared_from_this()](asio_error failure, std::size_t bytes) {
        self->on_written(static_cast<bool>(failure), bytes);
    });
}

void caller_connection::on_written(bool has_failed, std::size_t bytes) {
    if (has_failed) {
        close();
        return;
    }
    in_flight_.drop_front(bytes);
    count_outgoing();
    unread_checks_ = 0;
    if (!in_flight_.empty()) {
        write_some();
    } else {
        is_flushing_ = false;
        flush();
    }
    if (unsent_bytes() == 0 && is_closing_) {
        close();
    } else if (on_sent_) {
        on_sent_();
    } else if (is_next_due_) {
        read_next_request();
    }
}

void caller_connection::read_next_request() {
    is_next_due_ = unsent_bytes() > max_unsent_before_next;
    if (is_closed_ || is_serving_ || is_closing_ || is_next_due_) {
        return;
    }
    read_requests();
    resume_reading();
}

void caller_connection::end_answer() {
    on_gone_ = nullptr;
    on_sent_ = nullptr;
}

void caller_connection::finish(bool keeps_alive) {
    end_answer();
    if (is_closed_) {
        return;
    }
    if (!keeps_alive) {
        is_closing_ = true;
        if (unsent_bytes() == 0) {
            close();
        }
        return;
    }
    is_serving_ = false;
    is_next_due_ = true;
    timeout_start_ = monotonic_now();
    // Deferred, because the exchange that finishes may still be using this connection.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->read_next_request(); });
}

void caller_connection::abort() {
    end_answer();
    reset_on_close();
    close();
}

// After an orderly end, an answer without a length would look complete.
void caller_connection::reset_on_close() {
    asio_error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

bool caller_connection::has_disconnected() {
    char next = 0;
    const auto seen = ::recv(socket_.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool has_nothing = seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return is_closed_ || seen == 0 || (seen < 0 && !has_nothing);
}

std::size_t caller_connection::unread_bytes() const {
    asio_error ignored;
    return is_closed_ ? 0 : socket_.available(ignored);
}

void caller_connection::check_timeouts(time_point now) {
    if (is_closed_) {
        return;
    }
    if (unsent_bytes() > 0) {
        if (++unread_checks_ > max_unread_checks) {
            events_.on_unread(unsent_bytes());
            reset_on_close();
            close();
        }
        return;
    }
    if (is_serving_ || is_closing_) {
        return;
    }
    const duration quiet = now - timeout_start_;
    if (reader_.has_partial_request() && quiet > limits_.header_timeout) {
        reject(status_request_timeout, "send the whole request without pauses");
    } else if (quiet > limits_.idle_timeout + idle_slack) {
        close();
    }
}

// A caller may take longer to read its answer than the process has left. The kernel goes on delivering what
// it has taken, after the process has ended too.
void caller_connection::hand_over_unsent() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::send_buffer_size(handover_bytes), ignored);
}

std::optional<time_point> caller_connection::idle_since() const {
    const bool is_idle =
        !is_closed_ && !is_serving_ && !is_closing_ && !reader_.has_partial_request() && unsent_bytes() == 0;
    return is_idle ? std::make_optional(timeout_start_) : std::nullopt;
}

bool caller_connection::close_if_unused() {
    asio_error failure;
    if (!idle_since() || socket_.available(failure) > 0) {
        return false;
    }
    close();
    return true;
}

bool caller_connection::close_if_idle(time_point now) {
    if (unsent_bytes() > 0) {
        hand_over_unsent();
    }
    const std::optional<time_point> since = idle_since();
    return since && now - *since >= min_idle_before_close && close_if_unused();
}

void caller_connection::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    asio_error ignored;
    socket_.close(ignored);
    outgoing_.clear(); // An exchange may keep the connection; the write under way keeps its bytes.
    count_outgoing();
    const std::function<void()> gone = std::move(on_gone_);
    end_answer();
    if (gone) {
        gone();
    }
    events_.on_closed(shared_from_this());
}

} // namespace laurelhoist
