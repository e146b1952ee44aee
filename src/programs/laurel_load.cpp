/** \file
 * The program laurel-load: a load generator for a running fleet. It sends a mixed open-loop load as callers
 * do: it discovers the entries, and retries with the same idempotency key. At the end it compares the answers
 * with the ledger and with the calls that the stand-ins executed, and prints a table.
 */
#include "ledger/ledger.h"
#include "programs/common.h"
#include "programs/load_report.h"
#include "standin/standin.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <unordered_map>

DEFINE_string(entries, "127.0.0.1:16010,127.0.0.1:16011,127.0.0.1:16012",
              "initial entry addresses, separated by commas");
DEFINE_string(direct, "",
              "engine addresses to call directly, as a baseline; empty: call through the entries");
DEFINE_string(direct_version, "nacrt@1", "version to request in direct calls to engines");
DEFINE_string(controls, "",
              "control addresses of stewards to read the ledger from; empty: skip the ledger check");
DEFINE_string(operator_key, "", "operator key that authenticates to the stewards");
DEFINE_string(
    standin, "",
    "control address of the stand-in, to count calls that were executed twice; empty: skip this check");
DEFINE_string(teams, "osijek,vukovar,vinkovci,dakovo,nasice", "teams; the key of each is <team>-key");
DEFINE_string(service, "claims", "plain service to call");
DEFINE_string(single_call, "submit", "non-idempotent call of the service given by --service");
DEFINE_string(bad_version, "", "version known to be bad, whose answers are counted; empty: none");
DEFINE_double(rate, 50, "requests a second");
DEFINE_double(seconds, 10, "duration of the load in seconds");
DEFINE_double(stream_share, 0.2, "share of streamed requests");
DEFINE_double(service_share, 0.2, "share of service calls");
DEFINE_double(costly_price, 20, "price of 1,000 tokens of the costliest version, for the cost comparison");
DEFINE_int32(tokens, 20, "tokens per answer");
DEFINE_uint64(seed, 1, "seed of the load");
DEFINE_bool(only_seeds, false, "use only the entries of --entries, without discovery");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace laurelhoist {

namespace {

constexpr int max_attempts = 8;
constexpr std::size_t sessions_per_team = 20;
constexpr double mean_requests_per_session = 15;
constexpr double min_good_score = 0.7;
constexpr duration max_billing_wait = seconds(30);

struct session_state {
    std::string id;
    std::string token;
};

struct load_operation {
    std::string team;
    std::string key;
    bool is_service = false;
    bool is_stream = false;
    std::size_t session = 0;
    std::string prompt;
    time_point intended_start; ///< arrival time, from which latencies are measured
    int attempts = 0;
    bool has_first_token = false;
};

class load_program {
public:
    load_program();
    int run();

private:
    void schedule_next_arrival();
    void begin_operation();
    void refresh_entries();
    void send(const std::shared_ptr<load_operation>& operation);
    void send_direct(const std::shared_ptr<load_operation>& operation);
    http_call make_call(const load_operation& operation) const;
    void on_answer(const std::shared_ptr<load_operation>& operation, const http_answer& answer);
    void on_complete_answer(const load_operation& operation, const http_answer& answer,
                            const std::string& text);
    void on_incomplete_answer(const std::shared_ptr<load_operation>& operation, const http_answer& answer);
    void end_operation(const load_operation& operation);
    std::string extract_text(const load_operation& operation, const http_answer& answer, bool& is_complete);
    void verify_when_finished();
    void read_ledger();
    void read_standin();
    void finish();

    event_loop loop_;
    http_client client_;
    random_source random_;
    std::vector<std::string> teams_;
    std::vector<std::string> initial_entries_;
    std::vector<std::string> entries_;
    std::map<std::string, std::vector<session_state>> sessions_;
    time_point started_at_;
    time_point verification_started_at_;
    std::int64_t open_operations_ = 0;
    std::uint64_t operation_count_ = 0;
    std::string run_id_;
    bool is_load_finished_ = false;
    std::set<bill_key> answered_;
    std::vector<double> latencies_;
    std::vector<double> first_tokens_;
    load_run_report report_;
};

load_program::load_program()
    : client_{loop_},
      random_{FLAGS_seed},
      teams_{split_list(FLAGS_teams)},
      initial_entries_{split_list(FLAGS_entries)},
      entries_{initial_entries_} {
    require_setting(!teams_.empty(), "teams", FLAGS_teams, "name at least one team");
    require_setting(FLAGS_rate > 0 && FLAGS_rate <= 5000, "rate", std::to_string(FLAGS_rate),
                    "give a rate between 0 and 5000");
    require_setting(FLAGS_seconds > 0 && FLAGS_seconds <= 600, "seconds", std::to_string(FLAGS_seconds),
                    "give at most 600");
    for (const std::string& address : initial_entries_) {
        require_address("entries", address);
    }
    run_id_ = random_source(entropy_seed()).identifier("load-");
    for (const std::string& team : teams_) {
        for (std::size_t i = 0; i < sessions_per_team; ++i) {
            sessions_[team].push_back({run_id_ + "/" + team + "/" + std::to_string(i), ""});
        }
    }
}

int load_program::run() {
    started_at_ = monotonic_now();
    refresh_entries();
    loop_.every(seconds(1), [this] { refresh_entries(); });
    schedule_next_arrival();
    loop_.after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_seconds)),
                [this] { is_load_finished_ = true; });
    loop_.every(milliseconds(200), [this] { verify_when_finished(); });
    loop_.run();
    return report_.lost + report_.foreign + report_.unbilled + report_.doubled_calls == 0 ? 0 : 1;
}

