/** \file
 * Defines how settings are read that a program can do without: a number out of range is bounded, and an
 * address that is none is left out. A process that serves with less is of more use than one that ends.
 */
#pragma once

#include "base/settings.h"

#include <optional>
#include <string>

namespace laurelhoist {

/** What becomes of a whole number that the type of its flag cannot hold. */
enum class out_of_type {
    refuse, ///< the process ends, as for any other wrong value
    bound,  ///< the nearest number of the type is in force, and `setting_bounded` is written
};

/** Reads the settings as the other \ref read_settings does.
 * \param reaction to numbers beyond the type of their flag */
void read_settings(int* argc, char*** argv, const std::string& usage, out_of_type reaction);

/** \return \p value, the text of a setting of \p type (as gflags names it), in a form that gflags reads and
 * that is no longer: without a fraction of zeros and, if \p reaction asks for it, within the type. Writes
 * `setting_bounded` for \p flag if a whole number was not. */
std::string readable_value(const std::string& flag, const std::string& type, const std::string& value,
                           out_of_type reaction);

/** The numbers that a flag may have, in its own unit; not below 0 if its type is a whole number. */
struct setting_range {
    const char* flag;
    double least;
    double most;
};

/** \return \p value, at least \p range.least and at most \p range.most. Logs `setting_bounded` if it is out
 * of this range. \param text the value as it was given */
double bounded_number(const setting_range& range, double value, const std::string& text);
/** Sets the flag of \p range to the nearest number of the range, or to its default if it is no number, so
 * that its conversions are defined. Logs `setting_bounded` if that changes it. */
void bound_setting(const setting_range& range);

/** Reads an address that the program can do without.
 * \param instead what is in force without it, for the log
 * \return its parts; nothing if \p value is empty or, with the line `setting_ignored`, not `ip:port` */
std::optional<socket_address> optional_address(const std::string& flag, const std::string& value,
                                               const std::string& instead);

} // namespace laurelhoist
