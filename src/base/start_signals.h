/** \file
 * Keeps signals that come during the start of the process from ending it, and standard streams that are
 * closed from being replaced by sockets.
 */
#pragma once

namespace laurelhoist {

/** Opens /dev/null as those of the descriptors 0 to 2 that are closed, ignores SIGHUP and SIGPIPE, and holds
 * back SIGTERM and SIGINT until \ref accept_stop_signals. Uses system calls only, so that it may run before
 * any library is initialized. */
void hold_signals_of_start();

/** \return whether SIGTERM or SIGINT has come and is held back. */
bool has_held_stop_signal();

/** Lets SIGTERM and SIGINT through, also those that were held back. Their handlers must have been set. */
void accept_stop_signals();

} // namespace laurelhoist
