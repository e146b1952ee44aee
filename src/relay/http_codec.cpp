#include "relay/http_codec.h"

#include "transport/message_parser.h"
#include "transport/parser_input.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace laurelhoist {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

/// Size limit of an endpoint's answer head. It is far above any real head and keeps a faulty endpoint from
/// exhausting memory.
constexpr std::uint32_t max_answer_header_bytes = 64 << 10;
/// Size limit of all that is not the body: the head and as much again, and more with a body in small chunks,
/// of which a byte alone takes up five bytes around it.
constexpr std::size_t max_answer_framing_bytes = std::size_t{128} << 10;
constexpr std::size_t max_framing_of_body_byte = 8;

/// Above any answer, also of a stream that lasts for a day.
constexpr std::uint64_t max_answer_body_bytes = std::uint64_t{1} << 30;

/// The statuses that an answer may have (RFC 9110, 15).
constexpr int first_status = 100;
constexpr int last_status = 599;

/** \return the status in the first status line within \p text and where that line begins, or nothing. */
std::optional<std::pair<std::string_view, std::size_t>> find_status_line(std::string_view text) {
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t digits = 3;
    const std::size_t status_offset = protocol.size() + 2; // behind the minor version and a space
    const auto is_digit = [](char letter) { return letter >= '0' && letter <= '9'; };
    for (std::size_t at = text.find(protocol); at != std::string_view::npos;
         at = text.find(protocol, at + 1)) {
        const std::string_view line = text.substr(at);
        if (line.size() < status_offset + digits) {
            return std::nullopt;
        }
        const std::string_view status = line.substr(status_offset, digits);
        if (is_digit(line[protocol.size()]) && line[status_offset - 1] == ' ' &&
            std::all_of(status.begin(), status.end(), is_digit)) {
            return std::pair(status, at);
        }
    }
    return std::nullopt;
}

// Guards against a failure that its caller gets as a success. An endpoint may begin an extra answer, stop in
// its head, and write the next answer behind it: that one's status line is then a part of the reason, or of
// a field, of the head that was begun. A field that repeats the status of its own answer is sound.
bool has_status_line_within(std::string_view reason, const header_list& headers, int status) {
    const auto is_foreign = [&](std::string_view value) {
        const auto line = find_status_line(value);
        return line && (line->second > 0 || line->first != std::to_string(status));
    };
    return find_status_line(reason) ||
           std::any_of(headers.all().begin(), headers.all().end(),
                       [&](const header_field& field) { return is_foreign(field.value); });
}

} // namespace

bool contains_status_line(const header_list& headers) {
    return std::any_of(headers.all().begin(), headers.all().end(),
                       [](const header_field& field) { return find_status_line(field.value).has_value(); });
}

std::optional<duration> retry_after_in(const header_list& headers) {
    std::optional<duration> longest;
    for (const header_field& field : headers.all()) {
        if (is_same_name(field.name, "Retry-After")) {
            const std::optional<duration> delay =
                parse_retry_after(field.value, headers.value_or_empty("Date"));
            longest = std::max(longest, delay);
        }
    }
    return longest;
}

const char* to_string(answer_fault fault) {
    switch (fault) {
    case answer_fault::none:
        break;
    case answer_fault::malformed:
        return "malformed";
    case answer_fault::invalid_status:
        return "invalid_status";
    case answer_fault::foreign_answer:
        return "foreign_answer";
    case answer_fault::too_much_framing:
        return "too_much_framing";
    }
    return "none";
}

void append_header(std::string& head, std::string_view name, std::string_view value) {
    head.append(name);
    head.append(": ");
    head.append(value);
    head.append("\r\n");
}

std::string status_line(int status) {
    return "HTTP/1.1 " + std::to_string(status) + " " +
           std::string(http::obsolete_reason(static_cast<http::status>(status))) + "\r\n";
}

std::string chunk_head(std::size_t bytes) {
    constexpr int hexadecimal = 16;
    char size[20];
    const auto [end, failure] = std::to_chars(std::begin(size), std::end(size), bytes, hexadecimal);
    return std::string(size, static_cast<std::size_t>(end - size)) + "\r\n";
}

void append_chunk(std::string& out, std::string_view bytes) {
    if (bytes.empty()) {
        return; // An empty chunk would end the body.
    }
    out.append(chunk_head(bytes.size()));
    out.append(bytes);
    out.append("\r\n");
}

