/** \file
 * Defines the time types. Decisions take the time as an argument, so the same code runs under the
 * monotonic clock in production and under virtual time in tests.
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

/** \return the monotonic time now, in microseconds, with the time that the host was suspended. The steady
 * clock stands still meanwhile, and beliefs held by a host that wakes would look fresh. */
inline time_point monotonic_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{seconds(now.tv_sec) +
                      std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec))};
}

/** \return wall-clock milliseconds since 1970, for people and records only, never for decisions. */
inline std::int64_t wall_clock_ms() {
    using std::chrono::system_clock;
    return std::chrono::duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/** \return \p time as microseconds of the local monotonic clock, for echoing through messages. */
inline std::int64_t to_micros(time_point time) {
    return time.time_since_epoch().count();
}

/** \return the local time point that \ref to_micros turned into \p micros. */
inline time_point from_micros(std::int64_t micros) {
    return time_point{duration{micros}};
}

/** \return \p span in milliseconds, with fractions. */
inline double to_ms(duration span) {
    return static_cast<double>(span.count()) / 1000.0;
}

} // namespace laurelhoist
