/** \file
 * Defines parsers for Retry-After and other header fields that hold decimal numbers.
 */
#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelhoist {

/// Longer values are mistakes, which would keep an endpoint out of use permanently.
constexpr duration max_retry_after = std::chrono::hours(1);

/** \return \p text as a decimal number, or nothing if it is not a number, negative or infinite. */
std::optional<double> parse_decimal(std::string_view text);

/** \param text value of a Retry-After field: seconds, with or without a fraction, or an HTTP date
 * \param date value of the Date field of the same response, to which a date in \p text is relative; empty if
 * the response has none
 * \return the time to wait, at most \ref max_retry_after; nothing if it is not positive or cannot be parsed
 */
std::optional<duration> parse_retry_after(const std::string& text, const std::string& date);

} // namespace laurelhoist
