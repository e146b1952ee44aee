/** \file
 * Makes the process leave a line in its log when it ends by itself or by a signal.
 */
#pragma once

#include <string>

namespace laurelhoist {

/** Logs `process_ended` when an exception reaches `main` or a signal ends the process, with the time since
 * the call. A process that is killed leaves no line; its peers log `host_ended`. \param program the program's
 * name \param host the name of this host */
void log_process_end(const std::string& program, const std::string& host);

} // namespace laurelhoist
