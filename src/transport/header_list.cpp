#include "transport/header_list.h"

#include <algorithm>
#include <charconv>

namespace laurelhoist {

namespace {

constexpr std::string_view standard_hop_by_hop_names[] = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade",    "Proxy-Connection"};

char to_lower(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool is_before(std::string_view left, std::string_view right) {
    return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                        [](char l, char r) { return to_lower(l) < to_lower(r); });
}

/** Appends the items of the comma-separated \p list. */
void append_items(std::vector<std::string_view>& items, std::string_view list) {
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (!item.empty()) {
            items.push_back(item);
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
}

/** \return the memory that \p text has allocated. */
std::size_t allocated_bytes(const std::string& text) {
    static const std::size_t capacity_without_allocation = std::string().capacity();
    return text.capacity() > capacity_without_allocation ? text.capacity() + 1 : 0;
}

} // namespace

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

std::size_t header_list::held_bytes() const {
    std::size_t bytes = fields_.capacity() * sizeof(header_field);
    for (const header_field& field : fields_) {
        bytes += allocated_bytes(field.name) + allocated_bytes(field.value);
    }
    return bytes;
}

void packed_header_list::add(std::string_view name, std::string_view value) {
    text_.append(name);
    text_.push_back(':');
    text_.append(value);
    text_.push_back('\n');
    ++count_;
}

header_list packed_header_list::unpack() const {
    header_list headers;
    headers.reserve(count_);
    std::string_view rest = text_;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        const std::string_view field = rest.substr(0, end);
        const std::size_t colon = field.find(':');
        headers.add(std::string(field.substr(0, colon)), std::string(field.substr(colon + 1)));
        rest.remove_prefix(end + 1);
    }
    return headers;
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

hop_by_hop_fields::hop_by_hop_fields(const header_list& headers) {
    for (const header_field& field : headers.all()) {
        if (is_same_name(field.name, "Connection")) {
            append_items(named_, field.value);
        }
    }
    std::sort(named_.begin(), named_.end(), is_before);
}

bool hop_by_hop_fields::contains(std::string_view name) const {
    return std::any_of(std::begin(standard_hop_by_hop_names), std::end(standard_hop_by_hop_names),
                       [&](std::string_view known) { return is_same_name(name, known); }) ||
           std::binary_search(named_.begin(), named_.end(), name, is_before);
}

} // namespace laurelhoist
