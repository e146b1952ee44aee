#include "transport/request_reader.h"

#include "transport/message_parser.h"
#include "transport/parser_input.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace laurelhoist {

namespace http = boost::beast::http;

struct request_reader::state {
    state(std::size_t header_bytes, std::size_t body_bytes) {
        parser.header_limit(static_cast<std::uint32_t>(header_bytes));
        parser.body_limit(body_bytes);
        parser.eager(false); // Until the head is read, so that its length is known.
    }
    message_parser<true> parser;
    parser_input input;
    std::size_t empty_line_bytes = 0; ///< before the request
    std::size_t head_bytes = 0;       ///< parsed
    bool has_asked_to_continue = false;
    bool is_body_dropped = false;
};

request_reader::request_reader(std::size_t header_bytes, std::size_t body_bytes)
    : state_{std::make_unique<state>(header_bytes, body_bytes)},
      header_bytes_{header_bytes},
      body_bytes_{body_bytes} {}
request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

request_reader::progress request_reader::advance() {
    if (!skip_empty_lines()) {
        return state_->empty_line_bytes > header_bytes_ ? progress::header_too_large : progress::needs_more;
    }
    const progress made = parse();
    if (pending_.empty()) {
        std::string().swap(pending_); // Most connections wait for long between two requests.
    }
    const bool may_go_on = made == progress::needs_more || made == progress::needs_continue;
    return may_go_on && has_too_much_unparsed() ? progress::header_too_large : made;
}

// RFC 9112, 2.2: a recipient should ignore empty lines before a request.
bool request_reader::skip_empty_lines() {
    constexpr std::string_view empty_line = "\r\n";
    if (state_->parser.got_some()) {
        return true;
    }
    std::size_t skipped = 0;
    while (pending_.compare(skipped, empty_line.size(), empty_line) == 0) {
        skipped += empty_line.size();
    }
    pending_.erase(0, skipped);
    state_->empty_line_bytes += skipped;
    const bool may_be_empty_line = pending_.empty() || pending_ == "\r";
    return state_->empty_line_bytes <= header_bytes_ && !may_be_empty_line;
}

request_reader::progress request_reader::parse() {
    auto& parser = state_->parser;
    while (state_->input.is_due(pending_.size()) && !parser.is_done()) {
        const bool is_in_head = !parser.is_header_done();
        boost::beast::error_code failure;
        const std::size_t used = parser.put(boost::asio::buffer(pending_), failure);
        state_->input.on_parsed(parser, failure);
        pending_.erase(0, used);
        state_->head_bytes += is_in_head ? used : 0;
        if (parser.is_header_done()) {
            parser.eager(true);
        }
        if (state_->is_body_dropped) {
            std::string().swap(parser.body());
        }
        if (failure == http::error::need_more) {
            break;
        }
        if (failure == http::error::header_limit) {
            return progress::header_too_large;
        }
        if (failure == http::error::body_limit) {
            return progress::body_too_large;
        }
        if (failure) {
            return progress::malformed;
        }
        if (is_in_head && state_->head_bytes > max_head_bytes()) {
            return progress::header_too_large;
        }
    }
    if (parser.is_done()) {
        return progress::complete;
    }
    if (parser.is_header_done() && !state_->has_asked_to_continue && parser.expects_continue()) {
        state_->has_asked_to_continue = true;
        return progress::needs_continue;
    }
    return progress::needs_more;
}

// The fields have the limit to themselves, beside a first line that has as much.
std::size_t request_reader::max_head_bytes() const {
    return header_bytes_ + state_->parser.method().size() + state_->parser.target().size();
}

// Beast applies its limit to the bytes of one call only, so that a head whose lines arrive one by one has
// none, nor have the size and extensions of a chunk and the trailers.
bool request_reader::has_too_much_unparsed() const {
    return state_->parser.is_header_done() ? pending_.size() > header_bytes_
                                           : state_->head_bytes + pending_.size() > max_head_bytes();
}

received_request request_reader::take() {
    auto& parser = state_->parser;
    received_request request;
    request.method = parser.method();
    request.target = parser.target();
    request.headers = parser.fields().unpack();
    request.keeps_alive = parser.keep_alive();
    constexpr int version_with_chunks = 11;
    request.accepts_chunks = parser.version() >= version_with_chunks;
    request.body = std::move(parser.body());
    request.is_body_dropped = state_->is_body_dropped;
    state_ = std::make_unique<state>(header_bytes_, body_bytes_);
    constexpr std::size_t kept_bytes = 16 << 10;
    if (pending_.capacity() > kept_bytes && pending_.size() < pending_.capacity() / 2) {
        pending_.shrink_to_fit();
    }
    return request;
}

bool request_reader::has_partial_request() const {
    return !pending_.empty() || state_->parser.got_some();
}

request_holding request_reader::holding() const {
    const std::size_t body = state_->parser.body().size();
    return {pending_.size() + state_->parser.held_bytes() - body, body};
}

void request_reader::drop_body() {
    state_->is_body_dropped = true;
    std::string().swap(state_->parser.body());
}

} // namespace laurelhoist
