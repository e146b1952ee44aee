/** \file
 * Defines datagrams between the processes of this project: small, sent without blocking, and sometimes lost.
 */
#pragma once

#include "transport/address_opener.h"

namespace laurelhoist {

class datagram_socket {
public:
    using handler = std::function<void(const std::string& from, const std::string& bytes)>;

    /** Receives at \p target, as soon as it can be bound (\ref address_opener).
     * \param on_received gets the sender's `ip:port` and the bytes */
    datagram_socket(event_loop& loop, const listen_target& target, handler on_received);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /** \return whether datagrams can be received and sent. */
    bool is_bound() const;
    /** Sends \p bytes to \p address (`ip:port`); drops them if they cannot be sent at once. */
    void send(const std::string& address, const std::string& bytes);
    std::uint64_t bytes_sent() const;

private:
    struct state;
    std::shared_ptr<state> state_;
    std::unique_ptr<address_opener> opener_;
};

} // namespace laurelhoist
