/** \file
 * The program laurel-load: callers of a running fleet. It sends a mixed load in an open loop, as callers
 * do (asks which entry to use, keeps the answer, repeats only what may be repeated, with the same key),
 * and then compares what it got with the ledger and with what the stand-ins did. Ends with a table.
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
              "entries to ask first, separated by commas");
DEFINE_string(direct, "",
              "engine addresses to call without laurelhoist, to compare with; empty: through the entries");
DEFINE_string(direct_version, "nacrt@1", "the version to ask the engines for");
DEFINE_string(controls, "", "control addresses of stewards, to read the ledger; empty: do not");
DEFINE_string(operator_key, "", "key of the stewards' control pages");
DEFINE_string(standin, "", "address of the stand-in's control page, to count doubled calls; empty: do not");
DEFINE_string(teams, "osijek,vukovar,vinkovci,dakovo,nasice", "teams; the key of each is <team>-key");
DEFINE_string(service, "claims", "plain service to call");
DEFINE_string(single_call, "submit", "its call that may not be repeated");
DEFINE_string(bad_version, "", "the version known to be bad, to count its answers");
DEFINE_double(rate, 50, "requests a second");
DEFINE_double(seconds, 10, "how long");
DEFINE_double(stream_share, 0.2, "share of streamed requests");
DEFINE_double(service_share, 0.2, "share of service calls");
DEFINE_double(costly_price, 20, "price of 1,000 tokens of the costliest version, for the comparison");
DEFINE_int32(tokens, 20, "tokens of an answer");
DEFINE_uint64(seed, 1, "seed of the load");
DEFINE_bool(only_seeds, false, "use the entries of --entries and ask for no others");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace laurelhoist {

namespace {

constexpr int most_tries = 8;
constexpr std::size_t sessions_per_team = 20;
constexpr double session_length = 15;
constexpr double good_score = 0.7;
constexpr duration settle_limit = seconds(30);

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
    time_point intended;
    int tries = 0;
    bool has_first = false;
};

class load_program {
public:
    load_program();
    int run();

private:
    void next_arrival();
    void begin_operation();
    void refresh_entries();
    void send(const std::shared_ptr<load_operation>& wish);
    void send_direct(const std::shared_ptr<load_operation>& wish);
    http_call make_call(const load_operation& wish) const;
    void on_answer(const std::shared_ptr<load_operation>& wish, const http_answer& answer);
    void on_whole(const load_operation& wish, const http_answer& answer, const std::string& text);
    void on_not_whole(const std::shared_ptr<load_operation>& wish, const http_answer& answer);
    void end(const load_operation& wish);
    std::string text_of(const load_operation& wish, const http_answer& answer, bool& is_whole);
    void settle();
    void read_ledger();
    void read_standin();
    void finish();

    event_loop loop_;
    http_client client_;
    random_source random_;
    std::vector<std::string> teams_;
    std::vector<std::string> seeds_;
    std::vector<std::string> entries_;
    std::map<std::string, std::vector<session_state>> sessions_;
    time_point began_;
    time_point settle_began_;
    std::int64_t open_ = 0;
    std::uint64_t number_ = 0;
    std::string run_id_;
    bool is_over_ = false;
    std::set<bill_key> answered_;
    std::vector<double> latencies_;
    std::vector<double> first_tokens_;
    load_report report_;
};

load_program::load_program()
    : client_{loop_},
      random_{FLAGS_seed},
      teams_{split_list(FLAGS_teams)},
      seeds_{split_list(FLAGS_entries)},
      entries_{seeds_} {
    require_setting(!teams_.empty(), "teams", FLAGS_teams, "name at least one team");
    require_setting(FLAGS_rate > 0 && FLAGS_rate <= 5000, "rate", std::to_string(FLAGS_rate),
                    "give a rate between 0 and 5000");
    require_setting(FLAGS_seconds > 0 && FLAGS_seconds <= 600, "seconds", std::to_string(FLAGS_seconds),
                    "give at most 600");
    for (const std::string& address : seeds_) {
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
    began_ = monotonic_now();
    refresh_entries();
    loop_.every(seconds(1), [this] { refresh_entries(); });
    next_arrival();
    loop_.after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(FLAGS_seconds)),
                [this] { is_over_ = true; });
    loop_.every(milliseconds(200), [this] { settle(); });
    loop_.run();
    return report_.lost + report_.foreign + report_.unbilled + report_.doubled_calls == 0 ? 0 : 1;
}

// ---- load ----

void load_program::next_arrival() {
    constexpr double micro = 1e6;
    const duration gap{static_cast<std::int64_t>(random_.exponential(micro / FLAGS_rate))};
    loop_.after(gap, [this] {
        if (!is_over_) {
            begin_operation();
            next_arrival();
        }
    });
}

void load_program::begin_operation() {
    auto wish = std::make_shared<load_operation>();
    wish->team = teams_[random_.below(teams_.size())];
    wish->key = run_id_ + "-" + std::to_string(++number_);
    wish->is_service = random_.chance(FLAGS_service_share);
    wish->is_stream = !wish->is_service && random_.chance(FLAGS_stream_share);
    wish->session = random_.below(sessions_per_team);
    wish->prompt = "question " + std::to_string(random_.below(1000000));
    wish->intended = monotonic_now();
    session_state& session = sessions_[wish->team][wish->session];
    if (random_.chance(1 / session_length)) {
        session = {run_id_ + "/" + std::to_string(number_), ""};
    }
    ++report_.asked;
    ++open_;
    FLAGS_direct.empty() ? send(wish) : send_direct(wish);
}

// Asks one entry after the other until one answers: any of them can tell.
void load_program::refresh_entries() {
    if (!FLAGS_direct.empty() || FLAGS_only_seeds) {
        return;
    }
    std::vector<std::string> known = entries_;
    known.insert(known.end(), seeds_.begin(), seeds_.end());
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

http_call load_program::make_call(const load_operation& wish) const {
    const session_state& session = sessions_.at(wish.team)[wish.session];
    http_call call;
    call.method = "POST";
    call.timeout = seconds(15);
    call.headers = {{"Authorization", "Bearer " + wish.team + "-key"},
                    {"Idempotency-Key", wish.key},
                    {"Laurelhoist-Session", session.token.empty() ? session.id : session.token},
                    {"Content-Type", "application/json"}};
    if (wish.is_service) {
        call.target = "/v1/services/" + FLAGS_service + "/" + FLAGS_single_call;
        call.body = json{{"reference", wish.key}}.dump();
        return call;
    }
    call.target = "/v1/chat/completions";
    call.is_streamed = wish.is_stream;
    call.body = json{{"messages", json::array({{{"role", "system"}, {"content", "session " + session.id}},
                                               {{"role", "user"}, {"content", wish.prompt}}})},
                     {"max_tokens", FLAGS_tokens},
                     {"stream", wish.is_stream}}
                    .dump();
    return call;
}

void load_program::send(const std::shared_ptr<load_operation>& wish) {
    ++wish->tries;
    http_call call = make_call(*wish);
    const std::size_t start = placement_hash(sessions_[wish->team][wish->session].id) % entries_.size();
    call.address = *value_of(
        parse_address(entries_[(start + static_cast<std::size_t>(wish->tries) - 1) % entries_.size()]));
    http_client::piece_handler on_piece;
    if (wish->is_stream) {
        on_piece = [this, wish](const std::string&) {
            if (!wish->has_first) {
                wish->has_first = true;
                first_tokens_.push_back(to_ms(monotonic_now() - wish->intended));
            }
        };
    }
    client_.send(
        call, [this, wish](const http_answer& answer) { on_answer(wish, answer); }, on_piece);
}

void load_program::send_direct(const std::shared_ptr<load_operation>& wish) {
    const std::vector<std::string> engines = split_list(FLAGS_direct);
    http_call call = make_call(*wish);
    if (wish->is_service) {
        call.target = "/" + FLAGS_single_call;
    } else {
        json body = json::parse(call.body);
        body["model"] = FLAGS_direct_version;
        call.body = body.dump();
    }
    call.headers["X-Request-Id"] = wish->key;
    call.address = *value_of(parse_address(engines[random_.below(engines.size())]));
    client_.send(call, [this, wish](const http_answer& answer) {
        if (answer.status == 200) {
            ++report_.whole;
            latencies_.push_back(to_ms(monotonic_now() - wish->intended));
        } else {
            ++report_.refused;
        }
        end(*wish);
    });
}

std::string load_program::text_of(const load_operation& wish, const http_answer& answer, bool& is_whole) {
    if (wish.is_service) {
        const json body = json::parse(answer.body, nullptr, false);
        is_whole = body.is_object() && body.contains("reference");
        return is_whole ? body["reference"].get<std::string>() : "";
    }
    if (!wish.is_stream) {
        const json body = json::parse(answer.body, nullptr, false);
        const json::json_pointer content("/choices/0/message/content");
        is_whole = body.is_object() && body.contains(content);
        return is_whole ? body[content].get<std::string>() : "";
    }
    is_whole = answer.body.find("data: [DONE]") != std::string::npos;
    report_.restarts += answer.body.find("laurelhoist.restart") != std::string::npos ? 1 : 0;
    return answer.body;
}

void load_program::on_answer(const std::shared_ptr<load_operation>& wish, const http_answer& answer) {
    bool is_whole = false;
    const bool is_answer = answer.what == http_answer::result::answered && answer.status == 200;
    const std::string text = is_answer ? text_of(*wish, answer, is_whole) : "";
    if (is_whole) {
        on_whole(*wish, answer, text);
        end(*wish);
    } else {
        on_not_whole(wish, answer);
    }
}

void load_program::on_whole(const load_operation& wish, const http_answer& answer, const std::string& text) {
    ++report_.whole;
    latencies_.push_back(to_ms(monotonic_now() - wish.intended));
    answered_.insert({wish.team, wish.key});
    session_state& session = sessions_[wish.team][wish.session];
    if (!answer.header("laurelhoist-session").empty()) {
        session.token = answer.header("laurelhoist-session");
    }
    if (wish.is_service) {
        report_.foreign += text == wish.key ? 0 : 1;
        return;
    }
    const std::string request = answer.header("laurelhoist-request");
    report_.foreign += text.find("answer to " + request) == std::string::npos ? 1 : 0;
    ++report_.model_answers;
    report_.tokens += FLAGS_tokens;
    const bool is_good = parse_score(text) >= good_score;
    report_.good += is_good ? 1 : 0;
    if (!FLAGS_bad_version.empty() && text.find(" by " + FLAGS_bad_version + " ") != std::string::npos) {
        ++report_.bad_released;
        report_.bad_below += is_good ? 0 : 1;
    }
}

void load_program::on_not_whole(const std::shared_ptr<load_operation>& wish, const http_answer& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    const json failure = body.is_object() ? body.value("error", json::object()) : json::object();
    const int wait_ms = std::max(100, failure.value("retry_after_ms", 300));
    // Every request carries a key, so every one may be sent again: the key keeps it from running twice.
    if (wish->tries < most_tries) {
        loop_.after(milliseconds(wait_ms), [this, wish] { send(wish); });
        return;
    }
    ++(failure.value("ran", "unknown") == "no" ? report_.refused : report_.failed);
    end(*wish);
}

void load_program::end(const load_operation& /*wish*/) {
    --open_;
}

