#include "base/optional_settings.h"

#include "base/clock.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/settings_file.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <limits>

namespace laurelhoist {

namespace {

bool is_whole_number(const std::string& type) {
    return type == "int32" || type == "int64" || type == "uint32" || type == "uint64";
}

// gflags refuses a number that a double holds only as infinity or as zero.
std::string within_double(const std::string& value) {
    char* end = nullptr;
    errno = 0;
    const double number = std::strtod(value.c_str(), &end);
    if (errno != ERANGE || *end != '\0') {
        return value;
    }
    return std::isinf(number) ? (number < 0 ? "-inf" : "inf") : "0";
}

/** The numbers of a type. */
struct type_range {
    std::int64_t least;
    std::uint64_t most;
};

type_range range_of(const std::string& type) {
    if (type == "int32") {
        return {std::numeric_limits<std::int32_t>::min(), std::numeric_limits<std::int32_t>::max()};
    }
    if (type == "int64") {
        return {std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()};
    }
    return {0, type == "uint32" ? std::numeric_limits<std::uint32_t>::max()
                                : std::numeric_limits<std::uint64_t>::max()};
}

/** \return the number of \p range that is nearest to \p value, which is that one itself if it is in range or
 * not a whole number. The result is never longer. */
std::string nearest_in(const type_range& range, const std::string& value) {
    const bool is_negative = !value.empty() && value[0] == '-';
    const std::string digits = value.substr(is_negative ? 1 : 0);
    if (digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos) {
        return value;
    }
    errno = 0;
    const std::uint64_t size = std::strtoull(digits.c_str(), nullptr, 10);
    const std::uint64_t most = is_negative ? 0 - static_cast<std::uint64_t>(range.least) : range.most;
    if (errno != ERANGE && size <= most) {
        return size == 0 ? "0" : value;
    }
    return is_negative ? std::to_string(range.least) : std::to_string(range.most);
}

json bounded_fields(const std::string& flag, const std::string& value, const json& used,
                    const std::string& least, const std::string& most) {
    return {{"setting", "--" + flag},
            {"value", value},
            {"used", used},
            {"remedy", "give a number from " + least + " to " + most}};
}

} // namespace

std::string readable_value(const std::string& flag, const std::string& type, const std::string& value,
                           out_of_type reaction) {
    // Files of settings may write a whole number as 5000.0, which gflags refuses.
    std::string normal = is_whole_number(type) ? without_zero_fraction(value) : value;
    if (reaction == out_of_type::refuse) {
        return normal;
    }
    if (!is_whole_number(type)) {
        return type == "double" ? within_double(normal) : normal;
    }
    const type_range range = range_of(type);
    std::string nearest = nearest_in(range, normal);
    if (nearest != normal) {
        // Written directly, as the settings say how to log.
        json line{{"at_ms", wall_clock_ms()}, {"level", "warning"}, {"event", "setting_bounded"}};
        line.update(bounded_fields(flag, value, json::parse(nearest), std::to_string(range.least),
                                   std::to_string(range.most)));
        std::cerr << to_json_text(line) << '\n';
    }
    return nearest;
}

double bounded_number(const setting_range& range, double value, const std::string& text) {
    const double used = std::clamp(value, range.least, range.most);
    if (used != value) {
        log_warning("setting_bounded", bounded_fields(range.flag, text, used, std::to_string(range.least),
                                                      std::to_string(range.most)));
    }
    return used;
}

void bound_setting(const setting_range& range) {
    const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(range.flag);
    const double given = std::strtod(info.current_value.c_str(), nullptr);
    if (std::isnan(given)) {
        log_warning("setting_bounded",
                    bounded_fields(range.flag, info.current_value,
                                   std::strtod(info.default_value.c_str(), nullptr),
                                   std::to_string(range.least), std::to_string(range.most)));
        gflags::SetCommandLineOption(range.flag, info.default_value.c_str());
        return;
    }
    const double used = bounded_number(range, given, info.current_value);
    if (used == given) {
        return; // A flag that is set no longer counts as one that has its default.
    }
    const std::string text = is_whole_number(info.type) ? std::to_string(static_cast<std::uint64_t>(used))
                                                        : to_json_text(json(used));
    gflags::SetCommandLineOption(range.flag, text.c_str());
}

std::optional<socket_address> optional_address(const std::string& flag, const std::string& value,
                                               const std::string& instead) {
    if (value.empty()) {
        return std::nullopt;
    }
    const outcome<socket_address> parsed = parse_address(value);
    if (const error* failure = error_of(parsed)) {
        log_warning(
            "setting_ignored",
            {{"setting", "--" + flag}, {"value", value}, {"used", instead}, {"remedy", failure->message}});
        return std::nullopt;
    }
    return *value_of(parsed);
}

} // namespace laurelhoist
