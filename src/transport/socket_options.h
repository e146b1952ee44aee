/** \file
 * Defines the socket options that detect dead connections.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace laurelhoist {

/** Sets TCP_NODELAY and the options by which a dead peer is detected. A host without power, or a device on
 * the path that has dropped its state of the connection, does not respond: without these options, sends
 * succeed and reads wait forever. */
void set_liveness_options(boost::asio::ip::tcp::socket& socket);

/** The same for a caller's connection, without the time limit on unacknowledged bytes: a caller may read
 * slowly, and the relay itself decides how long its answer may stay unread. */
void set_caller_liveness_options(boost::asio::ip::tcp::socket& socket);

} // namespace laurelhoist
