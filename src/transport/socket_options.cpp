#include "transport/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace laurelhoist {

namespace {

/// Sent bytes that stay unacknowledged for this long, in ms, end the connection. A few consecutive lost
/// packets stay well below this limit. The option also ends a connection whose peer keeps its receive window
/// closed, and it replaces the number of keep-alive probes.
constexpr int unacknowledged_ms = 4000;
constexpr int keep_alive_idle_s = 2;     ///< idle time before the first keep-alive probe
constexpr int keep_alive_interval_s = 1; ///< interval between keep-alive probes
constexpr int keep_alive_probes = 3;     ///< number of unanswered keep-alive probes that end the connection

template <class Value>
void set_option(int handle, int level, int name, Value value) {
    // Best effort: on a system without the option, the timeouts of the relay still apply.
    (void)::setsockopt(handle, level, name, &value, sizeof value);
}

} // namespace

void set_liveness_options(boost::asio::ip::tcp::socket& socket) {
    set_caller_liveness_options(socket);
    set_option(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

void set_caller_liveness_options(boost::asio::ip::tcp::socket& socket) {
    const int handle = socket.native_handle();
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

} // namespace laurelhoist
