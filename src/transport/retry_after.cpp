#include "transport/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>

namespace laurelhoist {

namespace {

/// \return the HTTP date \p text in seconds since 1970, or nothing if it cannot be parsed
std::optional<double> parse_http_date(const std::string& text) {
    std::tm fields{};
    std::istringstream stream(text);
    stream.imbue(std::locale::classic());
    stream >> std::get_time(&fields, "%a, %d %b %Y %H:%M:%S GMT");
    return stream.fail() ? std::nullopt : std::optional(static_cast<double>(timegm(&fields)));
}

std::optional<double> seconds_until(const std::string& retry_after, const std::string& date) {
    if (const std::optional<double> number = parse_decimal(retry_after)) {
        return number;
    }
    const std::optional<double> then = parse_http_date(retry_after);
    const std::optional<double> now = parse_http_date(date);
    return then && now ? std::optional(*then - *now) : std::nullopt;
}

} // namespace

std::optional<double> parse_decimal(std::string_view text) {
    double number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool is_number = failure == std::errc{} && stop == end && std::isfinite(number) && number >= 0;
    return is_number ? std::optional(number) : std::nullopt;
}

std::optional<duration> parse_retry_after(const std::string& text, const std::string& date) {
    constexpr double longest = std::chrono::duration<double>(max_retry_after).count();
    const std::optional<double> wait = seconds_until(text, date);
    if (!wait) {
        return std::nullopt;
    }
    const std::chrono::duration<double> time(std::min(*wait, longest));
    const auto rounded = std::chrono::duration_cast<duration>(time);
    return rounded > duration::zero() ? std::optional(rounded) : std::nullopt;
}

} // namespace laurelhoist
