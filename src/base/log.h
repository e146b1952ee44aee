/** \file
 * Defines structured logging: one JSON object per line, written through glog to standard error, or to
 * standard output without blocking on a slow reader.
 */
#pragma once

#include "base/value_type.h"

#include <string>

namespace laurelhoist {

/** Starts logging to standard error.
 * \param program the program's name, which is part of each line
 * \param host this host's name, also part of each line unless it is empty */
void start_log(const char* program, const std::string& host);
/** Starts logging to standard output without blocking. If the reader is slow, lines that do not fit the
 * buffer are dropped; informational lines above a rate limit are dropped too. The next flush writes a line
 * with the number of dropped lines. */
void start_log_on_stdout(const char* program, const std::string& host);
/** Writes buffered lines to standard output; to be called before the process ends. */
void flush_log();
/** Disables all lines below errors; for long randomized runs. */
void quiet_log();

/** Writes an informational line. \param event the name of the event, as listed in docs/OPERATING.md */
void log_info(const char* event, const json& fields = json::object());
void log_warning(const char* event, const json& fields = json::object());
void log_error(const char* event, const json& fields = json::object());

} // namespace laurelhoist
