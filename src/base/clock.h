/** \file
 * Defines the time types. Code that makes decisions takes the time as an argument, so that it runs on the
 * monotonic clock in production and on virtual time in tests.
 */
#pragma once

#include <ctime>

#include <chrono>
#include <cstdint>

namespace laurelhoist {

using duration = std::chrono::microseconds;
/** A point on the local monotonic clock; never compared between hosts. */
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** \return the current monotonic time in microseconds, including time during which the host was suspended.
 * The steady clock does not advance then, so state from before a suspension would look recent. */
inline time_point monotonic_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{seconds(now.tv_sec) +
                      std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec))};
}

/** \return wall-clock milliseconds since 1970, for display and records only, never for decisions. */
inline std::int64_t wall_clock_ms() {
    using std::chrono::system_clock;
    return std::chrono::duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/** \return \p time as microseconds of the local monotonic clock, for messages whose receiver sends it back.
 */
inline std::int64_t to_micros(time_point time) {
    return time.time_since_epoch().count();
}

/** \return the local time point for \p micros; the inverse of \ref to_micros. */
inline time_point from_micros(std::int64_t micros) {
    return time_point{duration{micros}};
}

/** \return \p span in milliseconds, including fractions. */
inline double to_ms(duration span) {
    return static_cast<double>(span.count()) / 1000.0;
}

} // namespace laurelhoist
