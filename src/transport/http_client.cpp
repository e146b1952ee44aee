#include "transport/http_client.h"

#include "transport/message_parser.h"
#include "transport/parser_input.h"
#include "transport/receive_share.h"
#include "transport/socket_options.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <algorithm>
#include <deque>
#include <optional>

namespace laurelhoist {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr duration idle_connection_lifetime = seconds(2);
constexpr std::size_t max_idle_connections_per_address = 64;
constexpr std::size_t max_response_bytes = 8 << 20;
/// Bytes of a response's body and all around it. A server that sends chunk extensions or trailers without end
/// would otherwise fill this process's memory, as no time limit ends a response that goes on.
constexpr std::size_t max_received_bytes = 2 * max_response_bytes;
/// A store and its readers are near each other, so that this much is seldom under way.
constexpr std::size_t receive_buffer_bytes = 2 * min_receive_bytes;
/// Bytes that a parser waits for the end of: the head, a chunk's size line or the trailers.
constexpr std::size_t max_unparsed_bytes = 64 << 10;

} // namespace

std::string http_answer::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

struct http_client::state {
    explicit state(asio::io_context& loop_context) : context{loop_context} {}

    struct idle_connection {
        std::unique_ptr<beast::tcp_stream> stream;
        time_point since;
    };
    using address_key = std::pair<std::string, std::uint16_t>;

    std::unique_ptr<beast::tcp_stream> take(const address_key& address) {
        std::deque<idle_connection>& idle = idle_connections[address];
        while (!idle.empty()) {
            idle_connection connection = std::move(idle.back());
            idle.pop_back();
            if (monotonic_now() - connection.since < idle_connection_lifetime) {
                return std::move(connection.stream);
            }
        }
        return nullptr;
    }

    void keep(const address_key& address, std::unique_ptr<beast::tcp_stream> stream) {
        std::deque<idle_connection>& idle = idle_connections[address];
        idle.push_back({std::move(stream), monotonic_now()});
        if (idle.size() > max_idle_connections_per_address) {
            idle.pop_front();
        }
    }

    asio::io_context& context;
    std::map<address_key, std::deque<idle_connection>> idle_connections;
};

namespace {

/** One call in progress. */
template <class State>
class client_call : public std::enable_shared_from_this<client_call<State>> {
public:
    client_call(std::shared_ptr<State> client, http_call call, http_client::answer_handler on_answer,
                http_client::piece_handler on_piece)
        : client_{std::move(client)},
          call_{std::move(call)},
          on_answer_{std::move(on_answer)},
          on_piece_{std::move(on_piece)},
          timer_{client_->context} {}

    void start() {
        request_.method_string(call_.method);
        request_.target(call_.target);
        request_.version(11);
        request_.keep_alive(true);
        request_.set(http::field::host, call_.address.host + ":" + std::to_string(call_.address.port));
        for (const auto& [name, value] : call_.headers) {
            request_.set(name, value);
        }
        request_.body() = call_.body;
        request_.prepare_payload();
        if (!call_.needs_fresh_connection) {
            stream_ = client_->take(address());
        }
        is_reused_ = stream_ != nullptr;
        is_reused_ ? write() : connect();
    }

    void cancel() {
        is_done_ = true;
        timer_.cancel();
        close();
    }

private:
    typename State::address_key address() const { return {call_.address.host, call_.address.port}; }

    void close() {
        if (stream_) {
            beast::error_code ignored;
            stream_->socket().close(ignored);
        }
    }

    void connect() {
        stream_ = std::make_unique<beast::tcp_stream>(client_->context);
        stream_->expires_after(call_.connect_timeout);
        auto self = this->shared_from_this();
        const tcp::endpoint endpoint(asio::ip::make_address(call_.address.host), call_.address.port);
        stream_->async_connect(endpoint, [self](beast::error_code failure) {
            if (failure) {
                self->finish(http_answer::result::not_sent);
                return;
            }
            set_liveness_options(self->stream_->socket());
            set_receive_buffer(self->stream_->socket(), receive_buffer_bytes);
            self->write();
        });
    }

    void start_timeout() {
        timer_.expires_after(call_.timeout);
        auto self = this->shared_from_this();
        timer_.async_wait([self](beast::error_code failure) {
            if (!failure && !self->is_done_) {
                self->finish(http_answer::result::silent);
            }
        });
    }

