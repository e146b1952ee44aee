/** \file
 * Defines datagrams between our own processes: small, sent without waiting, lost now and then.
 */
#pragma once

#include "transport/event_loop.h"

namespace laurelhoist {

class datagram_socket {
public:
    using handler = std::function<void(const std::string& from, const std::string& bytes)>;

    /** Binds to \p address; ends the process with a remedy if it is taken.
     * \param on_received gets the sender's `ip:port` and the bytes */
    datagram_socket(event_loop& loop, const socket_address& address, handler on_received);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /** Sends \p bytes to \p address (`ip:port`); drops them if the network takes none now. */
    void send(const std::string& address, const std::string& bytes);
    std::uint64_t bytes_sent() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace laurelhoist
