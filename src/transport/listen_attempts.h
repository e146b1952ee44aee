/** \file
 * Defines how a process reacts when it cannot listen at one of its addresses. Contains only the decision; see
 * \ref address_opener for the input and output.
 */
#pragma once

#include "base/base.h"

#include <optional>
#include <system_error>

namespace laurelhoist {

/// Time between two attempts to listen at an address. An attempt costs a few system calls, and a port that a
/// process has just left is in use again soon after it is free.
constexpr duration listen_retry_interval = milliseconds(250);
/// Time between two lines about an address at which a process still cannot listen.
constexpr duration listen_log_interval = seconds(5);
/// How long attempts are repeated after a failure that is normally permanent, such as an address of no
/// interface of this machine. An interface that comes up with the machine needs a few seconds.
constexpr duration permanent_failure_timeout = seconds(8);

/** What an address is for. */
enum class listen_need {
    service,    ///< without it the process cannot do its work
    observation ///< the process does its work without it
};

/** An address at which a process listens. */
struct listen_target {
    std::string setting; ///< that holds the address, as it is named in logs
    socket_address address;
    listen_need need = listen_need::service;
};

enum class listen_reaction {
    retry,         ///< after \ref listen_retry_interval
    log_and_retry, ///< the same, and write a line
    give_up        ///< the address cannot be right: end the process
};

/** \return whether \p failure says nothing about the address itself and ends when another process ends or
 * releases what it holds, such as a port in use. */
bool is_transient_listen_failure(const std::error_code& failure);

/** The attempts to listen at one address, from the first that fails to the one that succeeds. */
class listen_attempts {
public:
    explicit listen_attempts(listen_need need) : need_{need} {}

    /** Records an attempt that failed with \p failure at \p now. \return what to do */
    listen_reaction on_failed(const std::error_code& failure, time_point now);
    /** Records that an attempt succeeded at \p now. \return how long attempts had failed; nothing if none had
     */
    std::optional<duration> on_succeeded(time_point now);

private:
    listen_need need_;
    std::optional<time_point> failing_since_;
    std::optional<time_point> permanent_since_; ///< since when all failures have been permanent ones
    time_point logged_at_;
};

} // namespace laurelhoist
