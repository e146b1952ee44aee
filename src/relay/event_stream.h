/** \file
 * Defines the reader of server-sent events that the relay passes on: it cuts a stream at the ends of events,
 * so that a caller never sees half of one, and keeps the joined stream of several runs without a gap or a
 * repeat.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelhoist {

/** Joins the event streams of one or more runs of the same request.
 *
 * Example: the first run gives events 1 to 7 and breaks in the middle of 8. \ref begin_run starts the second,
 * which was asked to go on after 7; its 8 is passed on, and a 7 that comes again would be dropped. */
class event_joiner {
public:
    /** \param last_id the last event that the caller already has; 0: none */
    explicit event_joiner(std::int64_t last_id) : last_id_{last_id} {}

    /** Starts the stream of another run; half an event of the run before is dropped. */
    void begin_run() {
        partial_.clear();
        is_in_order_ = true;
    }
    /** Adds body bytes of the present run and appends the whole events that the caller lacks to \p out.
     * \return the number of events appended, or nothing if an event is missing before these */
    std::optional<int> feed(std::string_view bytes, std::string& out);
    /** Appends what follows the last whole event; to be called when the run has ended in order. */
    void finish(std::string& out);

    std::int64_t last_id() const { return last_id_; }
    bool has_partial_event() const { return !partial_.empty(); }

private:
    std::int64_t last_id_;
    std::string partial_;
    bool is_in_order_ = true;
};

/** \return the number in the `id:` line of \p event, or nothing. */
std::optional<std::int64_t> event_id(std::string_view event);

} // namespace laurelhoist