// ---- load ----

void load_program::schedule_next_arrival() {
    constexpr double micro = 1e6;
    const duration gap{static_cast<std::int64_t>(random_.exponential(micro / FLAGS_rate))};
    loop_.after(gap, [this] {
        if (!is_load_finished_) {
            begin_operation();
            schedule_next_arrival();
        }
    });
}

void load_program::begin_operation() {
    auto operation = std::make_shared<load_operation>();
    operation->team = teams_[random_.below(teams_.size())];
    operation->key = run_id_ + "-" + std::to_string(++operation_count_);
    operation->is_service = random_.chance(FLAGS_service_share);
    operation->is_stream = !operation->is_service && random_.chance(FLAGS_stream_share);
    operation->session = random_.below(sessions_per_team);
    operation->prompt = "question " + std::to_string(random_.below(1000000));
    operation->intended_start = monotonic_now();
    session_state& session = sessions_[operation->team][operation->session];
    if (random_.chance(1 / mean_requests_per_session)) {
        session = {run_id_ + "/" + std::to_string(operation_count_), ""};
    }
    ++report_.asked;
    ++open_operations_;
    FLAGS_direct.empty() ? send(operation) : send_direct(operation);
}

// Asks a random known entry for the list of entries; the current list stays if the request fails.
void load_program::refresh_entries() {
    if (!FLAGS_direct.empty() || FLAGS_only_seeds) {
        return;
    }
    std::vector<std::string> known = entries_;
    known.insert(known.end(), initial_entries_.begin(), initial_entries_.end());
    http_call call;
    call.address = *value_of(parse_address(known[random_.below(known.size())]));
    call.target = "/v1/entries?session=any";
    call.timeout = seconds(1);
    client_.send(call, [this](const http_answer& answer) {
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.status != 200 || !body.is_object() || body["entries"].empty()) {
            return;
        }
        entries_.clear();
        for (const json& entry : body["entries"]) {
            entries_.push_back(entry["address"].get<std::string>());
        }
    });
}

http_call load_program::make_call(const load_operation& operation) const {
    const session_state& session = sessions_.at(operation.team)[operation.session];
    http_call call;
    call.method = "POST";
    call.timeout = seconds(15);
    call.headers = {{"Authorization", "Bearer " + operation.team + "-key"},
                    {"Idempotency-Key", operation.key},
                    {"Laurelhoist-Session", session.token.empty() ? session.id : session.token},
                    {"Content-Type", "application/json"}};
    if (operation.is_service) {
        call.target = "/v1/services/" + FLAGS_service + "/" + FLAGS_single_call;
        call.body = json{{"reference", operation.key}}.dump();
        return call;
    }
    call.target = "/v1/chat/completions";
    call.is_streamed = operation.is_stream;
    call.body = json{{"messages", json::array({{{"role", "system"}, {"content", "session " + session.id}},
                                               {{"role", "user"}, {"content", operation.prompt}}})},
                     {"max_tokens", FLAGS_tokens},
                     {"stream", operation.is_stream}}
                    .dump();
    return call;
}

