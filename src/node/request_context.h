/** \file
 * Defines the state of one open request in an entry. Its transitions are in charts/request.scxml.
 */
#pragma once

#include "node/entry_port.h"

namespace laurelhoist {

/** An answer that has arrived and waits to be rated, billed or released. */
struct pending_answer {
    std::string text;
    version_name version;
    json body; ///< response body of a service
    int status = 200;
    int tier = -1;
    std::int64_t tokens = 0;
    std::optional<double> score;
};

/** One open request. */
struct request_context {
    std::string state;

    // The request as admitted. Only \c pool changes later, with the version that is chosen.
    std::string id;      ///< created by the entry for each call of a caller
    std::string bill_id; ///< the caller's idempotency key if it sent one, else \c id
    caller_request incoming;
    team_entry team;
    session_pins pins;
    std::string request_digest;
    std::string pool;
    bool is_idempotent = true;
    time_point arrived;
    time_point deadline;

    // Progress.
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
    std::set<std::string> avoided; ///< endpoints that have refused or failed it; cleared by a step up
    bool is_queued = false;
    time_point queued_since;

    // The call in progress.
    std::string call_id;
    endpoint_record endpoint;
    time_point call_started;
    std::optional<version_name> pin_at_dispatch; ///< the version that the session was pinned to at dispatch

    // Results so far.
    bool may_have_run = false;         ///< a call that was sent may have run
    bool earlier_may_have_run = false; ///< \c may_have_run before the call in progress
    int parts_streamed = 0;
    int resume_from = 0;
    std::int64_t cost_micro = 0;
    std::optional<pending_answer> answer;         ///< the latest whole answer
    std::optional<pending_answer> earlier_answer; ///< the best rated answer before \c answer
    std::string rating_id;
    std::string moved_from;
    time_point billing_since;
    std::optional<error> refusal;

    const version_name& version() const { return ladder[tier]; }
    bool is_service() const { return !incoming.service.empty(); }
    /** \return the name of its queue: the same endpoints can serve all requests of one queue. */
    std::string queue_name() const { return is_service() ? "service:" + pool : version(); }
};

} // namespace laurelhoist
