#include "recovery/crash_cause.h"

#include "base/base.h"

#include <algorithm>
#include <cctype>

namespace laurelhoist {

namespace {

std::string_view without_blanks(std::string_view text) {
    const auto is_blank = [](char each) { return each == ' ' || each == '\t'; };
    while (!text.empty() && is_blank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

const char* to_string(cause_kind kind) {
    switch (kind) {
    case cause_kind::request:
        return "request";
    case cause_kind::prompt_part:
        return "prompt_part";
    }
    return "unknown";
}

part_digest digest_of_part(std::string_view id) {
    std::string_view digits = without_blanks(id);
    digits.remove_prefix(std::min(digits.find_first_not_of('0'), digits.size()));
    std::string spelled(digits);
    std::transform(spelled.begin(), spelled.end(), spelled.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    constexpr std::size_t digest_digits = 16;
    const std::string padding(digest_digits - std::min(digest_digits, spelled.size()), '0');
    return digest_from_text(padding + spelled).value_or(placement_hash(spelled));
}

std::vector<crash_cause> crash_causes::all() const {
    std::vector<crash_cause> causes{request};
    for (const part_digest part : parts) {
        causes.emplace_back(cause_kind::prompt_part, part);
    }
    return causes;
}

} // namespace laurelhoist
