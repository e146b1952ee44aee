/** \file
 * Brings numbers that other writers, callers and peers send into a range in which sums and conversions are
 * defined. A conversion of a larger double to an integer differs between processors.
 */
#pragma once

#include "base/clock.h"
#include "base/value_type.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

/** Longest time that is read of others. Longer ones are mistakes, and sums of them would overflow. */
constexpr duration max_foreign_time = std::chrono::hours(24 * 365);

/** \return \p number, rounded towards zero and at least \p least and at most \p most; \p least if it is not a
 * number. Both bounds must be exact as a double. */
inline std::int64_t bounded(double number, std::int64_t least, std::int64_t most) {
    if (!(number > static_cast<double>(least))) {
        return least;
    }
    return number < static_cast<double>(most) ? static_cast<std::int64_t>(number) : most;
}

/** \return \p value, at least \p least and at most \p most, both within 2^53 or powers of two.
 * \throws json::exception if \p value is not a number */
inline std::int64_t bounded(const json& value, std::int64_t least, std::int64_t most) {
    if (value.is_number_float()) {
        return bounded(value.get<double>(), least, most);
    }
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX)) {
        return most;
    }
    return std::clamp(value.get<std::int64_t>(), least, most);
}

/** \return \p ms milliseconds, at most \ref max_foreign_time in either direction; zero for no number. */
inline duration foreign_time(double ms) {
    constexpr std::int64_t most = max_foreign_time.count();
    constexpr double us_in_ms = 1000.0;
    return std::isnan(ms) ? duration::zero() : duration(bounded(ms * us_in_ms, -most, most));
}

/** As \ref foreign_time of a double, for whole milliseconds. */
inline duration foreign_time(std::int64_t ms) {
    constexpr std::int64_t most = std::chrono::duration_cast<milliseconds>(max_foreign_time).count();
    return milliseconds(std::clamp(ms, -most, most));
}

} // namespace laurelhoist