void load_program::send(const std::shared_ptr<load_operation>& operation) {
    ++operation->attempts;
    http_call call = make_call(*operation);
    const std::size_t start =
        placement_hash(sessions_[operation->team][operation->session].id) % entries_.size();
    call.address = *value_of(parse_address(
        entries_[(start + static_cast<std::size_t>(operation->attempts) - 1) % entries_.size()]));
    http_client::piece_handler on_piece;
    if (operation->is_stream) {
        on_piece = [this, operation](const std::string&) {
            if (!operation->has_first_token) {
                operation->has_first_token = true;
                first_tokens_.push_back(to_ms(monotonic_now() - operation->intended_start));
            }
        };
    }
    client_.send(
        call, [this, operation](const http_answer& answer) { on_answer(operation, answer); }, on_piece);
}

void load_program::send_direct(const std::shared_ptr<load_operation>& operation) {
    const std::vector<std::string> engines = split_list(FLAGS_direct);
    http_call call = make_call(*operation);
    if (operation->is_service) {
        call.target = "/" + FLAGS_single_call;
    } else {
        json body = json::parse(call.body);
        body["model"] = FLAGS_direct_version;
        call.body = body.dump();
    }
    call.headers["X-Request-Id"] = operation->key;
    call.address = *value_of(parse_address(engines[random_.below(engines.size())]));
    client_.send(call, [this, operation](const http_answer& answer) {
        if (answer.status == 200) {
            ++report_.whole;
            latencies_.push_back(to_ms(monotonic_now() - operation->intended_start));
        } else {
            ++report_.refused;
        }
        end_operation(*operation);
    });
}

std::string load_program::extract_text(const load_operation& operation, const http_answer& answer,
                                       bool& is_complete) {
    if (operation.is_service) {
        const json body = json::parse(answer.body, nullptr, false);
        is_complete = body.is_object() && body.contains("reference");
        return is_complete ? body["reference"].get<std::string>() : "";
    }
    if (!operation.is_stream) {
        const json body = json::parse(answer.body, nullptr, false);
        const json::json_pointer content("/choices/0/message/content");
        is_complete = body.is_object() && body.contains(content);
        return is_complete ? body[content].get<std::string>() : "";
    }
    is_complete = answer.body.find("data: [DONE]") != std::string::npos;
    report_.restarts += answer.body.find("laurelhoist.restart") != std::string::npos ? 1 : 0;
    return answer.body;
}

void load_program::on_answer(const std::shared_ptr<load_operation>& operation, const http_answer& answer) {
    bool is_complete = false;
    const bool is_answer = answer.what == http_answer::result::answered && answer.status == 200;
    const std::string text = is_answer ? extract_text(*operation, answer, is_complete) : "";
    if (is_complete) {
        on_complete_answer(*operation, answer, text);
        end_operation(*operation);
    } else {
        on_incomplete_answer(operation, answer);
    }
}

void load_program::on_complete_answer(const load_operation& operation, const http_answer& answer,
                                      const std::string& text) {
    ++report_.whole;
    latencies_.push_back(to_ms(monotonic_now() - operation.intended_start));
    answered_.insert({operation.team, operation.key});
    session_state& session = sessions_[operation.team][operation.session];
    if (!answer.header("laurelhoist-session").empty()) {
        session.token = answer.header("laurelhoist-session");
    }
    if (operation.is_service) {
        report_.foreign += text == operation.key ? 0 : 1;
        return;
    }
    const std::string request = answer.header("laurelhoist-request");
    report_.foreign += text.find("answer to " + request) == std::string::npos ? 1 : 0;
    ++report_.model_answers;
    report_.tokens += FLAGS_tokens;
    const bool is_good = parse_score(text) >= min_good_score;
    report_.good += is_good ? 1 : 0;
    if (!FLAGS_bad_version.empty() && text.find(" by " + FLAGS_bad_version + " ") != std::string::npos) {
        ++report_.bad_released;
        report_.bad_below += is_good ? 0 : 1;
    }
}

void load_program::on_incomplete_answer(const std::shared_ptr<load_operation>& operation,
                                        const http_answer& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    const json failure = body.is_object() ? body.value("error", json::object()) : json::object();
    const int wait_ms = std::max(100, failure.value("retry_after_ms", 300));
    // Every request carries an idempotency key, which keeps a retry from executing it a second time.
    if (operation->attempts < max_attempts) {
        loop_.after(milliseconds(wait_ms), [this, operation] { send(operation); });
        return;
    }
    ++(failure.value("ran", "unknown") == "no" ? report_.refused : report_.failed);
    end_operation(*operation);
}

void load_program::end_operation(const load_operation& /*operation*/) {
    --open_operations_;
}

// ---- comparison with the ledger and the stand-ins ----

