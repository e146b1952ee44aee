/** \file
 * Divides the memory that the system may use for bytes which have arrived on connections and have not been
 * read.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace laurelhoist {

/** Bounds of a connection's receive buffer, in bytes of the system's memory. The least one is what the system
 * gives a new connection by itself; the most fills a link of 1,000 Mbit/s with a round trip of 4 to 8 ms. */
constexpr std::size_t min_receive_bytes = std::size_t{128} << 10;
constexpr std::size_t max_receive_bytes = std::size_t{1} << 20;

/** \param total_bytes of the receive buffers of connections of one kind \param open connections of that kind,
 * without the new one
 * \return the receive buffer of one more connection, in bytes. Whatever the order in which connections open
 * and close, the shares above \ref min_receive_bytes add up to no more than \p total_bytes. */
std::size_t receive_share(std::size_t total_bytes, std::size_t open);

/** Bounds the memory of bytes that have arrived at \p socket and have not been read. Without a bound, the
 * system lets it grow with the rate at which the connection has been read. */
void set_receive_buffer(boost::asio::ip::tcp::socket& socket, std::size_t bytes);

} // namespace laurelhoist
