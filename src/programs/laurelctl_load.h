/** \file
 * Defines the load report of a host as laurelctl prints it, and tables on standard output.
 */
#pragma once

#include "transport/transport.h"

#include <string>
#include <vector>

namespace laurelhoist {

using table_rows = std::vector<std::vector<std::string>>;

/** Prints \p rows with their columns aligned. */
void print_table(const table_rows& rows);

/** \return the answer of the host with the metrics address \p address to `GET /load`, for one route and one
 * team, or all of them if empty. Blocks. */
http_answer ask_for_load(const socket_address& address, const std::string& route, const std::string& team);

/** \param report the body of `GET /load`
 * \param period "last" or "since_start"
 * \return the report as a table with its headings; refusals and failures as `cause=count` */
table_rows load_table(const json& report, const std::string& period);

} // namespace laurelhoist