void load_program::verify_when_finished() {
    if (!is_load_finished_ || open_operations_ > 0) {
        const bool is_overdue =
            is_load_finished_ && monotonic_now() - started_at_ > seconds(120) + max_billing_wait;
        if (is_overdue) {
            finish();
        }
        return;
    }
    if (verification_started_at_ == time_point{}) {
        verification_started_at_ = monotonic_now();
        FLAGS_controls.empty() ? read_standin() : read_ledger();
    }
}

void load_program::read_ledger() {
    http_call call;
    const std::vector<std::string> controls = split_list(FLAGS_controls);
    call.address = *value_of(parse_address(controls[random_.below(controls.size())]));
    call.target = "/control/objects?prefix=ledger/";
    call.headers = {{"Authorization", "Bearer " + FLAGS_operator_key}};
    call.timeout = seconds(10);
    client_.send(call, [this](const http_answer& answer) {
        ledger_book book;
        const json body = json::parse(answer.body, nullptr, false);
        for (const json& item : body.is_object() ? body.value("items", json::array()) : json::array()) {
            book.add(item["value"].get<ledger_segment>());
        }
        report_.billed = 0;
        std::int64_t cost_micro = 0;
        for (const auto& [key, record] : book.records()) {
            if (key.request_id.rfind(run_id_, 0) == 0) {
                ++report_.billed;
                cost_micro += record.cost_micro;
            }
        }
        constexpr double micro = 1e6;
        report_.cost = static_cast<double>(cost_micro) / micro;
        report_.unbilled = std::count_if(answered_.begin(), answered_.end(), [&book](const bill_key& key) {
            return book.records().count(key) == 0;
        });
        if (report_.unbilled > 0 && monotonic_now() - verification_started_at_ < max_billing_wait) {
            loop_.after(milliseconds(500), [this] { read_ledger(); });
            return;
        }
        read_standin();
    });
}

void load_program::read_standin() {
    if (FLAGS_standin.empty()) {
        finish();
        return;
    }
    http_call call;
    call.address = require_address("standin", FLAGS_standin);
    call.target = "/statistics";
    client_.send(call, [this](const http_answer& answer) {
        const json body = json::parse(answer.body, nullptr, false);
        report_.doubled_calls = body.is_object() ? body.value("calls_doubled", std::int64_t{0}) : -1;
        finish();
    });
}

void load_program::finish() {
    report_.lost = open_operations_;
    report_.p50_ms = quantile_of(latencies_, 0.5);
    report_.p95_ms = quantile_of(latencies_, 0.95);
    report_.p99_ms = quantile_of(latencies_, 0.99);
    report_.first_token_p95_ms = quantile_of(first_tokens_, 0.95);
    constexpr double per_thousand = 1000;
    report_.cost_always_costly = static_cast<double>(report_.tokens) * FLAGS_costly_price / per_thousand;
    if (FLAGS_json) {
        std::cout << json(report_).dump() << '\n';
    } else {
        const auto row = [](const char* name, const auto& value) {
            std::cout << "  " << std::left << std::setw(46) << name << value << '\n';
        };
        row("requests", report_.asked);
        row("complete answers", report_.whole);
        row("refusals (not executed), after all attempts", report_.refused);
        row("failures (maybe executed), after all attempts", report_.failed);
        row("lost (no final answer)", report_.lost);
        row("answers of another request", report_.foreign);
        row("non-idempotent calls executed twice", report_.doubled_calls);
        row("billed requests", report_.billed);
        row("complete answers without a bill", report_.unbilled);
        row("answers from the bad version", report_.bad_released);
        row("  of these below the score", report_.bad_below);
        row("share of model answers at or above the score",
            static_cast<double>(report_.good) /
                static_cast<double>(std::max<std::int64_t>(1, report_.model_answers)));
        row("restarted streams", report_.restarts);
        row("cost", report_.cost);
        row("cost with only the costly version", report_.cost_always_costly);
        row("p50 / p95 / p99 in ms", std::to_string(report_.p50_ms) + " / " + std::to_string(report_.p95_ms) +
                                         " / " + std::to_string(report_.p99_ms));
        row("first token, p95 in ms", report_.first_token_p95_ms);
    }
    loop_.stop();
}

} // namespace

} // namespace laurelhoist

int main(int argc, char** argv) {
    laurelhoist::read_settings(&argc, &argv,
                               "laurel-load: sends load to a running fleet and checks the answers.");
    laurelhoist::start_log("laurel-load", "");
    laurelhoist::load_program program;
    return program.run();
}
