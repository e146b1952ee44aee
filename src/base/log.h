/** \file
 * Defines structured logging: one JSON object a line on standard error, written through glog.
 */
#pragma once

#include "base/value_type.h"

#include <string>

namespace laurelhoist {

/** Starts logging. \param program stands in each line; \param host is this host's name. */
void start_log(const char* program, const std::string& host);
/** Turns off all lines below errors; for long random runs. */
void quiet_log();

/** Writes an informational line. \param event its name, listed in docs/OPERATING.md */
void log_info(const char* event, const json& fields = json::object());
void log_warning(const char* event, const json& fields = json::object());
void log_error(const char* event, const json& fields = json::object());

} // namespace laurelhoist
