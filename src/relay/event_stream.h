/** \file
 * Defines the reader of the server-sent events that the relay forwards. It forwards complete events only, so
 * that a caller never receives part of one, and joins the streams of several runs of a request without gaps
 * or duplicates.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelhoist {

/** Finds the end of the first event in a text that grows. Looks at each byte once, however small the pieces
 * are in which the text arrives. */
class event_end_search {
public:
    /** \param text the event as far as it has arrived; begins with the text of the previous call
     * \return the length of the first complete event, including its blank line, or 0 */
    std::size_t find_in(std::string_view text);
    /** Prepares for another text. */
    void restart() { searched_bytes_ = 0; }

private:
    std::size_t searched_bytes_ = 0; ///< those at the beginning of the text that hold no end of an event
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
        end_search_.restart();
        is_in_order_ = true;
    }
    /** Adds body bytes of the current run and appends the complete events that the caller lacks to \p out.
     * \return the number of events appended, or nothing if an event id was skipped */
    std::optional<int> feed(std::string_view bytes, std::string& out);

    std::int64_t last_id() const { return last_id_; }
    bool has_partial_event() const { return !partial_.empty(); }
    /** \return the bytes of an event that has not ended. */
    std::size_t partial_bytes() const { return partial_.size(); }

private:
    std::int64_t last_id_;
    std::string partial_;
    event_end_search end_search_; ///< of the event in \ref partial_
    bool is_in_order_ = true;
};

/** \return the number in the `id:` line of \p event, or nothing if there is none. */
std::optional<std::int64_t> event_id(std::string_view event);

} // namespace laurelhoist
