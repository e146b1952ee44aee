/** \file
 * Defines the HTTP client. Its result tells the cases apart that decide whether a request may be retried:
 * never sent, connection broken after sending, and timed out.
 */
#pragma once

#include "transport/http_server.h"

namespace laurelhoist {

struct http_call {
    socket_address address;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    duration timeout = seconds(5); ///< for the whole response, or between two pieces of a streamed one
    duration connect_timeout = seconds(1);
    bool is_streamed = false;
    /** Each piece of the response restarts \ref timeout, as for a streamed one: a megabyte over 10 Mbit/s
     * takes longer than the silence after which a connection is considered lost. */
    bool is_large = false;
    /** An idle connection may have been lost without an error, and then it is unknown whether a request sent
     * on it was received. A call that must not be repeated therefore uses a new connection. */
    bool needs_fresh_connection = false;
};

struct http_answer {
    enum class result {
        answered,
        not_sent, ///< the connection could not be established: the server received nothing
        failed,   ///< the connection broke after sending began: the server may have received the request
        silent,   ///< no response, or no further piece of it, arrived within the timeout
    };
    result what = result::failed;
    int status = 0;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    std::string header(const std::string& name) const;
};

class http_client {
public:
    using answer_handler = std::function<void(const http_answer&)>;
    using piece_handler = std::function<void(const std::string&)>;
    /** Cancels the call; its handlers are not called afterwards. */
    using canceller = std::function<void()>;

    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** \param on_piece receives the body of a 200 response piece by piece as it arrives; may be empty */
    canceller send(const http_call& call, answer_handler on_answer, piece_handler on_piece = {});

private:
    struct state;
    std::shared_ptr<state> state_;
};

/** Sends \p call and blocks until its result is known, on a separate event loop; for command-line tools. */
http_answer send_and_wait(const http_call& call);

} // namespace laurelhoist
