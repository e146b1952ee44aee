/** \file
 * Defines what the programs share: the settings that each of them has, and the health and metrics pages.
 */
#pragma once

#include "transport/transport.h"

namespace laurelhoist {

/** Answers /healthz, /readyz and /metrics.
 * \param is_ready what /readyz says
 * \return false if the request is for another page */
inline bool serve_health_pages(const http_request& request, const std::shared_ptr<http_responder>& responder,
                               const metrics& node_metrics, bool is_ready) {
    if (request.path == "/healthz") {
        responder->reply(200, {}, R"({"healthy":true})");
        return true;
    }
    if (request.path == "/readyz") {
        responder->reply(is_ready ? 200 : 503, {}, json{{"ready", is_ready}}.dump());
        return true;
    }
    if (request.path == "/metrics") {
        responder->reply(200, {{"Content-Type", "text/plain"}}, node_metrics.to_text());
        return true;
    }
    return false;
}

/** Answers with an error that belongs to no request. */
inline void reply_with_error(const std::shared_ptr<http_responder>& responder, const error& failure) {
    http_headers headers;
    if (failure.retry_after_ms > 0) {
        headers["Retry-After"] = std::to_string((failure.retry_after_ms + 999) / 1000);
    }
    responder->reply(http_status(failure.kind), headers, to_error_body(failure, "").dump());
}

constexpr int max_json_depth = 32;

/** \return the JSON object in \p text, or an error with the remedy. Nesting is bounded before anything
 * walks the document, so that a caller's brackets cannot exhaust the stack. */
inline outcome<json> parse_json_object(const std::string& text) {
    bool is_too_deep = false;
    const auto limit_depth = [&is_too_deep](int depth, json::parse_event_t, json&) {
        is_too_deep = is_too_deep || depth > max_json_depth;
        return depth <= max_json_depth;
    };
    json document = json::parse(text, limit_depth, false);
    if (is_too_deep) {
        return error{error_kind::invalid_request, "the JSON is nested deeper than 32 levels; flatten it"};
    }
    if (!document.is_object()) {
        return error{error_kind::invalid_request,
                     "the body is not a JSON object; send one as application/json"};
    }
    return document;
}

} // namespace laurelhoist
