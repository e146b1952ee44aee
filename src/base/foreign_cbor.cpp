#include "base/foreign_cbor.h"

#include <optional>
#include <stdexcept>
#include <vector>

namespace laurelhoist {

namespace {

/** Checks how deep CBOR is nested and whether it holds as much as it declares, without building values. */
class cbor_scan {
public:
    explicit cbor_scan(const std::string& bytes) : bytes_{bytes} {}

    /** \return whether the bytes begin with an item that is safe to parse. */
    bool run() {
        levels_.push_back({1, false, false});
        while (!levels_.empty()) {
            const level& innermost = levels_.back();
            if (!innermost.is_open_ended && innermost.items_left == 0) {
                levels_.pop_back();
            } else if (at_ == bytes_.size() || !read_item()) {
                return false;
            }
        }
        return true;
    }

private:
    enum major_type : unsigned { byte_string = 2, text = 3, array = 4, map = 5, tag = 6 };
    static constexpr unsigned info_bits = 5;
    static constexpr unsigned info_mask = 31;
    static constexpr unsigned first_info_of_argument = 24;
    static constexpr unsigned last_info_of_argument = 27;
    static constexpr unsigned open_ended_info = 31;
    static constexpr unsigned char break_code = 0xFF;

    struct level {
        std::uint64_t items_left;
        bool is_open_ended;
        bool is_text_in_parts;
    };

    std::size_t bytes_left() const { return bytes_.size() - at_; }

    bool read_item() {
        level& around = levels_.back();
        const auto first = static_cast<unsigned char>(bytes_[at_++]);
        if (first == break_code) {
            const bool ends_level = around.is_open_ended;
            levels_.pop_back();
            return ends_level;
        }
        if (!around.is_open_ended) {
            --around.items_left;
        }
        const unsigned type = first >> info_bits;
        const unsigned info = first & info_mask;
        const bool is_text = type == byte_string || type == text;
        if (type == tag || (around.is_text_in_parts && (!is_text || info == open_ended_info))) {
            return false;
        }
        if (info == open_ended_info) {
            return type >= byte_string && type <= map && open({0, true, is_text});
        }
        const std::optional<std::uint64_t> argument = read_argument(info);
        return argument && read_content(type, *argument);
    }

    /** \return the number that follows the first byte of an item, or that is in it. */
    std::optional<std::uint64_t> read_argument(unsigned info) {
        if (info < first_info_of_argument) {
            return info;
        }
        const std::size_t length = std::size_t{1} << (info - first_info_of_argument);
        if (info > last_info_of_argument || length > bytes_left()) {
            return std::nullopt;
        }
        std::uint64_t argument = 0;
        constexpr unsigned bits_in_byte = 8;
        for (std::size_t i = 0; i < length; ++i) {
            argument = argument << bits_in_byte | static_cast<unsigned char>(bytes_[at_++]);
        }
        return argument;
    }

    bool read_content(unsigned type, std::uint64_t argument) {
        switch (type) {
        case byte_string:
        case text:
            if (argument > bytes_left()) {
                return false;
            }
            at_ += static_cast<std::size_t>(argument);
            return true;
        case array:
            return argument <= bytes_left() && open({argument, false, false});
        case map:
            return argument <= bytes_left() / 2 && open({2 * argument, false, false});
        default:
            return true;
        }
    }

    bool open(level next) {
        levels_.push_back(next);
        return levels_.size() <= max_cbor_depth + 1; // One more for the level around the document.
    }

    const std::string& bytes_;
    std::size_t at_ = 0;
    std::vector<level> levels_; ///< the containers around the next item, the outermost first
};

} // namespace

json parse_foreign_cbor(const std::string& bytes) {
    if (!cbor_scan(bytes).run()) {
        throw std::invalid_argument("it is cut off, nested too deep, or declares more than it holds");
    }
    return json::from_cbor(bytes);
}

} // namespace laurelhoist
