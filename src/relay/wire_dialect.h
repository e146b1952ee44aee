/** \file
 * Defines the information that the relay reads from requests and answers, and the interface that maps it to
 * and from the header fields of a deployment.
 */
#pragma once

#include "placement/placement.h"
#include "relay/http_codec.h"

namespace laurelhoist {

/** One part of a prompt. Requests whose prompts begin with the same parts can share a prefix cache. */
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;
};

/** Information about a caller's request. */
struct request_terms {
    std::string id;
    std::string host;
    bool has_key = false;
    std::string key;
    duration time_left{};           ///< how long the caller will wait; zero if not stated
    std::int64_t last_event_id = 0; ///< event after which a stream is to resume; 0 for the start
    std::string session;
    std::int64_t input_tokens = 0;
    /// Endpoints to which another host has sent the request before it forwarded it; callers cannot set it.
    int earlier_attempts = 0;
    std::vector<prompt_part> prompt; ///< in order; the last part is specific to the request or its session
};

/** Information that the relay adds to a request that it sends to an endpoint. */
struct dispatch_terms {
    duration time_left{};
    std::string endpoint;          ///< intended instance; another one at its address must not run the request
    std::string team;              ///< empty for an anonymous caller
    std::string model;             ///< empty to keep the model that the caller named
    int urgency = 5;               ///< 0 is the most urgent
    std::int64_t resume_after = 0; ///< event after which to resume a stream; 0 to keep the caller's value
    int earlier_attempts = 0;      ///< of a forwarded request, see \ref request_terms::earlier_attempts
};

/** Information about an endpoint's answer. */
struct answer_terms {
    bool is_not_run = false;     ///< the endpoint states that it did not run the request
    bool is_misdirected = false; ///< an instance other than the intended one answered
    bool has_receipt = false;    ///< without a receipt, a successful answer is treated as broken
    std::string request_id;
    std::optional<int> confidence; ///< the model's confidence in its answer, 0 to 100
    endpoint_statement statement;  ///< the endpoint's statement about itself
    int attempts = 0; ///< in another host's refusal: endpoints to which the request was sent in all
};

/** Reads and writes the header fields of requests and answers. */
class wire_dialect {
public:
    wire_dialect() = default;
    wire_dialect(const wire_dialect&) = delete;
    wire_dialect& operator=(const wire_dialect&) = delete;
    virtual ~wire_dialect() = default;

    virtual request_terms read_request(const caller_request& request) const = 0;
    /** \return the complete message for the endpoint, including the body. */
    virtual std::string write_request(const caller_request& request, const dispatch_terms& terms) const = 0;
    /** \return the complete message that forwards the request to another host, with the caller's key. */
    virtual std::string write_forwarded_request(const caller_request& request,
                                                const dispatch_terms& terms) const = 0;
    virtual answer_terms read_answer(int status, const header_list& headers) const = 0;
    /** \return the header fields of an answer that the relay itself gives to the request \p id. */
    virtual header_list relay_answer_headers(const std::string& id, duration retry_after) const = 0;
    /** Adds to \p headers, which answer a forwarded request, to how many endpoints it was sent in all. */
    virtual void add_attempts(header_list& headers, int attempts) const = 0;
};

} // namespace laurelhoist
