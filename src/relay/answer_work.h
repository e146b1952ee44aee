/** \file
 * Decides how much of long answers is read before the other requests of a host have their turn.
 */
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace laurelhoist {

/** \return the work that reading a part of an answer causes, in units of that of a byte of a body.
 * \param bytes of the part, framing included
 * \param body_bytes those of its body */
constexpr std::size_t work_of_reading(std::size_t bytes, std::size_t body_bytes) {
    constexpr std::size_t units_per_framing_byte = 4; // A chunk of one byte costs about 20 times as much.
    return body_bytes + units_per_framing_byte * (bytes - body_bytes);
}

/** The work that one answer has caused, in units of \ref work_of_reading. */
struct answer_work {
    std::size_t total = 0;   ///< since its first byte
    std::size_t in_tick = 0; ///< in \ref tick, beyond \ref answer_work_budget::free_units
    std::uint64_t tick = 0;  ///< number of the tick in which it last caused any

    bool operator==(const answer_work& other) const {
        return total == other.total && in_tick == other.in_tick && tick == other.tick;
    }
};

/** Divides the work that long answers may cause in each tick evenly among them. It is bounded while the
 * process lacks processor time, which a late tick shows, and grows again with each tick in time. Short
 * answers, and streams that arrive at the pace of an engine, are never bounded. */
class answer_work_budget {
public:
    static constexpr std::size_t min_units_per_tick = 2 << 20;   ///< for all long answers together
    static constexpr std::size_t max_units_per_tick = 64 << 20;  ///< the same; more than a process can read
    static constexpr std::size_t free_units = 128 << 10;         ///< of each answer
    static constexpr std::size_t free_units_per_tick = 32 << 10; ///< of each answer, beyond \ref free_units

    /// A tick that is later than this shows that the process lacks processor time.
    static constexpr duration max_delay = milliseconds(15);

    /** \param delay by how much the tick is later than it was due */
    void begin_tick(duration delay);
    /** Records that reading a part of an answer caused \p units of work.
     * \return whether more of that answer may be read in this tick */
    bool spend(answer_work& of, std::size_t units);
    /** \return the units that one long answer may have in this tick. */
    std::size_t share() const;

private:
    std::size_t units_per_tick_ = max_units_per_tick;
    std::uint64_t tick_ = 1;
    std::size_t spent_ = 0;          ///< by long answers in this tick
    std::size_t sharers_ = 0;        ///< answers beyond \ref free_units_per_tick in this tick
    std::size_t sharers_before_ = 0; ///< those in the tick before
};

} // namespace laurelhoist
