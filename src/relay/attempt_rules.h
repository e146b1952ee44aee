/** \file
 * Defines what follows when one attempt at an endpoint has ended without a whole, successful answer. Pure
 * decisions: the promises "at most once" and "not run is true" rest on this table.
 */
#pragma once

#include "traffic/traffic.h"

namespace laurelhoist {

/** How an attempt at an endpoint ended. */
enum class attempt_end {
    not_sent,     ///< no connection: not one byte can have reached the endpoint
    refused,      ///< the endpoint says that it did not run the request
    misdirected,  ///< another instance is at the address: the one that was meant has gone
    failed,       ///< a whole answer that reports a failure; the request ran
    broken,       ///< the connection broke, or bytes came that are no answer; it may have run
    silent,       ///< nothing came for too long; it may have run
    out_of_order, ///< the events of the stream do not follow on one another
    declined,     ///< a good answer that is below what is wanted; nothing of it was passed on
};

const char* to_string(attempt_end end);

/** \return whether an attempt that ended so has certainly not run, and never will. */
bool proves_not_run(attempt_end end);

/** What is known of a request when one of its attempts has ended. */
struct retry_context {
    bool may_repeat = false;       ///< \see traffic_route::may_repeat
    bool may_have_run = false;     ///< in this attempt or an earlier one
    bool has_begun_answer = false; ///< the caller has received a part
    int attempts = 0;              ///< endpoints that it was sent to
    int max_attempts = 1;
    bool is_caller_gone = false;
    bool is_expired = false;
    bool has_budget = true; ///< the shared budget has room for another attempt
};

enum class follow_up_step {
    retry, ///< at another endpoint; a stream goes on after its last event
    refuse,    ///< 503: not run, and never will be
    fail,      ///< 502: it may have run
    expire,    ///< 504: it may have run, and the time is up
    forward_failure,   ///< the endpoint's own failure, as it is
    abort_answer,       ///< a begun answer that cannot be completed: close, so that it does not look whole
    discard,    ///< the caller has left
};

/** \return what to do after an attempt that ended with \p end. */
follow_up_step next_step_after(const retry_context& context, attempt_end end);

/** \param since the planned stop began \param stop_time from its beginning to the end of the process
 * \return whether a request on \p route that arrives now is over before the process ends, whatever happens;
 * of a stream, whose time limit is longer than any stop, whether it usually is */
bool can_finish_before_stop(const traffic_route& route, duration since, duration stop_time);

} // namespace laurelhoist
