/** \file
 * The program laurelctl: the operators' command line. Every write states the revision that it is based on.
 * Its result reports separately whether the change was accepted and on how many hosts it is in force.
 */
#include "node/node.h"
#include "programs/common.h"
#include "programs/laurelctl_load.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(stewards, "127.0.0.1:7100",
              "control addresses of stewards, tried in order, separated by commas");
DEFINE_string(operator_key, "", "operator key that authenticates to the stewards");
DEFINE_string(by, "", "your name, stored in the change history");
DEFINE_string(reason, "", "reason, stored with a withdrawal");
DEFINE_int64(revision, -1, "revision that the change is based on; -1: the current one");
DEFINE_uint32(wait_ms, 6000, "how long to wait until a change is in force on every host, in ms");
DEFINE_string(route, "", "route whose load to show; empty: all");
DEFINE_string(team, "", "team whose load to show; empty: all");
DEFINE_bool(json, false, "print JSON instead of tables");

namespace laurelhoist {

namespace {

enum exit_code : int {
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_conflict = 3,
    exit_unreachable = 4,
    exit_not_in_force = 5,
};

constexpr const char* usage_text =
    "laurelctl: signs off, rolls, pauses and withdraws bundles, and shows the state of the fleet.\n\n"
    "  laurelctl bundle validate FILE          check a bundle without sending it\n"
    "  laurelctl bundle submit FILE            store a bundle\n"
    "  laurelctl bundle sign-off ID            approve its current content\n"
    "  laurelctl bundle roll|pause|resume ID   start, pause or resume its roll-out\n"
    "  laurelctl bundle withdraw ID            end its roll-out permanently\n"
    "  laurelctl bundle status                 state of every bundle\n"
    "  laurelctl version withdraw MODEL@VERSION [...]\n"
    "  laurelctl status                        hosts, revision, stopped versions, changes\n"
    "  laurelctl ledger                        bills by team\n"
    "  laurelctl load HOST:PORT                load of the host with this metrics address, by route and "
    "team\n\n"
    "Exit codes: 0 done, 1 failed, 2 usage error, 3 conflict with another change or command not possible\n"
    "now, 4 no steward answers, 5 accepted but not yet in force everywhere.";

int fail(int code, const std::string& message) {
    std::cerr << "laurelctl: " << message << '\n';
    return code;
}

/** Sends requests to the stewards in turn until one answers; each call blocks. */
class steward_client {
public:
    http_answer ask(const std::string& method, const std::string& target, const std::string& body) {
        http_answer last;
        last.what = http_answer::result::not_sent;
        for (const std::string& address : split_list(FLAGS_stewards)) {
            last = ask_one(require_address("stewards", address), method, target, body);
            // A write that may have been received is not sent to another steward: perhaps only its answer was
            // lost.
            if (last.what == http_answer::result::answered ||
                (method != "GET" && last.what != http_answer::result::not_sent)) {
                return last;
            }
        }
        return last;
    }

private:
    http_answer ask_one(const socket_address& address, const std::string& method, const std::string& target,
                        const std::string& body) {
        http_call call;
        call.address = address;
        call.method = method;
        call.target = target;
        call.headers = {{"Authorization", "Bearer " + FLAGS_operator_key},
                        {"Content-Type", "application/json"}};
        call.body = body;
        call.timeout = seconds(15);
        call.needs_fresh_connection = true;
        return send_and_wait(call);
    }
};

/** Prints why \p answer is not a success. \return the exit code for it */
int print_failure(const http_answer& answer) {
    if (answer.what == http_answer::result::not_sent) {
        return fail(exit_unreachable, "no steward answers at " + FLAGS_stewards +
                                          "; set --stewards to their control addresses");
    }
    if (answer.what != http_answer::result::answered) {
        return fail(exit_failed,
                    "the answer was lost; the change may have taken effect: see laurelctl status");
    }
    const json body = json::parse(answer.body, nullptr, false);
    const json failure = body.is_object() ? body.value("error", json::object()) : json::object();
    const int code = answer.status == 409 ? exit_conflict : exit_failed;
    return fail(code, failure.value("kind", "failed") + ": " + failure.value("message", answer.body));
}

outcome<json> read_status(steward_client& stewards, int& code) {
    const http_answer answer = stewards.ask("GET", "/control/status", "");
    if (answer.status != 200) {
        code = print_failure(answer);
        return error{};
    }
    return json::parse(answer.body);
}

std::string percent(double share) {
    std::ostringstream text;
    text << share * 100 << '%';
    return text.str();
}

// ---- commands ----

outcome<json> read_json_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return error{error_kind::not_found,
                     "cannot read " + path + "; give the path of a bundle's JSON file"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_json_object(text.str());
}

int validate(const std::vector<std::string>& arguments) {
    const outcome<json> document = read_json_file(arguments[2]);
    if (const error* failure = error_of(document)) {
        return fail(exit_usage, failure->message);
    }
    const std::vector<bundle_fault> faults = check_bundle(*value_of(document));
    if (FLAGS_json) {
        std::cout << json{{"valid", faults.empty()}, {"faults", faults}}.dump(2) << '\n';
    } else if (faults.empty()) {
        std::cout << arguments[2] << ": valid, sha256 " << content_hash(value_of(document)->get<bundle>())
                  << '\n';
    } else {
        std::vector<std::vector<std::string>> rows{{"PATH", "FAULT", "REMEDY"}};
        for (const bundle_fault& fault : faults) {
            rows.push_back({fault.path, fault.message, fault.remedy});
        }
        print_table(rows);
    }
    return faults.empty() ? exit_done : exit_failed;
}

int wait_until_in_force(steward_client& stewards, std::int64_t revision, json& result) {
    const time_point end = monotonic_now() + milliseconds(FLAGS_wait_ms);
    while (true) {
        int code = exit_done;
        const outcome<json> status = read_status(stewards, code);
        if (const json* body = value_of(status)) {
            const json& entries = (*body)["entries"];
            const auto count = std::count_if(entries.begin(), entries.end(), [revision](const json& entry) {
                return entry.value("revision", std::int64_t{0}) >= revision;
            });
            result["in_force_on"] = count;
            result["hosts"] = entries.size();
            if (static_cast<std::size_t>(count) == entries.size()) {
                return exit_done;
            }
        }
        if (monotonic_now() >= end) {
            return exit_not_in_force;
        }
        event_loop loop;
        loop.after(milliseconds(100), [&loop] { loop.stop(); });
        loop.run();
    }
}

int send_command(fleet_command command, const json& document) {
    steward_client stewards;
    int code = exit_done;
    const outcome<json> status = read_status(stewards, code);
    if (value_of(status) == nullptr) {
        return code;
    }
    const auto head = (*value_of(status))["head"].get<fleet_head>();
    if (command.kind == command_kind::sign_off && head.bundles.count(command.bundle_id) > 0) {
        command.sha256 = head.bundles.at(command.bundle_id).sha256;
    }
    if (command.kind == command_kind::resume) {
        for (const auto& [version, stop] : head.braked) {
            command.versions.push_back(version);
        }
    }
    random_source random(entropy_seed());
    command.expected_revision = FLAGS_revision < 0 ? head.revision : FLAGS_revision;
    command.by = FLAGS_by;
    command.reason = FLAGS_reason;
    command.nonce = random.identifier("n-");
    command.at_ms = wall_clock_ms();
    const http_answer answer =
        stewards.ask("POST", "/control/command", json{{"command", command}, {"document", document}}.dump());
    if (answer.status != 200) {
        return print_failure(answer);
    }
    json result = json::parse(answer.body);
    code = wait_until_in_force(stewards, result.value("revision", std::int64_t{0}), result);
    if (FLAGS_json) {
        std::cout << result.dump(2) << '\n';
    } else {
        std::cout << (result.value("accepted", false)
                          ? "accepted"
                          : "written, but not yet stored by a majority of the stewards")
                  << ": revision " << result["revision"] << ", held by " << result["held_by"] << " of "
                  << result["stewards"] << " stewards\nin force on " << result["in_force_on"] << " of "
                  << result["hosts"] << " entry hosts\n";
    }
    return code;
}

int submit(const std::vector<std::string>& arguments) {
    const outcome<json> document = read_json_file(arguments[2]);
    if (const error* failure = error_of(document)) {
        return fail(exit_usage, failure->message);
    }
    const std::vector<bundle_fault> faults = check_bundle(*value_of(document));
    if (!faults.empty()) {
        return validate(arguments);
    }
    fleet_command command;
    command.kind = command_kind::submit;
    command.bundle_id = value_of(document)->value("id", "");
    return send_command(command, *value_of(document));
}

template <command_kind Kind>
int send_bundle_command(const std::vector<std::string>& arguments) {
    fleet_command command;
    command.kind = Kind;
    command.bundle_id = arguments[2];
    return send_command(command, json());
}

int withdraw_versions(const std::vector<std::string>& arguments) {
    fleet_command command;
    command.kind = command_kind::withdraw_version;
    command.versions.assign(arguments.begin() + 2, arguments.end());
    for (const version_name& version : command.versions) {
        if (version.find('@') == std::string::npos) {
            return fail(exit_usage, "\"" + version + "\" is not a version; write it as model@version");
        }
    }
    return send_command(command, json());
}

int show_bundles(const std::vector<std::string>& /*arguments*/) {
    steward_client stewards;
    int code = exit_done;
    const outcome<json> status = read_status(stewards, code);
    if (value_of(status) == nullptr) {
        return code;
    }
    const auto head = (*value_of(status))["head"].get<fleet_head>();
    if (FLAGS_json) {
        std::cout << json{{"bundles", head.bundles},
                          {"established", head.established},
                          {"rolling", head.rolling}}
                         .dump(2)
                  << '\n';
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{{"BUNDLE", "STATE", "SHARE", "STEP", "SIGNED BY", "SHA256"}};
    for (const auto& [id, bundle_state] : head.bundles) {
        rows.push_back({id, bundle_state.state, percent(bundle_state.share),
                        std::to_string(bundle_state.step), bundle_state.signed_by,
                        bundle_state.sha256.substr(0, 12)});
    }
    print_table(rows);
    return exit_done;
}

void print_stops(const char* title, const std::map<version_name, version_stop>& stops) {
    for (const auto& [version, stop] : stops) {
        std::cout << title << ' ' << version << " by " << stop.by
                  << (stop.reason.empty() ? "" : ": " + stop.reason) << '\n';
    }
}

int show_status(const std::vector<std::string>& /*arguments*/) {
    steward_client stewards;
    int code = exit_done;
    const outcome<json> status = read_status(stewards, code);
    const json* body = value_of(status);
    if (body == nullptr) {
        return code;
    }
    if (FLAGS_json) {
        std::cout << body->dump(2) << '\n';
        return exit_done;
    }
    const auto head = (*body)["head"].get<fleet_head>();
    std::cout << "revision " << head.revision << ", confirmed "
              << ((*body)["confirmed_age_ms"].is_null()
                      ? std::string(
                            "NEVER: the platform is unavailable and no majority of the stewards answers")
                      : std::to_string((*body)["confirmed_age_ms"].get<int>()) + " ms ago")
              << "; in force on " << (*body)["in_force"] << " of " << (*body)["entries"].size()
              << " entry hosts\n"
              << "established " << (head.established.empty() ? "-" : head.established) << ", rolling "
              << (head.rolling.empty() ? "-" : head.rolling) << "; bills not yet written to the platform "
              << (*body)["bills_waiting"] << "\n\n";
    print_stops("withdrawn", head.withdrawn);
    print_stops("braked", head.braked);
    std::vector<std::vector<std::string>> rows{{"HOST", "ROLE", "DOMAIN", "ADDRESS", "STATE", "REVISION"}};
    for (const steward_record& steward : head.stewards) {
        rows.push_back({steward.name, "steward", steward.domain, steward.address, "", ""});
    }
    for (const json& entry : (*body)["entries"]) {
        rows.push_back({entry.value("name", ""), "entry", entry.value("domain", ""),
                        entry.value("address", ""), entry.value("state", ""),
                        std::to_string(entry.value("revision", std::int64_t{0}))});
    }
    print_table(rows);
    std::cout << '\n';
    rows = {{"REVISION", "BY", "AT (MS SINCE 1970)", "CHANGE"}};
    constexpr std::size_t shown_changes = 8;
    for (std::size_t i = 0; i < std::min(shown_changes, head.changes.size()); ++i) {
        const change_record& change = head.changes[i];
        rows.push_back(
            {std::to_string(change.revision), change.by, std::to_string(change.at_ms), change.what});
    }
    print_table(rows);
    return exit_done;
}

int show_ledger(const std::vector<std::string>& /*arguments*/) {
    steward_client stewards;
    const http_answer answer = stewards.ask("GET", "/control/objects?prefix=ledger/", "");
    if (answer.status != 200) {
        return print_failure(answer);
    }
    ledger_book book;
    const json body = json::parse(answer.body);
    for (const json& item : body["items"]) {
        book.add(item["value"].get<ledger_segment>());
    }
    if (FLAGS_json) {
        std::cout << json{{"totals", book.totals()},
                          {"requests", book.records().size()},
                          {"copies_folded", book.duplicates()}}
                         .dump(2)
                  << '\n';
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{{"TEAM", "REQUESTS", "TOKENS", "COST"}};
    constexpr double micro = 1e6;
    for (const auto& [team, total] : book.totals()) {
        rows.push_back({team, std::to_string(total.requests), std::to_string(total.tokens),
                        std::to_string(static_cast<double>(total.cost_micro) / micro)});
    }
    print_table(rows);
    return exit_done;
}

int show_load(const std::vector<std::string>& arguments) {
    const outcome<socket_address> address = parse_address(arguments[1]);
    if (value_of(address) == nullptr) {
        return fail(exit_usage, arguments[1] + " is no address; write an IP number and a port, as in " +
                                    "10.0.0.1:9100: the host's --metrics");
    }
    const http_answer answer = ask_for_load(*value_of(address), FLAGS_route, FLAGS_team);
    if (answer.what != http_answer::result::answered) {
        return fail(exit_failed, "no host answers at " + arguments[1] + "; give its --metrics address");
    }
    const json report = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !report.is_object() || report.count("rows") == 0) {
        return fail(exit_failed,
                    arguments[1] + " serves no load; give the --metrics address of an entry host");
    }
    if (FLAGS_json) {
        std::cout << report.dump(2) << '\n';
    } else {
        std::cout << "last " << report["window_s"] << " s:\n";
        print_table(load_table(report, "last"));
        std::cout << "\nsince the start:\n";
        print_table(load_table(report, "since_start"));
    }
    return exit_done;
}

struct command_entry {
    std::vector<std::string> words;
    std::size_t operands;
    bool is_write;
    int (*run)(const std::vector<std::string>&);
};

const std::vector<command_entry>& commands() {
    static const std::vector<command_entry> table{
        {{"bundle", "validate"}, 1, false, validate},
        {{"bundle", "submit"}, 1, true, submit},
        {{"bundle", "sign-off"}, 1, true, send_bundle_command<command_kind::sign_off>},
        {{"bundle", "roll"}, 1, true, send_bundle_command<command_kind::roll>},
        {{"bundle", "pause"}, 1, true, send_bundle_command<command_kind::pause>},
        {{"bundle", "resume"}, 1, true, send_bundle_command<command_kind::resume>},
        {{"bundle", "withdraw"}, 1, true, send_bundle_command<command_kind::withdraw_bundle>},
        {{"bundle", "status"}, 0, false, show_bundles},
        {{"version", "withdraw"}, 1, true, withdraw_versions},
        {{"status"}, 0, false, show_status},
        {{"ledger"}, 0, false, show_ledger},
        {{"load"}, 1, false, show_load},
    };
    return table;
}

int run(const std::vector<std::string>& arguments) {
    for (const command_entry& entry : commands()) {
        const bool is_named = arguments.size() >= entry.words.size() &&
                              std::equal(entry.words.begin(), entry.words.end(), arguments.begin());
        if (!is_named) {
            continue;
        }
        if (arguments.size() < entry.words.size() + entry.operands) {
            return fail(exit_usage, "\"" + entry.words[0] +
                                        (entry.words.size() > 1 ? " " + entry.words[1] : "") +
                                        "\" needs an operand; see laurelctl --help");
        }
        if (entry.is_write && FLAGS_by.empty()) {
            return fail(
                exit_usage,
                "say who you are with --by=NAME (or LAUREL_BY); the name is stored in the change history");
        }
        return entry.run(arguments);
    }
    return fail(exit_usage, arguments.empty()
                                ? "no command given; see laurelctl --help"
                                : "there is no command \"" + arguments[0] + "\"; see laurelctl --help");
}

} // namespace

} // namespace laurelhoist

int main(int argc, char** argv) {
    laurelhoist::read_settings(&argc, &argv, laurelhoist::usage_text);
    return laurelhoist::run(std::vector<std::string>(argv + 1, argv + argc));
}
