/** \file
 * Defines how a process comes to listen at an address that may be in use for a while: by another process, or
 * by the one before it that was ended a moment ago.
 */
#pragma once

#include "transport/event_loop.h"
#include "transport/listen_attempts.h"

#include <memory>

namespace laurelhoist {

/** Opens the socket of an address, again and again until it succeeds. Destroying it ends the attempts. */
class address_opener {
public:
    /** Opens a socket and begins to use it. \return the failure, after which nothing is left open; no error
     * on success */
    using attempt = std::function<std::error_code()>;

    /** Makes the first attempt before it returns, and others as \ref listen_attempts says. Writes
     * `listen_failed` when an attempt fails and at intervals while they do, and `listen_succeeded` when one
     * succeeds after that. Ends the process with \ref exit_bad_setting if the address cannot be right. */
    address_opener(event_loop& loop, listen_target target, attempt open);
    ~address_opener();
    address_opener(const address_opener&) = delete;
    address_opener& operator=(const address_opener&) = delete;

    /** \return whether the socket is open and listens. */
    bool is_open() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace laurelhoist
