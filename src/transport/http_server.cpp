#include "transport/http_server.h"

#include "transport/receive_share.h"
#include "transport/request_reader.h"
#include "transport/request_room.h"
#include "transport/tcp_listener.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <algorithm>
#include <deque>
#include <list>
#include <optional>

namespace laurelhoist {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

std::string http_request::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::string http_request::parameter(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
}

struct http_server::state {
    state(http_limits server_limits, handler server_handler)
        : limits{std::move(server_limits)}, on_request{std::move(server_handler)} {}

    http_limits limits;
    handler on_request;
    std::size_t connections = 0;
    /// Closes a connection unless something has arrived on it, and returns whether it did.
    using closer = std::function<bool()>;
    std::list<closer> waiting; ///< connections that wait for a request, the one that waits longest first
};

namespace {

using server_state = std::shared_ptr<void>;

std::string decode_percent(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                               std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                               std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
        if (is_escape) {
            constexpr int hexadecimal = 16;
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexadecimal));
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

http_request to_request(received_request received) {
    http_request request;
    request.method = std::move(received.method);
    const std::string& target = received.target;
    const std::size_t question = target.find('?');
    request.path = decode_percent(target.substr(0, question));
    if (question != std::string::npos) {
        for (const std::string& pair : split_list(target.substr(question + 1), '&')) {
            const std::size_t equals = pair.find('=');
            const std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
            request.query[decode_percent(pair.substr(0, equals))] = decode_percent(value);
        }
    }
    for (const header_field& field : received.headers.all()) {
        request.headers[to_lower(field.name)] = field.value;
    }
    request.body = std::move(received.body);
    return request;
}

/** One connection of a caller; serves its requests one after another. */
template <class State>
class server_session : public http_responder, public std::enable_shared_from_this<server_session<State>> {
public:
    server_session(tcp::socket socket, std::shared_ptr<State> server)
        : stream_{std::move(socket)},
          server_{std::move(server)},
          reader_{server_->limits.header_bytes, server_->limits.body_bytes},
          held_{server_->limits.held} {
        ++server_->connections;
        beast::error_code ignored;
        stream_.socket().set_option(tcp::no_delay{true}, ignored);
        set_receive_buffer(stream_.socket(), min_receive_bytes);
    }
    ~server_session() override {
        end_waiting();
        --server_->connections;
    }
    server_session(const server_session&) = delete;
    server_session& operator=(const server_session&) = delete;

    // The first byte of a request ends the idle timeout and starts the read timeout: a caller that sends a
    // body byte by byte is disconnected, one that keeps its connection open between requests is not.
    void read_next() {
        const bool has_begun = is_first_ || reader_.has_partial_request();
        stream_.expires_after(has_begun ? server_->limits.read_time : server_->limits.idle_time);
        is_first_ = false;
        is_answered_ = false;
        is_streaming_ = false;
        held_.set(reader_.holding().counted_bytes());
        read_request();
    }

    void reply(int status, const http_headers& headers, std::string body) override {
        if (is_answered_) {
            return;
        }
        is_answered_ = true;
        auto response = std::make_shared<http::response<http::string_body>>();
        response->result(static_cast<unsigned>(status));
        response->version(11);
        response->keep_alive(keeps_alive_);
        response->set(http::field::content_type, "application/json");
        for (const auto& [name, value] : headers) {
            response->set(name, value);
        }
        response->body() = std::move(body);
        response->prepare_payload();
        stream_.expires_after(server_->limits.read_time);
        auto self = this->shared_from_this();
        http::async_write(stream_, *response, [self, response](beast::error_code failure, std::size_t) {
            self->on_answer_written(failure);
        });
    }

