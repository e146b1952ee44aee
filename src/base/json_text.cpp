#include "base/json_text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

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

/** Builds a document from the parser's events, without the values that are nested too deep or too large. */
class bounded_builder {
public:
    enum class on_error { stop, raise };

    bounded_builder(on_error reaction, const omission_handler& on_omitted, const element_bounds& bounds)
        : reaction_{reaction}, on_omitted_{on_omitted}, bounds_{bounds} {}

    json take() { return std::move(root_); }

    bool null() { return add(json()); }
    bool boolean(bool value) { return add(value); }
    bool number_integer(json::number_integer_t value) { return add(value); }
    bool number_unsigned(json::number_unsigned_t value) { return add(value); }
    bool number_float(json::number_float_t value, const std::string& /*text*/) { return add(value); }
    bool string(std::string& value) { return add(std::move(value)); }
    bool binary(json::binary_t& value) { return add(std::move(value)); }
    bool start_object(std::size_t /*size*/) { return open(json::object()); }
    bool start_array(std::size_t /*size*/) { return open(json::array()); }
    bool end_object() { return close(); }
    bool end_array() { return close(); }

    bool key(std::string& name) {
        if (omitted_levels_ == 0) {
            member_ = &(*open_.back())[name];
        }
        return true;
    }

    template <class Failure>
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/, const Failure& failure) {
        if (reaction_ == on_error::raise) {
            throw failure;
        }
        return false;
    }

private:
    json& place(json value) {
        if (open_.empty()) {
            return root_ = std::move(value);
        }
        json& parent = *open_.back();
        return parent.is_array() ? parent.emplace_back(std::move(value)) : *member_ = std::move(value);
    }

    bool add(json value) {
        count_value();
        if (omitted_levels_ == 0) {
            count_kept();
            place(std::move(value));
        }
        return true;
    }

    bool open(json container) {
        count_value();
        if (omitted_levels_ == 0 && open_.size() < max_foreign_depth) {
            count_kept();
            open_.push_back(&place(std::move(container)));
        } else if (++omitted_levels_ == 1) {
            place(json());
            report_omission();
        }
        return true;
    }

    void count_kept() {
        if (bounds_.max_total > 0 && ++kept_values_ > bounds_.max_total) {
            throw std::length_error("more than " + std::to_string(bounds_.max_total) +
                                    " values in one document; list fewer objects at a time");
        }
    }

    /** Counts the next value, and leaves out the field or the object that holds it if that has too many. */
    void count_value() {
        const std::size_t level = open_.size();
        if (bounds_.max_values == 0 || omitted_levels_ > 0) {
            return;
        }
        if (level <= bounds_.element_level) {
            values_of_element_ = 0;
        } else if (level <= bounds_.field_level) {
            values_of_field_ = 0;
            if (++values_of_element_ > bounds_.max_values) {
                omit_container(level - 1);
            }
        } else if (++values_of_field_ > bounds_.max_values) {
            omit_container(bounds_.field_level);
        }
    }

    /** Makes null of the open container at \p level, and ignores what follows in it. */
    void omit_container(std::size_t level) {
        omitted_levels_ = open_.size() - level;
        *open_[level] = json();
        open_.resize(level);
        report_omission();
    }

    void report_omission() {
        if (on_omitted_) {
            on_omitted_(root_);
        }
    }

    bool close() {
        if (omitted_levels_ > 0) {
            --omitted_levels_;
        } else {
            open_.pop_back();
        }
        return true;
    }

    on_error reaction_;
    const omission_handler& on_omitted_;
    const element_bounds& bounds_;
    json root_;
    std::vector<json*> open_; ///< the containers around the next value, the outermost first
    json* member_ = nullptr;  ///< of the innermost container, if it is an object: where its next value goes
    std::size_t omitted_levels_ = 0;
    std::size_t values_of_element_ = 0; ///< of the current element, without those of its fields
    std::size_t values_of_field_ = 0;
    std::size_t kept_values_ = 0;
};

} // namespace

std::string to_json_text(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parse_foreign_json(const std::string& text, const omission_handler& on_omitted,
                        const element_bounds& bounds) {
    bounded_builder as_sent(bounded_builder::on_error::stop, on_omitted, bounds);
    if (json::sax_parse(text, &as_sent)) {
        return as_sent.take();
    }
    bounded_builder repaired(bounded_builder::on_error::raise, on_omitted, bounds);
    json::sax_parse(json_repair(replace_invalid_utf8(text)).run(), &repaired);
    return repaired.take();
}

} // namespace laurelhoist
