/** \file
 * Measures how the work for foreign bytes grows with their number.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <ctime>
#include <limits>

namespace laurelhoist {

/** \return the processor time of this thread in seconds, which other processes do not add to. */
inline double thread_cpu_s() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double s_in_ns = 1e-9;
    return static_cast<double>(time.tv_sec) + s_in_ns * static_cast<double>(time.tv_nsec);
}

/** \return by which factor the work for \p bytes grows if they become four times as many: about 4 if it is
 * linear, 16 if each piece has all before it searched again. The least of several runs counts, as
 * disturbances only add time.
 * \param work is called with a number of bytes */
template <class Work>
double growth_at_four_times(std::size_t bytes, const Work& work) {
    constexpr int runs = 9;
    const auto least_s = [&](std::size_t size) {
        double least = std::numeric_limits<double>::max();
        for (int run = 0; run < runs; ++run) {
            const double begin = thread_cpu_s();
            work(size);
            least = std::min(least, thread_cpu_s() - begin);
        }
        return least;
    };
    const double once = least_s(bytes);
    return least_s(4 * bytes) / once;
}

/// Between linear growth (4) and quadratic growth (16).
constexpr double max_linear_growth = 8;

} // namespace laurelhoist
