/** \file
 * Decides when the response to a waiting watch call has been lost.
 */
#pragma once

#include "base/base.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace laurelhoist {

/** Notices a watch call that waits on a connection on which a response was lost, which returns nothing
 * further. The store's revision counts the changes of all kinds of objects. A call that was sent before the
 * store reached a revision either brings it within \ref response_slack, or there was no change of its kind,
 * or its response was lost. The last two look alike from here, so the call is made anew once for a revision.
 */
class response_check {
public:
    /// Time for a response that is under way when another watch is told of its revision.
    static constexpr duration response_slack = milliseconds(300);

    /** A call has been sent. */
    void begin_call() {
        is_waiting_ = true;
        asked_at_revision_ = newest_revision_;
        in_doubt_since_.reset();
    }
    /** The call has ended, or was given up. */
    void end_call() {
        is_waiting_ = false;
        in_doubt_since_.reset();
    }
    /** Notes that the store is at \p revision, as another call was told, while the copy is at \p held.
     * \return whether this casts doubt on the call in progress, so that \ref is_overdue may come true */
    bool note(std::int64_t revision, std::int64_t held, time_point now) {
        newest_revision_ = std::max(newest_revision_, revision);
        const bool begins =
            is_waiting_ && !in_doubt_since_ && revision > held && revision > asked_at_revision_;
        if (begins) {
            in_doubt_since_ = now;
        }
        return begins;
    }
    /** \return whether the call in progress must be made anew. */
    bool is_overdue(time_point now) const {
        return in_doubt_since_ && now - *in_doubt_since_ >= response_slack;
    }

private:
    bool is_waiting_ = false;
    std::int64_t newest_revision_ = 0;   ///< that any call was told
    std::int64_t asked_at_revision_ = 0; ///< \ref newest_revision_ when the call in progress was sent
    std::optional<time_point> in_doubt_since_;
};

} // namespace laurelhoist
