#include "base/settings_file.h"

#include "base/json_text.h"
#include "base/settings.h"
#include "base/start_signals.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace laurelhoist {

namespace {

bool is_number_of_digits(const std::string& text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Without its value, a flag that is no bool would take the next argument for it.
bool is_known(const std::string& name, bool has_value) {
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && (has_value || info.type == "bool");
}

// An empty text is a value.
bool is_text(const std::string& name) {
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "string";
}

// Written directly, as the settings say how to log.
void write_warning(const json& fields) {
    json line{{"at_ms", wall_clock_ms()}, {"level", "warning"}};
    line.update(fields);
    std::cerr << to_json_text(line) << '\n';
}

std::vector<std::string> joined(std::vector<std::string> first, const std::vector<std::string>& second) {
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

std::string environment_name(const std::string& flag) {
    std::string name = "LAUREL_" + flag;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::toupper(c); });
    return name;
}

settings_lines parse_settings_file(const std::string& text) {
    settings_lines lines;
    lines.is_ended = !text.empty() && text.back() == '\n';
    for (const std::string& line : split_list(text, '\n')) {
        if (line.rfind("--", 0) != 0) {
            continue;
        }
        const std::string flag = line.substr(0, line.find('='));
        const bool has_no_value = flag.size() + 1 == line.size();
        if (has_no_value && is_known(flag.substr(2), true) && !is_text(flag.substr(2))) {
            lines.empty.push_back(flag);
        } else if (is_known(flag.substr(2), flag.size() < line.size())) {
            lines.known.push_back(line);
        } else {
            lines.unknown.push_back(flag);
        }
    }
    return lines;
}

std::optional<std::string> read_settings_text(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || text.bad()) {
        return std::nullopt;
    }
    return text.str();
}

std::string setting_among(const std::vector<std::string>& arguments, const std::string& name) {
    const std::string begin = "--" + name + "=";
    const auto last = std::find_if(arguments.rbegin(), arguments.rend(), [&](const std::string& argument) {
        return argument.rfind(begin, 0) == 0;
    });
    if (last != arguments.rend()) {
        return last->substr(begin.size());
    }
    const char* value = std::getenv(environment_name(name).c_str());
    return value == nullptr ? "" : value;
}

std::string missing_settings(const std::vector<std::string>& arguments, const required_settings& required) {
    std::string missing;
    for (const std::string& name : required.texts) {
        missing += setting_among(arguments, name).empty() ? " --" + name : "";
    }
    for (const std::string& name : required.addresses) {
        const bool is_address = error_of(parse_address(setting_among(arguments, name))) == nullptr;
        missing += is_address ? "" : " --" + name;
    }
    return missing.empty() ? "" : missing.substr(1);
}

std::optional<std::vector<std::string>> wait_for_settings_file(const std::string& path,
                                                               const std::vector<std::string>& arguments,
                                                               const required_settings& required) {
    const time_point until = monotonic_now() + settings_wait_limit;
    std::optional<std::string> before;
    bool is_logged = false;
    for (;;) {
        const std::optional<std::string> text = read_settings_text(path);
        const settings_lines lines = parse_settings_file(text.value_or(""));
        const std::string missing = missing_settings(joined(lines.known, arguments), required);
        const bool is_settled = lines.is_ended || (text && text == before);
        const bool is_complete = text && missing.empty() && is_settled;
        if (is_complete || monotonic_now() >= until) {
            for (const std::string& name : lines.unknown) {
                write_warning({{"event", "setting_unknown"},
                               {"setting", name},
                               {"remedy", "none is needed for a field of another release; otherwise correct "
                                          "the name; --help lists all"}});
            }
            for (const std::string& name : lines.empty) {
                write_warning({{"event", "setting_empty"},
                               {"setting", name},
                               {"remedy", "none is needed if its default fits; otherwise give a value"}});
            }
            return text ? std::optional(lines.known) : std::nullopt;
        }
        if (!is_logged && !(text && missing.empty())) {
            is_logged = true;
            write_warning({{"event", "settings_incomplete"},
                           {"file", path},
                           {"reason", text ? "lacks " + missing : "cannot be read"},
                           {"remedy", "none is needed if it is being written"}});
        }
        before = text;
        std::this_thread::sleep_for(settings_retry_interval);
        if (has_held_stop_signal()) {
            write_warning({{"event", "stopped"}, {"reason", "before the settings were complete"}});
            std::exit(0);
        }
    }
}

std::string without_zero_fraction(const std::string& value) {
    const std::size_t point = value.find('.');
    const bool has_fraction = point != std::string::npos && point + 1 < value.size();
    const bool is_zero = has_fraction && std::all_of(value.begin() + static_cast<std::ptrdiff_t>(point) + 1,
                                                     value.end(), [](char c) { return c == '0'; });
    const std::string whole = value.substr(0, point);
    return is_zero && is_number_of_digits(whole[0] == '-' ? whole.substr(1) : whole) ? whole : value;
}

} // namespace laurelhoist
