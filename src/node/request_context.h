/** \file
 * Defines what an entry holds of one open request. The request's chart (charts/request.scxml) says what may
 * happen to it next.
 */
#pragma once

#include "node/entry_port.h"

namespace laurelhoist {

/** An answer that has arrived and waits to be rated, billed or released. */
struct pending_answer {
    std::string text;
    version_name version;
    json body; ///< of a service
    int status = 200;
    int tier = -1;
    std::int64_t tokens = 0;
    std::optional<double> score;
};

/** One open request. Immutable once admitted, but for what its events change. */
struct request_context {
    std::string state;

    // What was asked.
    std::string id;      ///< made by the entry, new for each call of a caller
    std::string bill_id; ///< the caller's key if it sent one, else \c id
    caller_request incoming;
    team_entry team;
    session_pins pins;
    std::string request_digest;
    std::string pool;
    bool is_idempotent = true;
    time_point arrived;
    time_point deadline;

    // Where it stands.
    std::vector<version_name> ladder; ///< versions that it may use now, from cheap to costly
    std::size_t tier = 0;
    bool has_stepped_up = false;
    bool stepped_without_rating = false;
    std::string claim_attempt;
    bool holds_claim = false;
    std::optional<claim_record> taken_claim;
    time_point claim_sent;
    int attempts = 0;
    int resumes = 0;
    std::set<std::string> avoided;
    bool is_queued = false;
    time_point queued_since;

    // The call in progress.
    std::string call_id;
    endpoint_record endpoint;
    time_point call_started;
    std::optional<version_name> pin_at_dispatch; ///< the version that the session was pinned to

    // What has happened.
    bool may_have_run = false;         ///< a call was sent and its "not run" is not certain
    bool earlier_may_have_run = false; ///< the same before the call in progress
    int parts_streamed = 0;
    int resume_from = 0;
    std::int64_t cost_micro = 0;
    std::optional<pending_answer> answer;  ///< the latest
    std::optional<pending_answer> earlier_answer; ///< the best rated one before it
    std::string rating_id;
    std::string moved_from;
    time_point billing_since;
    std::optional<error> refusal;

    const version_name& version() const { return ladder[tier]; }
    bool is_service() const { return !incoming.service.empty(); }
    /** The lane it waits in: requests of one lane are interchangeable for an endpoint. */
    std::string queue_name() const { return is_service() ? "service:" + pool : version(); }
};

} // namespace laurelhoist