struct answer_reader::state {
    explicit state(bool is_for_head) {
        parser.header_limit(max_answer_header_bytes);
        // No limit is not possible: in some versions of Beast any length exceeds it.
        parser.body_limit(max_answer_body_bytes);
        parser.eager(false); // Until the head has been checked.
        parser.skip(is_for_head);
    }
    message_parser<false> parser;
    parser_input input;
    std::string unparsed;
};

answer_reader::answer_reader(bool is_for_head)
    : state_{std::make_unique<state>(is_for_head)}, is_for_head_{is_for_head} {}
answer_reader::~answer_reader() = default;
answer_reader::answer_reader(answer_reader&&) noexcept = default;
answer_reader& answer_reader::operator=(answer_reader&&) noexcept = default;

std::optional<std::size_t> answer_reader::feed(std::string_view bytes, std::string& body) {
    const std::size_t body_before = body.size();
    const std::optional<std::size_t> used = parse(bytes, body);
    received_bytes_ += used.value_or(0);
    body_bytes_ += body.size() - body_before;
    if (used && has_too_much_framing()) {
        fault_ = answer_fault::too_much_framing;
        return std::nullopt;
    }
    return used;
}

bool answer_reader::has_too_much_framing() const {
    const std::size_t most = has_head() ? max_answer_framing_bytes + max_framing_of_body_byte * body_bytes_
                                        : max_answer_header_bytes;
    return received_bytes_ - body_bytes_ > most;
}

std::optional<std::size_t> answer_reader::parse(std::string_view bytes, std::string& body) {
    constexpr int informational = 1; // status class 1xx
    constexpr int class_size = 100;
    std::string& held = state_->unparsed;
    const std::size_t held_before = held.size();
    held.append(bytes);
    std::size_t used = 0;
    while (state_->input.is_due(held.size() - used) && !state_->parser.is_done()) {
        const bool had_head = has_head();
        boost::beast::error_code failure;
        used += state_->parser.put(asio::buffer(held.data() + used, held.size() - used), failure);
        state_->input.on_parsed(state_->parser, failure);
        if (failure == http::error::need_more) {
            break;
        }
        if (failure) {
            fault_ = failure == http::error::header_limit ? answer_fault::too_much_framing
                                                          : answer_fault::malformed;
            return std::nullopt;
        }
        if (state_->parser.is_done() && status() / class_size == informational) {
            std::string rest = held.substr(used);
            state_ = std::make_unique<state>(is_for_head_);
            const std::optional<std::size_t> used_of_rest = parse(rest, body);
            return used_of_rest ? std::optional(bytes.size() - (rest.size() - *used_of_rest)) : std::nullopt;
        }
        if (has_head() && !had_head && !read_head()) {
            return std::nullopt;
        }
    }
    body.append(state_->parser.body());
    state_->parser.body().clear();
    const bool is_done = state_->parser.is_done();
    held.erase(0, used);
    if (is_done) {
        held.clear();
        return used >= held_before ? used - held_before : 0;
    }
    return bytes.size();
}

bool answer_reader::read_head() {
    state_->parser.eager(true);
    headers_ = state_->parser.fields().unpack();
    headers_bytes_ = headers_.held_bytes();
    if (status() < first_status || status() > last_status) {
        fault_ = answer_fault::invalid_status;
    } else if (has_status_line_within(state_->parser.reason(), headers_, status())) {
        fault_ = answer_fault::foreign_answer;
    }
    return fault_ == answer_fault::none;
}

std::size_t answer_reader::held_bytes() const {
    return state_->unparsed.size() + state_->parser.held_bytes() + headers_bytes_;
}

bool answer_reader::finish() {
    if (!has_head() || is_complete()) {
        return is_complete();
    }
    boost::beast::error_code failure;
    state_->parser.put_eof(failure);
    return !failure && is_complete();
}

bool answer_reader::has_head() const {
    return state_->parser.is_header_done();
}

bool answer_reader::is_complete() const {
    return state_->parser.is_done();
}

int answer_reader::status() const {
    return state_->parser.status();
}

bool answer_reader::ends_with_connection() const {
    return state_->parser.need_eof();
}

bool answer_reader::keeps_alive() const {
    return state_->parser.keep_alive() && !ends_with_connection();
}

} // namespace laurelhoist
