#include "base/json_text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string_view>

namespace laurelhoist {

namespace {

/** \return \p bytes with each byte that is not part of a UTF-8 character replaced by a question mark. */
std::string replace_invalid_utf8(const std::string& bytes) {
    constexpr unsigned char continuation_mask = 0xC0;
    constexpr unsigned char continuation = 0x80;
    const auto length_at = [](unsigned char first) -> std::size_t {
        return first < 0x80                    ? 1
               : first >= 0xC2 && first < 0xE0 ? 2
               : first >= 0xE0 && first < 0xF0 ? 3
               : first >= 0xF0 && first < 0xF5 ? 4
                                               : 0;
    };
    std::string text = bytes;
    for (std::size_t i = 0; i < text.size();) {
        const std::size_t length = length_at(static_cast<unsigned char>(text[i]));
        bool is_whole = length > 0 && i + length <= text.size();
        for (std::size_t k = 1; is_whole && k < length; ++k) {
            is_whole = (static_cast<unsigned char>(text[i + k]) & continuation_mask) == continuation;
        }
        if (!is_whole) {
            text[i] = '?';
        }
        i += is_whole ? length : 1;
    }
    return text;
}

/** Copies JSON text and replaces the escapes and numbers that the parser rejects. */
class json_repair {
public:
    explicit json_repair(std::string_view text) : rest_{text} {}

    std::string run() {
        while (!rest_.empty()) {
            if (is_in_string_) {
                copy_part_of_string();
            } else {
                copy_outside_of_string();
            }
        }
        return std::move(repaired_);
    }

private:
    static constexpr std::string_view number_characters = "+-.0123456789eE";
    static constexpr std::string_view replacement_escape = "\\ufffd";
    static constexpr std::size_t escape_length = replacement_escape.size();

    void copy(std::size_t length) {
        repaired_ += rest_.substr(0, length);
        rest_.remove_prefix(std::min(length, rest_.size()));
    }

    void copy_outside_of_string() {
        const std::size_t length = std::min(rest_.find_first_not_of(number_characters), rest_.size());
        if (length == 0) {
            is_in_string_ = rest_.front() == '"';
            copy(1);
        } else if (std::isinf(std::strtod(std::string(rest_.substr(0, length)).c_str(), nullptr))) {
            repaired_ += "null";
            rest_.remove_prefix(length);
        } else {
            copy(length);
        }
    }

    void copy_part_of_string() {
        constexpr std::size_t plain_escape_length = 2;
        if (rest_.front() == '"') {
            is_in_string_ = false;
            copy(1);
        } else if (rest_.front() != '\\') {
            copy(1);
        } else if (!is_surrogate(rest_, "89abAB") && !is_surrogate(rest_, "cdefCDEF")) {
            copy(plain_escape_length);
        } else if (is_surrogate(rest_, "89abAB") && is_surrogate(rest_.substr(escape_length), "cdefCDEF")) {
            copy(2 * escape_length);
        } else {
            repaired_ += replacement_escape;
            rest_.remove_prefix(escape_length);
        }
    }

    /** \param second_digits the values of the second hexadecimal digit: 8 to b for the first of a pair of
     * surrogates, c to f for the second one
     * \return whether \p text begins with the escape of such a surrogate */
    static bool is_surrogate(std::string_view text, std::string_view second_digits) {
        constexpr std::string_view hexadecimal = "0123456789abcdefABCDEF";
        if (text.size() < escape_length || text[0] != '\\' || text[1] != 'u' ||
            text.substr(2, 4).find_first_not_of(hexadecimal) != std::string_view::npos) {
            return false;
        }
        const bool is_in_block = text[2] == 'd' || text[2] == 'D';
        return is_in_block && second_digits.find(text[3]) != std::string_view::npos;
    }

    std::string_view rest_;
    std::string repaired_;
    bool is_in_string_ = false;
};

} // namespace

std::string to_json_text(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parse_foreign_json(const std::string& text) {
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_discarded() ? json::parse(json_repair(replace_invalid_utf8(text)).run()) : parsed;
}

} // namespace laurelhoist
