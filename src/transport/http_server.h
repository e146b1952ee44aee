/** \file
 * Defines the HTTP server. Header size, body size, read time, the number of connections and what is held of
 * all requests are limited, so that a malformed, oversized, slow or half-open request ends with an error and
 * does not affect other callers.
 */
#pragma once

#include "transport/byte_account.h"
#include "transport/event_loop.h"
#include "transport/listen_attempts.h"

#include <map>

namespace laurelhoist {

class tcp_listener;

/** A request that has been received completely. */
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /** \return the header \p name (lower case), or an empty string. */
    std::string header(const std::string& name) const;
    std::string parameter(const std::string& name) const;
};

using http_headers = std::map<std::string, std::string>;

/** Responds to one request; may be stored and used later. */
class http_responder {
public:
    http_responder() = default;
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;
    virtual ~http_responder() = default;

    /** Sends a complete response. Ignored once a response has been sent or begun. */
    virtual void reply(int status, const http_headers& headers, std::string body) = 0;
    /** Begins a chunked response. */
    virtual void begin_stream(int status, const http_headers& headers) = 0;
    virtual void write(std::string text) = 0;
    /** Ends a chunked response; without this call the response is truncated for the caller. */
    virtual void end_stream() = 0;
    /** Closes the connection at once, so that a response in progress cannot be mistaken for a complete one.
     */
    virtual void abort() = 0;
    /** Sets what to run when the caller disconnects before the response is complete. */
    virtual void on_disconnect(std::function<void()> work) = 0;
};

struct http_limits {
    std::size_t body_bytes = 1 << 20;
    std::size_t header_bytes = 16 << 10;
    duration read_time = seconds(10); ///< timeout from the first byte of a request to its last
    duration idle_time = seconds(60); ///< timeout of a connection between two requests
    /// Bytes held of requests that are being received or handled, beyond which larger ones are refused.
    std::size_t held_bytes = std::size_t{64} << 20;
    byte_account held; ///< counts them; servers with a copy of these limits share it
    /// Open at once. For one more, that which has waited longest for a request is closed; if none waits, the
    /// new one is.
    std::size_t connections = 4000;
};

class http_server {
public:
    using handler = std::function<void(const http_request&, const std::shared_ptr<http_responder>&)>;

    /** Serves requests at \p target, as soon as it can listen there (\ref address_opener). */
    http_server(event_loop& loop, const listen_target& target, const http_limits& limits, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    bool is_listening() const;
    /** \return the port listened on, chosen by the system if the address named port 0; 0 while the server
     * does not listen. */
    std::uint16_t port() const;
    std::size_t open_connections() const;

private:
    struct state;
    std::shared_ptr<state> state_;
    std::unique_ptr<tcp_listener> listener_;
};

} // namespace laurelhoist
