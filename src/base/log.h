/** \file
 * Defines structured logging: one JSON object a line, written through glog to standard error, or to standard
 * output without ever waiting for its reader.
 */
#pragma once

#include "base/value_type.h"

#include <string>

namespace laurelhoist {

/** Starts logging. \param program stands in each line; \param host is this host's name. */
void start_log(const char* program, const std::string& host);
/** Starts logging to standard output. A reader that is slow costs lines, never time: what does not fit the
 * buffer is dropped and counted in the next line that is written. */
void start_log_on_stdout(const char* program, const std::string& host);
/** Writes out what is buffered; to be called before the process ends. */
void flush_log();
/** Turns off all lines below errors; for long random runs. */
void quiet_log();

/** Writes an informational line. \param event its name, listed in docs/OPERATING.md */
void log_info(const char* event, const json& fields = json::object());
void log_warning(const char* event, const json& fields = json::object());
void log_error(const char* event, const json& fields = json::object());

} // namespace laurelhoist
