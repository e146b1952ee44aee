/** \file
 * Defines the reader of the server-sent events that the relay forwards. It forwards complete events only, so
 * that a caller never receives part of one, and joins the streams of several runs of a request without gaps
 * or duplicates.
 */
#pragma once

#include "relay/byte_blocks.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelhoist {

/** Finds the ends and ids of the events in a text that arrives in pieces. Looks at each byte once, and keeps
 * of an event no more than the beginning of one line. */
class event_scanner {
public:
    /** \param text the bytes that follow those of the previous call
     * \return the number of bytes up to the end of the present event, including its blank line; 0 if it does
     * not end in \p text. What follows an end belongs to the next event, which begins with \ref restart. */
    std::size_t find_end(std::string_view text);
    /** \return the number in the first `id:` line of the present event, or nothing if there is none. */
    std::optional<std::int64_t> id() const { return id_; }
    /** Prepares for another event. */
    void restart() { *this = event_scanner{}; }

private:
    void read_line_part(std::string_view part);
    bool ends_event_with_line();

    std::optional<std::int64_t> id_;
    bool has_id_line_ = false;
    std::string line_start_;         ///< of the present line
    std::size_t line_bytes_ = 0;     ///< of the present line so far
    char last_of_line_ = 0;          ///< its last byte so far
    bool has_lines_ = false;         ///< at least one line of the event has ended
    bool ended_with_return_ = false; ///< the line before did, besides its line feed
};

/** Joins the event streams of one or more runs of the same request.
 *
 * Example: the first run sends events 1 to 7 and breaks in the middle of event 8. \ref begin_run starts the
 * second run, which was asked to resume after event 7. Its event 8 is forwarded; if it sent event 7 again,
 * that event would be dropped. */
class event_joiner {
public:
    /** \param last_id id of the last event that the caller already has; 0 if it has none */
    explicit event_joiner(std::int64_t last_id) : last_id_{last_id} {}

    /** Starts the stream of another run and discards an incomplete event of the previous run. */
    void begin_run() {
        partial_.clear();
        scanner_.restart();
        is_in_order_ = true;
    }
    /** Adds body bytes of the current run and appends the complete events that the caller lacks to \p out.
     * \return the number of events appended, or nothing if an event id was skipped */
    std::optional<int> feed(std::string_view bytes, byte_blocks& out);

    std::int64_t last_id() const { return last_id_; }
    bool has_partial_event() const { return !partial_.empty(); }
    /** \return the bytes of an event that has not ended. */
    std::size_t partial_bytes() const { return partial_.size(); }

private:
    std::int64_t last_id_;
    byte_blocks partial_;
    event_scanner scanner_; ///< of the event in \ref partial_
    bool is_in_order_ = true;
};

} // namespace laurelhoist
