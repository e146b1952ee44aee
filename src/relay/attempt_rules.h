/** \file
 * Defines what the relay does when an attempt at an endpoint ends without a complete, successful answer. The
 * functions are pure. They guarantee that a request that may not be repeated runs at most once, and that a
 * request reported as "not run" has not run.
 */
#pragma once

#include "traffic/traffic.h"

namespace laurelhoist {

/** How an attempt at an endpoint ended. */
enum class attempt_end {
    not_sent,     ///< no connection was made, so no byte of the request reached the endpoint
    refused,      ///< the endpoint states that it did not run the request
    misdirected,  ///< another instance now answers at the address; the intended one is gone
    failed,       ///< a complete answer that reports a failure; the request ran
    broken,       ///< the connection broke or the answer was invalid; the request may have run
    silent,       ///< timed out, or the caller read too slowly; the request may have run
    out_of_order, ///< the event ids of the stream are not consecutive
    declined,     ///< a valid answer whose confidence is too low; none of it was forwarded
    unsuitable,   ///< a complete answer that cannot continue the stream of which the caller has a part
};

const char* to_string(attempt_end end);

/** \return whether \p end proves that the attempt did not run the request and never will. */
bool proves_not_run(attempt_end end);

/** The state of a request when one of its attempts has ended. */
struct retry_context {
    bool may_repeat = false;       ///< \see traffic_route::may_repeat
    bool may_have_run = false;     ///< this attempt or an earlier one may have run the request
    bool has_begun_answer = false; ///< the caller has received part of the answer
    int attempts = 0;              ///< number of endpoints that the request was sent to
    int max_attempts = 1;
    bool is_caller_gone = false;
    bool is_expired = false;
    bool has_budget = true; ///< the retry budget and the limit on unreachable endpoints allow another attempt
};

/** What to do after an attempt has ended without success. */
enum class follow_up_step {
    retry,  ///< sends the request again, elsewhere if possible; a stream resumes after its last event
    refuse, ///< answers 503: the request has not run and never will
    fail,   ///< answers 502: the request may have run
    expire, ///< answers 504: the request may have run and its deadline has passed
    forward_failure, ///< forwards the endpoint's failure answer unchanged
    abort_answer,    ///< resets the caller's connection, so that a partial answer does not look complete
    discard,         ///< does nothing more, as the caller has disconnected
};

/** \return what to do after an attempt that ended with \p end, which \p context already reflects. */
follow_up_step next_step_after(const retry_context& context, attempt_end end);

} // namespace laurelhoist
