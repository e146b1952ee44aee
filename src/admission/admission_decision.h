/** \file
 * Decides whether a request that arrives is accepted, and when a refused caller may return.
 */
#pragma once

#include "admission/service_pressure.h"

#include <string>
#include <variant>

namespace laurelhoist {

struct admission_inputs {
    std::string request;
    bool is_pressed = false;            ///< state of the service
    double answered_ms = 0;             ///< \ref service_pressure::answered_within_ms
    duration time_left{};               ///< until the caller gives up
    int priority = 0;                   ///< 0 is the most urgent
    std::optional<duration> drain_time; ///< \ref service_pressure::drain_time
};

struct admitted {};

/** The request has been sent nowhere. */
struct rejected {
    duration retry_after{};
    const char* reason = "";
};

using admission_decision = std::variant<admitted, rejected>;

/** Rejects what cannot be answered within its time limit while the service is pressed. What will be late, but
 * within its limit, is accepted. */
admission_decision decide(const admission_inputs& inputs);

/** \return when a refused caller may return: about when the work ahead has been answered, at least 50 ms, at
 * most a third of the time that the caller has left. The times are spread, the same for each repeat of a
 * request, with the most urgent callers first. */
duration time_to_return(const admission_inputs& inputs);

} // namespace laurelhoist
