#include "base/settings.h"

#include "base/clock.h"
#include "base/json_text.h"
#include "base/optional_settings.h"
#include "base/settings_file.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace laurelhoist {

namespace {

bool is_ip_number(const std::string& host) {
    in6_addr buffer{};
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1 || inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

bool is_own_flag(const gflags::CommandLineFlagInfo& flag) {
    return flag.filename.find("programs/") != std::string::npos ||
           flag.filename.find("platform/") != std::string::npos;
}

std::vector<gflags::CommandLineFlagInfo> own_flags() {
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    all.erase(std::remove_if(all.begin(), all.end(), [](const auto& flag) { return !is_own_flag(flag); }),
              all.end());
    return all;
}

// gflags reads a flag from the environment only if the command line asks for it; this reads all of them.
void read_environment(out_of_type reaction) {
    for (const gflags::CommandLineFlagInfo& flag : own_flags()) {
        const char* value = std::getenv(environment_name(flag.name).c_str());
        if (value == nullptr) {
            continue;
        }
        const std::string readable = readable_value(flag.name, flag.type, value, reaction);
        if (gflags::SetCommandLineOption(flag.name.c_str(), readable.c_str()).empty()) {
            refuse_setting(environment_name(flag.name), value, "give a value of type " + flag.type);
        }
    }
}

void print_help(const std::string& usage) {
    std::cout << usage << "\n\nSettings (flag, or environment variable LAUREL_<FLAG>):\n";
    for (const gflags::CommandLineFlagInfo& flag : own_flags()) {
        std::cout << "  --" << flag.name << " (" << flag.type << ", default \"" << flag.default_value
                  << "\")\n      " << flag.description << '\n';
    }
    std::cout << "  --help, --version\n";
}

void handle_information_flags(int argc, char** argv, const std::string& usage) {
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--help" || argument == "-h") {
            print_help(usage);
            std::exit(0);
        }
        if (argument == "--version") {
            std::cout << "laurelhoist " << version_text << '\n';
            std::exit(0);
        }
    }
}

// For an unknown flag or a value of the wrong type, gflags itself ends the process with code 1 and no remedy.
// Checking each argument first reports every invalid setting in the same way. Values get the form that gflags
// reads, which is no longer, in place, as it parses the same arguments afterwards.
void check_arguments(int argc, char** argv, out_of_type reaction) {
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument.rfind("--", 0) != 0 || argument == "--") {
            continue;
        }
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
            refuse_setting("--" + name, "", "there is no such setting; --help lists all of them");
        }
        if (equals == std::string::npos) {
            continue;
        }
        const std::string value = argument.substr(equals + 1);
        const std::string readable = readable_value(name, info.type, value, reaction);
        if (gflags::SetCommandLineOption(name.c_str(), readable.c_str()).empty()) {
            refuse_setting("--" + name, value, "give a value of type " + info.type);
        }
        argv[i][equals + 1 + readable.copy(&argv[i][equals + 1], readable.size())] = '\0';
    }
}

} // namespace

outcome<socket_address> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    const error failure{error_kind::invalid_setting,
                        "\"" + text +
                            "\" is not an address; write an IP number and a port, as 127.0.0.1:8080"};
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6) {
        return failure;
    }
    const std::string digits = text.substr(colon + 1);
    if (!std::all_of(digits.begin(), digits.end(), [](unsigned char c) { return std::isdigit(c) != 0; })) {
        return failure;
    }
    const unsigned long port = std::stoul(digits);
    constexpr unsigned long last_port = 65535;
    const std::string host = text.substr(0, colon);
    if (port > last_port || !is_ip_number(host)) {
        return failure;
    }
    return socket_address{host, static_cast<std::uint16_t>(port)};
}

std::vector<std::string> split_list(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

void read_settings(int* argc, char*** argv, const std::string& usage) {
    read_settings(argc, argv, usage, out_of_type::refuse);
}

void read_settings(int* argc, char*** argv, const std::string& usage, out_of_type reaction) {
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(version_text);
    handle_information_flags(*argc, *argv, usage);
    read_environment(reaction);
    check_arguments(*argc, *argv, reaction);
    gflags::ParseCommandLineFlags(argc, argv, true);
}

void refuse_setting(const std::string& flag, const std::string& value, const std::string& remedy) {
    std::cerr << to_json_text(json{{"at_ms", wall_clock_ms()},
                                   {"level", "error"},
                                   {"event", "invalid_setting"},
                                   {"setting", flag},
                                   {"value", value},
                                   {"remedy", remedy},
                                   {"exit_code", exit_bad_setting}})
              << '\n';
    std::exit(exit_bad_setting);
}

socket_address require_address(const std::string& flag, const std::string& value) {
    const outcome<socket_address> parsed = parse_address(value);
    if (const error* failure = error_of(parsed)) {
        refuse_setting("--" + flag, value, failure->message);
    }
    return *value_of(parsed);
}

void require_setting(bool holds, const std::string& flag, const std::string& value,
                     const std::string& remedy) {
    if (!holds) {
        refuse_setting("--" + flag, value, remedy);
    }
}

} // namespace laurelhoist
