/** \file
 * Defines how a file of settings is read: one flag a line, written by another process that may be writing it
 * just now, and perhaps for another release of the program.
 */
#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <vector>

namespace laurelhoist {

/** The lines of a settings file that are flags, in their order. */
struct settings_lines {
    std::vector<std::string> known;   ///< those that this program has, as command-line arguments
    std::vector<std::string> unknown; ///< names of the others, and of those without their value, as `--name`
    std::vector<std::string> empty;   ///< names of those that are no text and have nothing behind the `=`
    bool is_ended = false;            ///< the last line has its end, so that it is not cut
};

/** \return the flags in \p text, the content of a settings file. Other lines are ignored. */
settings_lines parse_settings_file(const std::string& text);

/** \return the whole content of the file \p path, or nothing if it cannot be read. */
std::optional<std::string> read_settings_text(const std::string& path);

/** \return the environment variable that holds the setting \p flag. */
std::string environment_name(const std::string& flag);

/** \return the value that \p name gets from \p arguments (`--name=value`, the last counts) or, if none of
 * them has it, from the environment; an empty string if neither does. */
std::string setting_among(const std::vector<std::string>& arguments, const std::string& name);

/** \return \p value without a fraction of zeros, as `5000` for `5000.0`; \p value itself if it is anything
 * else. */
std::string without_zero_fraction(const std::string& value);

/// How long a file is read again that cannot be read, or lacks what is required. A file is written in
/// milliseconds, on a slow core in a tenth of a second; a supervisor that restarts this process brings a new
/// file no sooner than this.
constexpr duration settings_wait_limit = seconds(3);
/// Time between two readings, which cost a few system calls each.
constexpr duration settings_retry_interval = milliseconds(100);

/** What a program cannot start without. */
struct required_settings {
    std::vector<std::string> texts;     ///< names of settings that must not be empty
    std::vector<std::string> addresses; ///< names of settings that must be `ip:port`
};

/** \return what \p arguments and the environment lack of \p required, for a log; empty if nothing. */
std::string missing_settings(const std::vector<std::string>& arguments, const required_settings& required);

/** Reads the settings file \p path, again for up to \ref settings_wait_limit while it cannot be read, lacks
 * what is required, or ends within a line and still changes. Logs what is missing once, and each flag that
 * is empty or that this program does not have. Ends the process with code 0 if a stop signal comes meanwhile.
 * \param arguments of the command line, which may hold what is required too
 * \return the flags as command-line arguments, complete or not; nothing if the file cannot be read */
std::optional<std::vector<std::string>> wait_for_settings_file(const std::string& path,
                                                               const std::vector<std::string>& arguments,
                                                               const required_settings& required);

} // namespace laurelhoist
