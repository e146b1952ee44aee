/** \file
 * Defines the socket options of every connection.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace laurelhoist {

/** Sets what lets a dead peer be noticed. A host without power, or a path that has lost track of the
 * connection, answers nothing: without these, sends succeed and reads wait for ever. */
void set_liveness_options(boost::asio::ip::tcp::socket& socket);

} // namespace laurelhoist
