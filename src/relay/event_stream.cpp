#include "relay/event_stream.h"

#include <charconv>

namespace laurelhoist {

namespace {

constexpr std::string_view id_field = "id:";

/** \return the length of the first complete event in \p text, including its blank line, or 0. */
std::size_t first_event_length(std::string_view text) {
    const std::size_t plain = text.find("\n\n");
    const std::size_t with_returns = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && with_returns == std::string_view::npos) {
        return 0;
    }
    return with_returns < plain ? with_returns + 4 : plain + 2;
}

/** \return the number at the start of \p text after any spaces, or nothing. */
std::optional<std::int64_t> leading_number(std::string_view text) {
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc{} ? std::optional(number) : std::nullopt;
}

} // namespace

bool has_complete_event(std::string_view text) {
    return first_event_length(text) > 0;
}

std::optional<std::int64_t> event_id(std::string_view event) {
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (line.substr(0, id_field.size()) == id_field) {
            return leading_number(line.substr(id_field.size()));
        }
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
    }
    return std::nullopt;
}

std::optional<int> event_joiner::feed(std::string_view bytes, std::string& out) {
    if (!is_in_order_) {
        return std::nullopt;
    }
    partial_.append(bytes);
    std::size_t begin = 0;
    int passed_on = 0;
    while (const std::size_t length = first_event_length(std::string_view(partial_).substr(begin))) {
        const std::string_view event = std::string_view(partial_).substr(begin, length);
        begin += length;
        const std::optional<std::int64_t> id = event_id(event);
        if (id && *id <= last_id_) {
            continue; // The caller has received this event from an earlier run.
        }
        if (id && *id != last_id_ + 1) {
            is_in_order_ = false;
            return std::nullopt;
        }
        last_id_ = id.value_or(last_id_);
        out.append(event);
        ++passed_on;
    }
    partial_.erase(0, begin);
    return passed_on;
}

} // namespace laurelhoist
