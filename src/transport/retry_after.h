/** \file
 * Defines how the numbers and times in header fields are read that tell a client when to come back.
 */
#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelhoist {

/// More is a mistake, and would keep an endpoint out for good.
constexpr duration max_retry_after = std::chrono::hours(1);

/** \return \p text as a number with or without a fraction, or nothing if it is none, negative or infinite. */
std::optional<double> parse_decimal(std::string_view text);

/** \param text value of a Retry-After field: seconds, with or without a fraction, or a date as HTTP writes it
 * \param date value of the Date field beside it, from which a date in \p text counts; empty: there is none
 * \return the time to wait, at most \ref max_retry_after; nothing if it is none at all or cannot be read
 */
std::optional<duration> parse_retry_after(const std::string& text, const std::string& date);

} // namespace laurelhoist