    void begin_stream(int status, const http_headers& headers) override {
        if (is_answered_) {
            return;
        }
        is_answered_ = true;
        is_streaming_ = true;
        std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                           std::string(http::obsolete_reason(static_cast<http::status>(status))) + "\r\n";
        for (const auto& [name, value] : headers) {
            head += name + ": " + value + "\r\n";
        }
        push(head + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void write(std::string text) override {
        if (is_streaming_ && !text.empty()) {
            std::array<char, 20> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
            push(size.data() + text + "\r\n");
        }
    }

    void end_stream() override {
        if (is_streaming_) {
            is_ending_ = true;
            push("0\r\n\r\n");
        }
    }

    void abort() override {
        beast::error_code ignored;
        stream_.socket().close(ignored);
    }

    void on_disconnect(std::function<void()> work) override { on_disconnect_ = std::move(work); }

private:
    void begin_waiting() {
        server_->waiting.push_back([this] { return close_if_unused(); });
        waiting_ = std::prev(server_->waiting.end());
    }

    void end_waiting() {
        if (waiting_) {
            server_->waiting.erase(*waiting_);
            waiting_.reset();
        }
    }

    bool close_if_unused() {
        beast::error_code failure;
        if (stream_.socket().available(failure) > 0) {
            return false;
        }
        stream_.socket().close(failure);
        return true;
    }

    void read_some() {
        if (!reader_.has_partial_request()) {
            begin_waiting();
        }
        auto self = this->shared_from_this();
        stream_.async_read_some(asio::buffer(incoming_),
                                [self](beast::error_code failure, std::size_t bytes) {
                                    self->end_waiting();
                                    self->on_read(failure, bytes);
                                });
    }

    void on_read(beast::error_code failure, std::size_t bytes) {
        const bool had_begun = reader_.has_partial_request();
        if (failure == beast::error::timeout && had_begun) {
            refuse({error_kind::invalid_request,
                    "the request was not complete in time; send it without pauses"});
        }
        if (failure) {
            return;
        }
        reader_.feed({incoming_.data(), bytes});
        if (!had_begun) {
            stream_.expires_after(server_->limits.read_time);
        }
        read_request();
    }

    void read_request() {
        const request_reader::progress made = reader_.advance();
        held_.set(reader_.holding().counted_bytes());
        switch (made) {
        case request_reader::progress::needs_more:
        case request_reader::progress::needs_continue:
            if (has_room()) {
                read_some();
            } else {
                refuse({error_kind::no_capacity, "too many long requests are held; retry later"});
            }
            return;
        case request_reader::progress::malformed:
            refuse({error_kind::invalid_request, "not a valid HTTP request"});
            return;
        case request_reader::progress::header_too_large:
            refuse({error_kind::too_large, "the headers are too large; send less"});
            return;
        case request_reader::progress::body_too_large:
            refuse({error_kind::too_large, "the body is larger than " +
                                               std::to_string(server_->limits.body_bytes) +
                                               " bytes; send less"});
            return;
        case request_reader::progress::complete:
            on_request_read(reader_.take());
            return;
        }
    }

    bool has_room() const {
        const request_holding own = reader_.holding();
        const request_buffer buffer{server_->limits.held.held(), server_->limits.held_bytes};
        return has_room_for_head(own, buffer) && has_room_for_body(own, buffer);
    }

    void on_request_read(received_request request) {
        keeps_alive_ = request.keeps_alive;
        held_.set(reader_.holding().counted_bytes() + request.holding().counted_bytes());
        stream_.expires_never();
        on_disconnect_ = nullptr;
        watch_for_close();
        handle(to_request(std::move(request)));
    }

    void handle(const http_request& request) {
        try {
            server_->on_request(request, this->shared_from_this());
        } catch (const std::exception& failure) {
            log_error("http_handler_failed", {{"path", request.path}, {"what", failure.what()}});
            constexpr int status_internal_error = 500;
            reply(status_internal_error, {}, "{}");
        }
    }

    void refuse(const error& failure) {
        keeps_alive_ = false;
        reply(http_status(failure.kind), {}, to_error_body(failure, "").dump());
    }

    // Without a pending read, a disconnect of the caller would be noticed only by a failing write, after the
    // work for the request has been done.
    void watch_for_close() {
        auto self = this->shared_from_this();
        stream_.socket().async_wait(tcp::socket::wait_read, [self](beast::error_code failure) {
            if (failure || self->is_complete()) {
                return;
            }
            char byte = 0;
            beast::error_code peek_failure;
            const std::size_t bytes = self->stream_.socket().receive(asio::buffer(&byte, 1),
                                                                     tcp::socket::message_peek, peek_failure);
            if (bytes == 0) {
                self->notify_disconnect();
            }
        });
    }

    bool is_complete() const { return is_answered_ && !is_streaming_; }

    void notify_disconnect() {
        if (on_disconnect_) {
            const std::function<void()> work = std::move(on_disconnect_);
            on_disconnect_ = nullptr;
            work();
        }
    }

    void push(std::string bytes) {
        outgoing_.push_back(std::move(bytes));
        if (outgoing_.size() == 1) {
            write_next();
        }
    }

    void write_next() {
        stream_.expires_after(server_->limits.idle_time);
        auto self = this->shared_from_this();
        asio::async_write(stream_, asio::buffer(outgoing_.front()),
                          [self](beast::error_code failure, std::size_t) {
                              if (failure) {
                                  self->notify_disconnect();
                                  return;
                              }
                              self->outgoing_.pop_front();
                              if (!self->outgoing_.empty()) {
                                  self->write_next();
                              } else if (self->is_ending_) {
                                  self->is_ending_ = false;
                                  self->is_streaming_ = false;
                                  self->on_answer_written({});
                              }
                          });
    }

    void on_answer_written(beast::error_code failure) {
        on_disconnect_ = nullptr;
        beast::error_code ignored;
        if (failure || !keeps_alive_) {
            stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        stream_.socket().cancel(ignored); // Cancels watch_for_close.
        auto self = this->shared_from_this();
        asio::post(stream_.get_executor(), [self] { self->read_next(); });
    }

    beast::tcp_stream stream_;
    std::shared_ptr<State> server_;
    request_reader reader_;
    byte_hold held_;                    ///< what is held of the request
    std::array<char, 4096> incoming_{}; ///< read buffer
    std::deque<std::string> outgoing_;
    std::function<void()> on_disconnect_;
    std::optional<typename std::list<typename State::closer>::iterator> waiting_; ///< while it waits
    bool is_first_ = true;
    bool keeps_alive_ = true;
    bool is_answered_ = false;
    bool is_streaming_ = false;
    bool is_ending_ = false;
};

/** Closes the connection that has waited longest for a request. \return whether there was one */
template <class State>
bool close_longest_waiting(State& server) {
    const auto closed = std::find_if(server.waiting.begin(), server.waiting.end(),
                                     [](const typename State::closer& close) { return close(); });
    if (closed == server.waiting.end()) {
        return false;
    }
    // Its session leaves the list when its read ends, and is not found again until then.
    *closed = [] { return false; };
    return true;
}

template <class State>
void serve(tcp::socket socket, const std::shared_ptr<State>& server) {
    if (server->connections < server->limits.connections || close_longest_waiting(*server)) {
        std::make_shared<server_session<State>>(std::move(socket), server)->read_next();
    }
}

} // namespace

http_server::http_server(event_loop& loop, const listen_target& target, const http_limits& limits,
                         handler on_request)
    : state_{std::make_shared<state>(limits, std::move(on_request))},
      listener_{std::make_unique<tcp_listener>(
          loop, target,
          tcp_listener::events{[server = state_](tcp::socket socket) { serve(std::move(socket), server); },
                               {}})} {}

http_server::~http_server() = default;

bool http_server::is_listening() const {
    return listener_->is_listening();
}

std::uint16_t http_server::port() const {
    return listener_->port();
}

std::size_t http_server::open_connections() const {
    return state_->connections;
}

} // namespace laurelhoist
