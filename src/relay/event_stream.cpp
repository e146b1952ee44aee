#include "relay/event_stream.h"

#include <algorithm>
#include <charconv>

namespace laurelhoist {

namespace {

constexpr std::string_view id_field = "id:";
/// Fits the field's name, spaces and any number.
constexpr std::size_t max_id_line_bytes = 128;

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

void event_scanner::read_line_part(std::string_view part) {
    if (part.empty()) {
        return;
    }
    line_bytes_ += part.size();
    last_of_line_ = part.back();
    if (!has_id_line_) {
        line_start_.append(
            part.substr(0, max_id_line_bytes - std::min(max_id_line_bytes, line_start_.size())));
    }
}

// A blank line behind another line ends an event. One that consists of a carriage return does so only where
// lines end with one.
bool event_scanner::ends_event_with_line() {
    const bool is_empty = line_bytes_ == 0;
    const bool has_only_return = line_bytes_ == 1 && last_of_line_ == '\r';
    const bool ends_event = has_lines_ && (is_empty || (has_only_return && ended_with_return_));
    if (!has_id_line_ && line_start_.compare(0, id_field.size(), id_field) == 0) {
        has_id_line_ = true;
        id_ = leading_number(std::string_view(line_start_).substr(id_field.size()));
    }
    ended_with_return_ = !is_empty && last_of_line_ == '\r';
    has_lines_ = true;
    line_start_.clear();
    line_bytes_ = 0;
    return ends_event;
}

std::size_t event_scanner::find_end(std::string_view text) {
    std::size_t begin = 0;
    for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', begin)) {
        read_line_part(text.substr(begin, at - begin));
        begin = at + 1;
        if (ends_event_with_line()) {
            return begin;
        }
    }
    read_line_part(text.substr(begin));
    return 0;
}

std::optional<int> event_joiner::feed(std::string_view bytes, byte_blocks& out) {
    if (!is_in_order_) {
        return std::nullopt;
    }
    int passed_on = 0;
    while (const std::size_t length = scanner_.find_end(bytes)) {
        const std::optional<std::int64_t> id = scanner_.id();
        scanner_.restart();
        const std::string_view rest_of_event = bytes.substr(0, length);
        bytes.remove_prefix(length);
        if (id && *id <= last_id_) {
            partial_.clear();
            continue; // The caller has received this event from an earlier run.
        }
        if (id && *id != last_id_ + 1) {
            is_in_order_ = false;
            return std::nullopt;
        }
        last_id_ = id.value_or(last_id_);
        out.splice(partial_);
        out.append(rest_of_event);
        ++passed_on;
    }
    partial_.append(bytes);
    return passed_on;
}

} // namespace laurelhoist
