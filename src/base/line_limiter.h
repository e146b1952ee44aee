/** \file
 * Bounds the lines of the log that others can cause as often as they like.
 */
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace laurelhoist {

/** Lets one line of a kind through in each \ref interval, and counts the others. */
class line_limiter {
public:
    static constexpr duration interval = seconds(5);

    /** Counts a line that is due at \p now.
     * \return how many lines have been left out since the last one that was let through, if this one may be
     * written; otherwise nothing */
    std::optional<std::uint64_t> admit(time_point now) {
        if (admitted_at_ && now - *admitted_at_ < interval) {
            ++left_out_;
            return std::nullopt;
        }
        admitted_at_ = now;
        const std::uint64_t left_out = left_out_;
        left_out_ = 0;
        return left_out;
    }

private:
    std::optional<time_point> admitted_at_;
    std::uint64_t left_out_ = 0;
};

} // namespace laurelhoist