// ---- the account ----

void load_program::settle() {
    if (!is_over_ || open_ > 0) {
        const bool is_hopeless = is_over_ && monotonic_now() - began_ > seconds(120) + settle_limit;
        if (is_hopeless) {
            finish();
        }
        return;
    }
    if (settle_began_ == time_point{}) {
        settle_began_ = monotonic_now();
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
        if (report_.unbilled > 0 && monotonic_now() - settle_began_ < settle_limit) {
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
    report_.lost = open_;
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
        row("whole answers", report_.whole);
        row("refusals (not run), after all tries", report_.refused);
        row("failures (may have run), after all tries", report_.failed);
        row("lost (no final answer at all)", report_.lost);
        row("answers of another request", report_.foreign);
        row("duplicates (single calls done twice)", report_.doubled_calls);
        row("billed requests", report_.billed);
        row("whole answers without a bill", report_.unbilled);
        row("answers from the bad version", report_.bad_released);
        row("  of these below the score", report_.bad_below);
        row("model answers at the score, share",
            static_cast<double>(report_.good) /
                static_cast<double>(std::max<std::int64_t>(1, report_.model_answers)));
        row("streams begun anew", report_.restarts);
        row("cost", report_.cost);
        row("cost, always the costly version", report_.cost_always_costly);
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
                               "laurel-load: plays the callers of a running fleet and checks what they get.");
    laurelhoist::start_log("laurel-load", "");
    laurelhoist::load_program program;
    return program.run();
}
