/** \file
 * Defines the interface through which an entry acts. The program implements it with sockets; tests and the
 * simulation implement it with events of a virtual clock. No method may call back into the core before it
 * returns.
 */
#pragma once

#include "node/messages.h"
#include "placement/placement.h"
#include "routing/routing.h"

namespace laurelhoist {

/** Identifies a caller's open connection. */
using caller_handle = std::uint64_t;

/** A request as a caller sent it. */
struct caller_request {
    caller_handle caller = 0;
    std::string team_key;
    std::string service; ///< empty for a model request
    std::string path;    ///< path of the service call
    std::string kind;    ///< the caller's label for this sort of request; quality is learned per label
    std::string idempotency_key; ///< empty: none
    std::string session;         ///< token from an earlier reply, or the caller's own id; may be empty
    std::string prefix;          ///< identifies the start of the prompt, for the prefix cache
    bool stream = false;
    json body;
    int expected_tokens = 200;
};

/** One request of a recorded trace (docs/INTERFACES.md): the properties that decisions depend on, without the
 * prompt and the team's key. */
struct trace_line {
    std::int64_t at_us = 0; ///< since the beginning of the trace
    std::string team;
    std::string kind;
    std::string service;
    std::string path;
    bool stream = false;
    int tokens = 200;
};
LAUREL_VALUE_TYPE(trace_line, at_us, team, kind, service, path, stream, tokens)

/** A call to an endpoint. */
struct endpoint_call {
    std::string call_id; ///< echoed by the answer
    std::string request_id;
    endpoint_record endpoint;
    std::string version; ///< model@version, empty for services
    std::string path;    ///< path of a service call
    json body;
    bool stream = false;
    bool is_idempotent = true;
    int resume_from = 0; ///< number of stream parts that have arrived; the answer continues after them
    int priority = 0;    ///< a larger number is more urgent
    duration timeout{};  ///< for the whole answer, or of a stream for each gap between two parts
};

/** How a call ended. */
struct endpoint_answer {
    call_result result = call_result::failed;
    std::string request_id; ///< request id that the endpoint echoes
    std::string version;    ///< model@version that the engine reports
    bool version_missing = false;
    bool is_silent = false; ///< nothing arrived within the call's timeout
    json body;              ///< response body of a service
    int status = 0;         ///< HTTP status; 0 if none arrived
    std::string text;
    std::int64_t tokens = 0;
    load_report report;
    endpoint_statement statement;
};

/** The complete reply to a caller. */
struct caller_reply {
    caller_handle caller = 0;
    int status = 200;
    json body;
    std::string request_id;
    std::string session; ///< session token that the caller sends with its next request
    std::string version;
    std::string moved_from; ///< the pinned version that may no longer be used, if the session was moved
    int tier = -1;
    int retry_after_ms = 0;
};

/** A part of a streamed answer. */
struct stream_part {
    enum class kind { text, restart, end, failure };
    kind what = kind::text;
    caller_handle caller = 0;
    std::string text;
    caller_reply summary; ///< metadata of the reply; with the last part also its status and body
};

/** An answer to rate. */
struct rating_request {
    std::string call_id;
    std::string request_id;
    version_name version;
    json request;
    std::string answer;
};

class entry_port {
public:
    entry_port() = default;
    entry_port(const entry_port&) = delete;
    entry_port& operator=(const entry_port&) = delete;
    virtual ~entry_port() = default;

    virtual void call_endpoint(const endpoint_call& call) = 0;
    virtual void cancel_call(const std::string& call_id) = 0;
    virtual void request_rating(const rating_request& request) = 0;
    virtual void send_to_steward(const std::string& incarnation, const node_message& message) = 0;
    virtual void reply(const caller_reply& reply) = 0;
    virtual void stream(const stream_part& part) = 0;
    /** \return milliseconds since 1970 on the wall clock, for records. */
    virtual std::int64_t wall_clock_ms() const = 0;
};

} // namespace laurelhoist
