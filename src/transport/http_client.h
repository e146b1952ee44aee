/** \file
 * Defines the HTTP client. What matters to the decisions is kept apart: whether a request was certainly
 * never sent, failed, or fell silent.
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
    duration timeout = seconds(5); ///< for the whole answer, or between two pieces of a streamed one
    duration connect_timeout = seconds(1);
    bool is_streamed = false;
    /** Each piece of the answer restarts \ref timeout, as for a streamed one: a megabyte over 10 Mbit/s takes
     * longer than the silence after which a connection counts as lost. */
    bool is_large = false;
    /** A kept connection may have died without a sign, and then it is not known whether a request on it
     * was received. A call that may not be repeated therefore gets a connection of its own. */
    bool needs_fresh_connection = false;
};

struct http_answer {
    enum class result {
        answered,
        not_sent, ///< no connection: nothing reached the other side
        failed,   ///< the connection broke after sending: it may have been received
        silent,   ///< nothing came in time
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
    /** Ends the call; its handlers are not called any more. */
    using canceller = std::function<void()>;

    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** \param on_piece gets the body of a 200 answer piece by piece if the call is streamed; may be empty */
    canceller send(const http_call& call, answer_handler on_answer, piece_handler on_piece = {});

private:
    struct state;
    std::shared_ptr<state> state_;
};

/** Sends \p call and waits for its answer on a loop of its own; for command lines and tests. */
http_answer send_and_wait(const http_call& call);

} // namespace laurelhoist
