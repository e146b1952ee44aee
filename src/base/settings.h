/** \file
 * Defines how the settings of a program are read and checked: gflags on the command line, LAUREL_* variables
 * in the environment, and a uniform error for invalid values.
 */
#pragma once

#include "base/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace laurelhoist {

constexpr const char* version_text = "0.1.0";
constexpr int exit_bad_setting = 2;

/** An IP address with its port, as it is written in settings and messages: `127.0.0.1:8080`. */
struct socket_address {
    std::string host;
    std::uint16_t port = 0;
};

/** \return the parts of `ip:port`, or an error that says what to write instead. */
outcome<socket_address> parse_address(const std::string& text);
/** \return the non-empty parts of a comma-separated list. */
std::vector<std::string> split_list(const std::string& text, char separator = ',');

/** Reads the environment (LAUREL_<FLAG>) and then the command line into the gflags.
 * Handles --help and --version. Ends the process with \ref exit_bad_setting on an unknown flag.
 * \param usage one sentence on what the program does */
void read_settings(int* argc, char*** argv, const std::string& usage);

/** Ends the process with \ref exit_bad_setting, naming the flag, its value and the remedy. */
[[noreturn]] void refuse_setting(const std::string& flag, const std::string& value,
                                 const std::string& remedy);
/** Checks that \p value is `ip:port`; refuses the setting otherwise. \return its parts. */
socket_address require_address(const std::string& flag, const std::string& value);
/** Refuses the setting as \ref refuse_setting does if \p holds is false. */
void require_setting(bool holds, const std::string& flag, const std::string& value,
                     const std::string& remedy);

} // namespace laurelhoist
