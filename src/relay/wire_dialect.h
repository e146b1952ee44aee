/** \file
 * Defines what the relay needs to know of a request and of an answer, in its own terms, and the interface of
 * the one who reads them from header fields and writes them there.
 */
#pragma once

#include "placement/placement.h"
#include "relay/http_codec.h"

namespace laurelhoist {

/** One part of a prompt; requests whose prompts begin with the same parts share what an engine has read. */
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;
};

/** What a caller's request says of itself. */
struct request_terms {
    std::string id;
    std::string host;
    bool has_key = false;
    std::string key;
    duration time_left{};           ///< how long the caller will wait; zero: not said
    std::int64_t last_event_id = 0; ///< the event that a resumed stream goes on after; 0: from the start
    std::string session;
    std::int64_t input_tokens = 0;
    std::vector<prompt_part> prompt; ///< in order; the last part is the request's or its session's own
};

/** What the relay adds when it sends a request to an endpoint. */
struct dispatch_terms {
    duration time_left{};
    std::string endpoint;          ///< the instance that is meant; another one at its address must not run it
    std::string team;              ///< empty: an anonymous caller
    std::string model;             ///< empty: as the caller named it
    int urgency = 5;               ///< 0 is served first
    std::int64_t resume_after = 0; ///< 0: as the caller said
};

/** What an endpoint's answer says of itself. */
struct answer_terms {
    bool is_not_run = false;     ///< the endpoint states that it did not run the request
    bool is_misdirected = false; ///< another instance than the one that was meant is at the address
    bool has_receipt = false;
    std::string request_id;
    std::optional<int> confidence; ///< the model's own opinion of its answer, 0 to 100
    endpoint_statement says;       ///< of the endpoint itself
};

/** Reads and writes the header fields of requests and answers. */
class wire_dialect {
public:
    wire_dialect() = default;
    wire_dialect(const wire_dialect&) = delete;
    wire_dialect& operator=(const wire_dialect&) = delete;
    virtual ~wire_dialect() = default;

    virtual request_terms read_request(const caller_request& request) const = 0;
    /** \return the whole message for the endpoint, body included. */
    virtual std::string write_request(const caller_request& request, const dispatch_terms& terms) const = 0;
    virtual answer_terms read_answer(int status, const header_list& headers) const = 0;
    /** \return the header fields of an answer of our own to the request \p id. */
    virtual header_list relay_answer_headers(const std::string& id, duration retry_after) const = 0;
};

} // namespace laurelhoist
