/** \file
 * Defines the typed errors and the result type. An error states what went wrong, how to fix it, whether
 * the caller's request has run, and when to retry.
 */
#pragma once

#include "base/value_type.h"

#include <string>
#include <utility>
#include <variant>

namespace laurelhoist {

/** The kind of an error; each has one HTTP status and one remedy page. */
enum class error_kind {
    invalid_setting,
    invalid_request,
    invalid_bundle,
    unauthorized,
    forbidden,
    not_found,
    conflict,
    too_large,
    rate_limited,
    queue_full,
    no_capacity,
    not_fresh,
    withdrawn,
    deadline_exceeded,
    outcome_unknown,
    in_progress,
    endpoint_failed,
    quality_unmet,
    ledger_unavailable,
    platform_unavailable,
    stopping,
    internal,
};

/** Whether a refused or failed request has run. */
enum class ran_state { no, yes, unknown };

NLOHMANN_JSON_SERIALIZE_ENUM(ran_state, {{ran_state::no, "no"},
                                         {ran_state::yes, "yes"},
                                         {ran_state::unknown, "unknown"}})

/** \return the name of \p kind that is used in answers and logs. */
const char* to_string(error_kind kind);
/** \return the HTTP status code for \p kind. */
int http_status(error_kind kind);

/** A typed error. \c message says what happened and how to fix it. */
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
    ran_state ran = ran_state::no;
    int retry_after_ms = 0; ///< delay before a retry; 0 if none is suggested
};

bool operator==(const error& left, const error& right);
bool operator!=(const error& left, const error& right);

/** \return the JSON body by which errors are reported to callers. */
json to_error_body(const error& failure, const std::string& request_id);

/** Either a value or the error that prevented it. */
template <class T>
using outcome = std::variant<T, error>;

/** \return the value of \p result, or null if it is an error. */
template <class T>
const T* value_of(const outcome<T>& result) {
    return std::get_if<T>(&result);
}

/** \return the error of \p result, or null if it is a value. */
template <class T>
const error* error_of(const outcome<T>& result) {
    return std::get_if<error>(&result);
}

} // namespace laurelhoist
