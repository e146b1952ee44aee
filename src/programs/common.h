/** \file
 * Helpers that the programs share: health and metrics pages, error responses and parsing of JSON bodies.
 */
#pragma once

#include "transport/transport.h"

namespace laurelhoist {

/** Serves /healthz, /readyz and /metrics.
 * \param is_ready whether /readyz replies 200 instead of 503
 * \return false if the request is for another path; nothing has been sent then */
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

/** Sends \p failure as an error response without a request id; sets Retry-After if the error has a delay. */
inline void reply_with_error(const std::shared_ptr<http_responder>& responder, const error& failure) {
    http_headers headers;
    if (failure.retry_after_ms > 0) {
        headers["Retry-After"] = std::to_string((failure.retry_after_ms + 999) / 1000);
    }
    responder->reply(http_status(failure.kind), headers, to_json_text(to_error_body(failure, "")));
}

constexpr int max_json_depth = 32;

/** \return the JSON object in \p text, or an error with the remedy. Nesting is limited during parsing, so
 * that a deeply nested document from a caller cannot exhaust the stack of code that traverses it. */
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

/** A document of another process. */
struct foreign_document {
    json value;                ///< discarded if the text is not JSON
    bool is_shortened = false; ///< values that are nested too deep are null
};

/** Parses what the platform, an endpoint or another service sent (\ref parse_foreign_json). */
inline foreign_document read_foreign_document(const std::string& text) {
    foreign_document document;
    try {
        document.value = parse_foreign_json(text, [&document](const json&) { document.is_shortened = true; });
    } catch (const json::exception&) {
        document.value = json(json::value_t::discarded);
    }
    return document;
}

} // namespace laurelhoist
