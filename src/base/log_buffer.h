/** \file
 * Defines the lines of the log that wait for a reader. Contains no input or output; see log.cpp for it.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace laurelhoist {

/** Lines that wait for a reader, bounded in bytes. Those that do not fit are counted, and a line tells their
 * number as soon as there is room for it. */
class log_buffer {
public:
    /// About one second of output at the highest load.
    static constexpr std::size_t max_bytes = 256 << 10;

    /** Adds \p line, or counts it as dropped if it does not fit. */
    void add(std::string_view line);
    /** Counts a line that was dropped for another reason than room. */
    void count_dropped() { ++dropped_; }
    /** \return the bytes to write, in their order; valid until the next call. */
    std::string_view waiting();
    /** Removes the first \p bytes, which the reader has taken. */
    void remove(std::size_t bytes) { bytes_.erase(0, bytes); }
    std::size_t size() const { return bytes_.size(); }

private:
    bool has_room(std::size_t line_bytes) const { return bytes_.size() + line_bytes < max_bytes; }
    void tell_dropped();

    std::string bytes_;
    std::uint64_t dropped_ = 0;
};

} // namespace laurelhoist
