#include "relay/http_codec.h"

#include "transport/growing_body.h"
#include "transport/parser_input.h"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace laurelhoist {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

constexpr std::string_view hop_by_hop_names[] = {"Connection",          "Keep-Alive", "Proxy-Authenticate",
                                                 "Proxy-Authorization", "TE",         "Trailer",
                                                 "Transfer-Encoding",   "Upgrade",    "Proxy-Connection"};

/// Size limit of an endpoint's answer head. It is far above any real head and keeps a faulty endpoint from
/// exhausting memory.
constexpr std::uint32_t max_answer_header_bytes = 64 << 10;
/// Size limit of all that is not the body: the head and as much again, and more with a body in small chunks,
/// of which a byte alone takes up five bytes around it.
constexpr std::size_t max_answer_framing_bytes = std::size_t{128} << 10;
constexpr std::size_t max_framing_of_body_byte = 8;

/// Above any answer, also of a stream that lasts for a day.
constexpr std::uint64_t max_answer_body_bytes = std::uint64_t{1} << 30;

template <class Fields>
header_list to_header_list(const Fields& message) {
    header_list headers;
    for (const auto& field : message) {
        headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

char to_lower(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

/** \return whether the comma-separated \p list contains \p token, ignoring case. */
bool contains_token(std::string_view list, std::string_view token) {
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (is_same_name(item, token)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

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

bool is_same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char l, char r) { return to_lower(l) == to_lower(r); });
}

std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    return failure == std::errc{} && stop == end ? std::optional(number) : std::nullopt;
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

const std::string* header_list::find(std::string_view name) const {
    for (const header_field& field : fields_) {
        if (is_same_name(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::string header_list::value_or_empty(std::string_view name) const {
    const std::string* value = find(name);
    return value == nullptr ? std::string{} : *value;
}

bool is_hop_by_hop(std::string_view name, const header_list& headers) {
    const bool is_known = std::any_of(std::begin(hop_by_hop_names), std::end(hop_by_hop_names),
                                      [&](std::string_view known) { return is_same_name(name, known); });
    const std::string* connection = headers.find("Connection");
    return is_known || (connection != nullptr && contains_token(*connection, name));
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

struct request_reader::state {
    state(std::size_t header_bytes, std::size_t body_bytes) {
        parser.header_limit(static_cast<std::uint32_t>(header_bytes));
        parser.body_limit(body_bytes);
        parser.eager(true);
    }
    http::request_parser<growing_body> parser;
    parser_input input;
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
    auto& parser = state_->parser;
    while (state_->input.is_due(pending_.size()) && !parser.is_done()) {
        boost::beast::error_code failure;
        const std::size_t used = parser.put(asio::buffer(pending_), failure);
        state_->input.on_parsed(parser, failure);
        pending_.erase(0, used);
        if (state_->is_body_dropped) {
            parser.get().body().clear();
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
    }
    if (parser.is_done()) {
        return progress::complete;
    }
    if (parser.is_header_done() && !state_->has_asked_to_continue &&
        is_same_name(std::string(parser.get()[http::field::expect]), "100-continue")) {
        state_->has_asked_to_continue = true;
        return progress::needs_continue;
    }
    return progress::needs_more;
}

caller_request request_reader::take() {
    auto message = state_->parser.release();
    caller_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = to_header_list(message);
    request.keeps_alive = message.keep_alive();
    constexpr unsigned version_with_chunks = 11;
    request.accepts_chunks = message.version() >= version_with_chunks;
    request.body = std::move(message.body());
    request.is_body_dropped = state_->is_body_dropped;
    state_ = std::make_unique<state>(header_bytes_, body_bytes_);
    return request;
}

bool request_reader::has_partial_request() const {
    return !pending_.empty() || state_->parser.got_some();
}

std::size_t request_reader::body_bytes() const {
    return state_->parser.get().body().size();
}

std::size_t request_reader::received_bytes() const {
    return pending_.size() + body_bytes();
}

void request_reader::drop_body() {
    state_->is_body_dropped = true;
    std::string().swap(state_->parser.get().body());
}

struct answer_reader::state {
    explicit state(bool is_for_head) {
        parser.header_limit(max_answer_header_bytes);
        // No limit is not possible: in some versions of Beast any length exceeds it.
        parser.body_limit(max_answer_body_bytes);
        parser.eager(false); // Until the head is read: the fields of a trailer would be added to it.
        parser.skip(is_for_head);
    }
    http::response_parser<growing_body> parser;
    parser_input input;
    std::string head_bytes; ///< bytes of a head that has not arrived completely
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
    return has_too_much_framing() ? std::nullopt : used;
}

bool answer_reader::has_too_much_framing() const {
    return received_bytes_ - body_bytes_ > max_answer_framing_bytes + max_framing_of_body_byte * body_bytes_;
}

std::optional<std::size_t> answer_reader::parse(std::string_view bytes, std::string& body) {
    constexpr int informational = 1; // status class 1xx
    constexpr int class_size = 100;
    std::string& held = state_->head_bytes;
    const std::size_t held_before = held.size();
    held.append(bytes);
    std::size_t used = 0;
    while (state_->input.is_due(held.size() - used) && !state_->parser.is_done()) {
        boost::beast::error_code failure;
        used += state_->parser.put(asio::buffer(held.data() + used, held.size() - used), failure);
        state_->input.on_parsed(state_->parser, failure);
        if (failure == http::error::need_more) {
            break;
        }
        if (failure) {
            return std::nullopt;
        }
        if (state_->parser.is_done() && status() / class_size == informational) {
            std::string rest = held.substr(used);
            state_ = std::make_unique<state>(is_for_head_);
            const std::optional<std::size_t> used_of_rest = parse(rest, body);
            return used_of_rest ? std::optional(bytes.size() - (rest.size() - *used_of_rest)) : std::nullopt;
        }
        if (has_head() && !state_->parser.eager()) {
            state_->parser.eager(true);
            headers_ = to_header_list(state_->parser.get());
            if (has_status_line_within(std::string(state_->parser.get().reason()), headers_, status())) {
                return std::nullopt;
            }
        }
    }
    body.append(state_->parser.get().body());
    state_->parser.get().body().clear();
    const bool is_done = state_->parser.is_done();
    held.erase(0, used);
    if (is_done) {
        held.clear();
        return used >= held_before ? used - held_before : 0;
    }
    return bytes.size();
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
    return static_cast<int>(state_->parser.get().result_int());
}

bool answer_reader::ends_with_connection() const {
    return state_->parser.need_eof();
}

bool answer_reader::keeps_alive() const {
    return state_->parser.get().keep_alive() && !ends_with_connection();
}

} // namespace laurelhoist