    void write() {
        stream_->expires_never();
        start_timeout();
        auto self = this->shared_from_this();
        http::async_write(*stream_, request_, [self](beast::error_code failure, std::size_t) {
            if (self->is_done_) {
                return;
            }
            if (failure) {
                self->on_connection_failed();
                return;
            }
            self->parser_.emplace();
            self->input_ = parser_input{};
            self->parser_->header_limit(max_unparsed_bytes);
            self->parser_->body_limit(max_response_bytes);
            self->parser_->eager(true);
            self->read();
        });
    }

    // A reused connection that breaks before the first byte of a response was most likely closed by the
    // server while it was idle. Only calls that may be repeated reuse connections, so the call is retried on
    // a new connection.
    void on_connection_failed() {
        if (is_reused_ && !has_response_begun_) {
            is_reused_ = false;
            timer_.cancel();
            connect();
            return;
        }
        finish(http_answer::result::failed);
    }

    void read() {
        constexpr std::size_t read_size = 16 << 10;
        auto self = this->shared_from_this();
        stream_->async_read_some(buffer_.prepare(read_size),
                                 [self](beast::error_code failure, std::size_t bytes) {
                                     if (!self->is_done_) {
                                         self->buffer_.commit(bytes);
                                         self->received_bytes_ += bytes;
                                         self->on_read(failure);
                                     }
                                 });
    }

    // Beast's own read of a chunked body delivers a chunk only when the next one arrives, which would delay
    // every token of a stream by one. Received bytes are therefore passed to the parser directly.
    void on_read(beast::error_code failure) {
        beast::error_code parse_failure;
        while (input_.is_due(buffer_.size()) && !parser_->is_done() && !parse_failure) {
            buffer_.consume(parser_->put(buffer_.data(), parse_failure));
            input_.on_parsed(*parser_, parse_failure);
        }
        if (failure == asio::error::eof && parser_->got_some() && !parser_->is_done() && !parse_failure) {
            parser_->put_eof(parse_failure);
        }
        const std::size_t unparsed_bytes = parser_->is_header_done() ? buffer_.size() : received_bytes_;
        const bool is_endless = unparsed_bytes > max_unparsed_bytes || received_bytes_ > max_received_bytes;
        const bool is_broken =
            (parse_failure && parse_failure != http::error::need_more) || failure || is_endless;
        if (is_broken && !parser_->is_done()) {
            on_connection_failed();
            return;
        }
        has_response_begun_ = true;
        deliver_piece();
        if (is_done_) {
            return;
        }
        if (!parser_->is_done()) {
            if (call_.is_streamed || call_.is_large) {
                start_timeout();
            }
            read();
            return;
        }
        finish(http_answer::result::answered);
    }

    void deliver_piece() {
        if (!on_piece_ || !parser_->is_header_done() || parser_->status() != 200) {
            return;
        }
        const std::string& body = parser_->body();
        if (body.size() > delivered_) {
            const std::string piece = body.substr(delivered_);
            delivered_ = body.size();
            on_piece_(piece);
        }
    }

    void finish(http_answer::result what) {
        if (is_done_) {
            return;
        }
        is_done_ = true;
        timer_.cancel();
        http_answer answer;
        answer.what = what;
        if (what == http_answer::result::answered) {
            answer.status = parser_->status();
            const header_list headers = parser_->fields().unpack();
            for (const header_field& field : headers.all()) {
                std::string name = field.name;
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                answer.headers[name] = field.value;
            }
            answer.body = parser_->body();
            if (parser_->keep_alive()) {
                client_->keep(address(), std::move(stream_));
            }
        } else {
            close();
        }
        on_answer_(answer);
    }

    std::shared_ptr<State> client_;
    http_call call_;
    http_client::answer_handler on_answer_;
    http_client::piece_handler on_piece_;
    asio::steady_timer timer_;
    std::unique_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<message_parser<false>> parser_;
    parser_input input_;
    std::size_t delivered_ = 0;
    std::size_t received_bytes_ = 0; ///< of the response
    bool is_reused_ = false;
    bool has_response_begun_ = false;
    bool is_done_ = false;
};

} // namespace

http_client::http_client(event_loop& loop) : state_{std::make_shared<state>(loop.context())} {}
http_client::~http_client() = default;

http_client::canceller http_client::send(const http_call& call, answer_handler on_answer,
                                         piece_handler on_piece) {
    const auto started =
        std::make_shared<client_call<state>>(state_, call, std::move(on_answer), std::move(on_piece));
    started->start();
    return [started] { started->cancel(); };
}

http_answer send_and_wait(const http_call& call) {
    event_loop loop;
    http_client client(loop);
    http_answer answer;
    client.send(call, [&](const http_answer& arrived) {
        answer = arrived;
        loop.stop();
    });
    loop.run();
    return answer;
}

} // namespace laurelhoist
