#include "relay/event_stream.h"

#include <charconv>

namespace laurelhoist {

namespace {

constexpr std::string_view id_field = "id:";

/** \return whether the line feed at \p at ends a blank line behind another line. */
bool ends_event(std::string_view text, std::size_t at) {
    constexpr std::string_view with_returns = "\r\n\r\n";
    return (at >= 1 && text[at - 1] == '\n') ||
           (at + 1 >= with_returns.size() &&
            text.substr(at + 1 - with_returns.size(), with_returns.size()) == with_returns);
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

std::size_t event_end_search::find_in(std::string_view text) {
    for (std::size_t at = text.find('\n', searched_bytes_); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (ends_event(text, at)) {
            return at + 1;
        }
    }
    searched_bytes_ = text.size();
    return 0;
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
    while (const std::size_t length = end_search_.find_in(std::string_view(partial_).substr(begin))) {
        end_search_.restart();
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
