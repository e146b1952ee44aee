/** \file
 * The program laurel-entry: connects entry_core to the network. It serves the callers' HTTP interface, calls
 * endpoints and the rating service, and keeps links to stewards.
 */
#include "node/node.h"
#include "programs/common.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <unordered_map>

DEFINE_string(name, "", "this host's name, as the platform lists it");
DEFINE_string(domain, "", "the failure domain of this host");
DEFINE_string(listen, "127.0.0.1:8080", "address for callers");
DEFINE_string(advertise, "", "address published to callers; empty: the one listened on");
DEFINE_string(stewards, "127.0.0.1:7000", "initial steward addresses, separated by commas");
DEFINE_uint32(steward_links, 3, "number of stewards to keep links with");
DEFINE_string(rater, "", "address of the rating service; empty: answers are not rated");
DEFINE_uint32(rating_timeout_ms, 2000, "timeout of a rating in ms");
DEFINE_uint32(callers_keep_ms, 5000, "how long callers may cache the response of /v1/entries, in ms");
DEFINE_uint32(max_body_bytes, 1048576, "largest request body in bytes");
DEFINE_string(session_key, "", "key that signs session tokens; the same on every entry host");
DEFINE_string(fleet_key, "", "key shared by entries and stewards");
DEFINE_string(charts, "charts", "directory of the state charts");
DEFINE_string(record, "", "file to record a trace of the requests to; empty: none");

namespace laurelhoist {

namespace {

constexpr duration tick_interval = milliseconds(50);
constexpr duration connect_interval = milliseconds(500);
constexpr int default_expected_tokens = 200;  // for requests without max_tokens
constexpr std::size_t max_prefix_bytes = 200; // of the first message; identifies the prompt prefix

/** A caller whose response is not complete yet. */
struct waiting_caller {
    std::shared_ptr<http_responder> responder;
    bool is_stream = false;
    bool has_begun = false;
};

/** Parses a stream of server-sent events that arrives in pieces of any size. */
class sse_parser {
public:
    /** \return the data of the events that \p piece completes. Events whose first field is not `data` are
     * skipped. */
    std::vector<std::string> add(const std::string& piece) {
        text_ += piece;
        std::vector<std::string> events;
        std::size_t end = text_.find("\n\n");
        while (end != std::string::npos) {
            const std::string event = text_.substr(0, end);
            text_.erase(0, end + 2);
            constexpr std::string_view field = "data: ";
            if (event.rfind(field, 0) == 0) {
                events.push_back(event.substr(field.size()));
            }
            end = text_.find("\n\n");
        }
        return events;
    }

private:
    std::string text_;
};

class entry_program : public entry_port {
public:
    entry_program();
    void run();

    void call_endpoint(const endpoint_call& call) override;
    void cancel_call(const std::string& call_id) override;
    void request_rating(const rating_request& request) override;
    void send_to_steward(const std::string& incarnation, const node_message& message) override;
    void reply(const caller_reply& reply) override;
    void stream(const stream_part& part) override;
    std::int64_t wall_clock_ms() const override { return laurelhoist::wall_clock_ms(); }

private:
    struct steward_connection {
        std::string address;
        std::string incarnation; ///< empty until the steward's hello has arrived
    };
    struct open_stream {
        sse_parser events;
        std::string text;
        std::int64_t tokens = 0;
        bool is_complete = false;
        std::string version;
        std::string request_id;
    };

    static entry_settings read_entry_settings();
    void on_http(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_model_request(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_service_request(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_entries(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_lookup(const http_request& request, const std::shared_ptr<http_responder>& responder);
    caller_request begin_request(const http_request& request,
                                 const std::shared_ptr<http_responder>& responder, bool is_stream);
    void submit(const caller_request& incoming);

    void connect_stewards();
    void on_link_open(link_id link);
    void on_link_message(link_id link, const std::string& bytes);
    void on_link_close(link_id link);
    hello_message make_hello() const;

    void on_endpoint_response(const endpoint_call& call, const http_answer& answer);
    void on_stream_piece(const std::string& call_id, const std::string& piece);
    static http_headers reply_headers(const caller_reply& reply);

    entry_settings settings_;
    event_loop loop_;
    metrics metrics_;
    entry_charts charts_;
    entry_core core_;
    http_client client_;
    link_client links_;
    std::unique_ptr<http_server> server_;
    caller_handle last_caller_ = 0;
    std::unordered_map<caller_handle, waiting_caller> callers_;
    std::unordered_map<std::string, http_client::canceller> cancel_by_call_;
    std::unordered_map<std::string, open_stream> streams_;
    std::map<link_id, steward_connection> connections_;
    std::map<std::string, link_id> link_by_steward_;
    std::size_t next_candidate_ = 0;
    std::unique_ptr<std::ostream> trace_output_;
    std::int64_t recording_started_us_ = 0;
};

entry_settings entry_program::read_entry_settings() {
    require_setting(!FLAGS_name.empty(), "name", FLAGS_name, "give this host's name");
    require_setting(!FLAGS_domain.empty(), "domain", FLAGS_domain, "give this host's failure domain");
    require_setting(FLAGS_session_key.size() >= 16, "session_key", "(hidden)",
                    "give a key of at least 16 characters");
    require_setting(FLAGS_fleet_key.size() >= 16, "fleet_key", "(hidden)",
                    "give a key of at least 16 characters");
    require_setting(!split_list(FLAGS_stewards).empty(), "stewards", FLAGS_stewards,
                    "name at least one steward");
    require_setting(FLAGS_steward_links >= 2, "steward_links", std::to_string(FLAGS_steward_links),
                    "use at least 2, so that the entry keeps working when one steward is lost");
    for (const std::string& steward : split_list(FLAGS_stewards)) {
        require_address("stewards", steward);
    }
    if (!FLAGS_rater.empty()) {
        require_address("rater", FLAGS_rater);
    }
    random_source random(entropy_seed());
    entry_settings settings;
    settings.name = FLAGS_name;
    settings.incarnation = random.identifier(FLAGS_name + "-");
    settings.address = FLAGS_advertise.empty() ? FLAGS_listen : FLAGS_advertise;
    settings.domain = FLAGS_domain;
    settings.session_key = FLAGS_session_key;
    settings.entry_list_cache_time = milliseconds(FLAGS_callers_keep_ms);
    return settings;
}

entry_program::entry_program()
    : settings_{read_entry_settings()},
      charts_{load_chart_or_exit(FLAGS_charts, "request"), load_chart_or_exit(FLAGS_charts, "endpoint"),
              load_chart_or_exit(FLAGS_charts, "host")},
      core_{settings_, charts_, *this, metrics_, entropy_seed()},
      client_{loop_},
      links_{loop_,
             {[this](link_id link) { on_link_open(link); },
              [this](link_id link, const std::string& bytes) { on_link_message(link, bytes); },
              [this](link_id link) { on_link_close(link); }}} {
    http_limits limits;
    limits.body_bytes = FLAGS_max_body_bytes;
    server_ = std::make_unique<http_server>(
        loop_, listen_target{"--listen", require_address("listen", FLAGS_listen)}, limits,
        [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            on_http(request, responder);
        });
}

void entry_program::run() {
    if (!FLAGS_record.empty()) {
        trace_output_ = std::make_unique<std::ofstream>(FLAGS_record);
        recording_started_us_ = to_micros(monotonic_now());
        require_setting(trace_output_->good(), "record", FLAGS_record, "give a file that can be written");
    }
    log_info("started",
             {{"listen", FLAGS_listen}, {"domain", FLAGS_domain}, {"incarnation", settings_.incarnation}});
    loop_.every(tick_interval, [this] {
        core_.on_tick(monotonic_now());
        metrics_.gauge("open_requests", static_cast<double>(core_.open_requests()));
        metrics_.gauge("undrained_bills", static_cast<double>(core_.undrained_bills()));
        metrics_.gauge("link_bytes_sent", static_cast<double>(links_.bytes_sent()));
        if (core_.is_stopped() && callers_.empty()) {
            loop_.stop();
        }
    });
    loop_.every(connect_interval, [this] { connect_stewards(); });
    loop_.on_stop_signal([this] { core_.begin_stop(monotonic_now()); });
    accept_stop_signals();
    connect_stewards();
    loop_.run();
}

// ---- callers ----

void entry_program::on_http(const http_request& request, const std::shared_ptr<http_responder>& responder) {
    constexpr std::string_view services = "/v1/services/";
    constexpr std::string_view requests = "/v1/requests/";
    if (serve_health_pages(request, responder, metrics_, core_.is_ready(monotonic_now()))) {
        return;
    }
    if (request.method == "GET" && request.path == "/v1/entries") {
        on_entries(request, responder);
    } else if (request.method == "POST" && request.path == "/v1/chat/completions") {
        on_model_request(request, responder);
    } else if (request.method == "POST" && request.path.rfind(services, 0) == 0) {
        on_service_request(request, responder);
    } else if (request.method == "GET" && request.path.rfind(requests, 0) == 0) {
        on_lookup(request, responder);
    } else {
        reply_with_error(responder,
                         {error_kind::not_found, request.method + " " + request.path +
                                                     " is not served by this host; see docs/INTERFACES.md"});
    }
}

void entry_program::on_entries(const http_request& request,
                               const std::shared_ptr<http_responder>& responder) {
    const json body = {{"entries", core_.entries_for(request.parameter("session"))},
                       {"keep_ms", FLAGS_callers_keep_ms}};
    responder->reply(200, {}, body.dump());
}

std::string bearer_token(const http_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = request.header("authorization");
    return value.rfind(scheme, 0) == 0 ? value.substr(scheme.size()) : std::string{};
}

caller_request entry_program::begin_request(const http_request& request,
                                            const std::shared_ptr<http_responder>& responder,
                                            bool is_stream) {
    const caller_handle caller = ++last_caller_;
    callers_[caller] = {responder, is_stream, false};
    responder->on_disconnect([this, caller] {
        callers_.erase(caller);
        core_.on_caller_gone(caller, monotonic_now());
    });
    caller_request incoming;
    incoming.caller = caller;
    incoming.team_key = bearer_token(request);
    incoming.idempotency_key = request.header("idempotency-key");
    incoming.session = request.header("laurelhoist-session");
    incoming.kind = request.header("laurelhoist-kind");
    incoming.stream = is_stream;
    return incoming;
}

void entry_program::on_model_request(const http_request& request,
                                     const std::shared_ptr<http_responder>& responder) {
    const outcome<json> parsed = parse_json_object(request.body);
    if (const error* failure = error_of(parsed)) {
        reply_with_error(responder, *failure);
        return;
    }
    const json& body = *value_of(parsed);
    const bool has_messages =
        body.contains("messages") && body["messages"].is_array() && !body["messages"].empty();
    const bool is_stream_valid = !body.contains("stream") || body["stream"].is_boolean();
    if (!has_messages || !is_stream_valid) {
        reply_with_error(
            responder,
            {error_kind::invalid_request,
             "\"messages\" must be a list with at least one message, and \"stream\" true or false"});
        return;
    }
    caller_request incoming = begin_request(request, responder, body.value("stream", false));
    incoming.body = body;
    if (body.contains("max_tokens") && body["max_tokens"].is_number_integer()) {
        constexpr int max_expected_tokens = 100000;
        incoming.expected_tokens = std::clamp(body["max_tokens"].get<int>(), 1, max_expected_tokens);
    } else {
        incoming.expected_tokens = default_expected_tokens;
    }
    const json& first = body["messages"][0];
    const bool has_text = first.is_object() && first.contains("content") && first["content"].is_string();
    incoming.prefix =
        has_text ? first["content"].get<std::string>().substr(0, max_prefix_bytes) : incoming.session;
    submit(incoming);
}

void entry_program::on_service_request(const http_request& request,
                                       const std::shared_ptr<http_responder>& responder) {
    const std::string rest = request.path.substr(std::string("/v1/services/").size());
    const std::size_t slash = rest.find('/');
    const outcome<json> parsed = parse_json_object(request.body.empty() ? "{}" : request.body);
    if (const error* failure = error_of(parsed)) {
        reply_with_error(responder, *failure);
        return;
    }
    caller_request incoming = begin_request(request, responder, false);
    incoming.service = rest.substr(0, slash);
    incoming.path = slash == std::string::npos ? "" : rest.substr(slash + 1);
    incoming.body = *value_of(parsed);
    submit(incoming);
}

void entry_program::submit(const caller_request& incoming) {
    if (trace_output_) {
        const team_entry* team = core_.view().team_by_key(team_key_hash(incoming.team_key));
        const trace_line line{to_micros(monotonic_now()) - recording_started_us_,
                              team == nullptr ? "" : team->name,
                              incoming.kind,
                              incoming.service,
                              incoming.path,
                              incoming.stream,
                              incoming.expected_tokens};
        *trace_output_ << to_json_text(line) << '\n';
    }
    core_.on_request(incoming, monotonic_now());
}

void entry_program::on_lookup(const http_request& request, const std::shared_ptr<http_responder>& responder) {
    const caller_request incoming = begin_request(request, responder, false);
    const std::string key = request.path.substr(std::string("/v1/requests/").size());
    core_.on_lookup(incoming.caller, incoming.team_key, key, monotonic_now());
}

http_headers entry_program::reply_headers(const caller_reply& reply) {
    http_headers headers;
    const auto set = [&headers](const char* name, const std::string& value) {
        if (!value.empty()) {
            headers[name] = value;
        }
    };
    set("Laurelhoist-Request", reply.request_id);
    set("Laurelhoist-Session", reply.session);
    set("Laurelhoist-Version", reply.version);
    set("Laurelhoist-Session-Moved", reply.moved_from);
    if (reply.tier >= 0) {
        headers["Laurelhoist-Tier"] = std::to_string(reply.tier);
    }
    if (reply.retry_after_ms > 0) {
        headers["Retry-After"] = std::to_string((reply.retry_after_ms + 999) / 1000);
    }
    return headers;
}

void entry_program::reply(const caller_reply& reply) {
    const auto found = callers_.find(reply.caller);
    if (found == callers_.end()) {
        return;
    }
    const waiting_caller caller = found->second;
    callers_.erase(found);
    caller.responder->reply(reply.status, reply_headers(reply), to_json_text(reply.body));
}

std::string to_event(const std::string& name, const json& data) {
    const std::string field = name.empty() ? "" : "event: " + name + "\n";
    return field + "data: " + to_json_text(data) + "\n\n";
}

void entry_program::stream(const stream_part& part) {
    const auto found = callers_.find(part.caller);
    if (found == callers_.end()) {
        return;
    }
    waiting_caller& caller = found->second;
    if (part.what == stream_part::kind::failure && !caller.has_begun) {
        reply(part.summary);
        return;
    }
    const std::shared_ptr<http_responder> responder = caller.responder;
    if (!caller.has_begun) {
        caller.has_begun = true;
        http_headers headers = reply_headers(part.summary);
        headers["Content-Type"] = "text/event-stream";
        headers["Cache-Control"] = "no-cache";
        responder->begin_stream(200, headers);
    }
    const json delta = {{"id", part.summary.request_id},
                        {"object", "chat.completion.chunk"},
                        {"model", part.summary.version},
                        {"choices", json::array({{{"index", 0}, {"delta", {{"content", part.text}}}}})}};
    switch (part.what) {
    case stream_part::kind::text:
        responder->write(to_event("", delta));
        return;
    case stream_part::kind::restart:
        responder->write(
            to_event("laurelhoist.restart", {{"reason", "the answer begins anew; drop what came before"},
                                             {"model", part.summary.version}}));
        return;
    case stream_part::kind::end:
        responder->write(to_event("laurelhoist.end", part.summary.body["laurelhoist"]));
        responder->write("data: [DONE]\n\n");
        break;
    case stream_part::kind::failure:
        responder->write(to_event("laurelhoist.error", part.summary.body));
        break;
    }
    callers_.erase(part.caller);
    responder->end_stream();
}

// ---- endpoints ----

void entry_program::call_endpoint(const endpoint_call& call) {
    const outcome<socket_address> address = parse_address(call.endpoint.address);
    if (value_of(address) == nullptr) {
        loop_.post([this, call] {
            endpoint_answer bad;
            bad.result = call_result::refused_not_run;
            core_.on_endpoint_answer(call.call_id, bad, monotonic_now());
        });
        return;
    }
    http_call request;
    request.address = *value_of(address);
    request.method = "POST";
    request.target = call.version.empty() ? "/" + call.path : "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Request-Id", call.request_id},
                       {"X-Priority", std::to_string(call.priority)}};
    json body = call.body;
    if (!call.version.empty()) {
        body["model"] = call.version;
    }
    if (call.resume_from > 0) {
        request.headers["X-Resume-From"] = std::to_string(call.resume_from);
    }
    request.body = body.dump();
    request.timeout = call.timeout;
    request.is_streamed = call.stream;
    request.needs_fresh_connection = !call.is_idempotent;
    http_client::piece_handler on_piece;
    if (call.stream) {
        streams_[call.call_id] = {};
        on_piece = [this, id = call.call_id](const std::string& piece) { on_stream_piece(id, piece); };
    }
    cancel_by_call_[call.call_id] = client_.send(
        request, [this, call](const http_answer& answer) { on_endpoint_response(call, answer); }, on_piece);
}

void entry_program::cancel_call(const std::string& call_id) {
    const auto found = cancel_by_call_.find(call_id);
    if (found != cancel_by_call_.end()) {
        found->second();
        cancel_by_call_.erase(found);
        streams_.erase(call_id);
    }
}

void entry_program::on_stream_piece(const std::string& call_id, const std::string& piece) {
    const auto found = streams_.find(call_id);
    if (found == streams_.end()) {
        return;
    }
    for (const std::string& data : found->second.events.add(piece)) {
        const auto current = streams_.find(call_id);
        if (current == streams_.end()) {
            return; // An earlier event of this piece ended the call.
        }
        if (data == "[DONE]") {
            current->second.is_complete = true;
            continue;
        }
        const json part = read_foreign_document(data).value;
        if (!part.is_object()) {
            continue;
        }
        current->second.version = part.value("model", "");
        current->second.request_id = part.value("id", "");
        const std::string text = part.value("text", "");
        current->second.text += text;
        ++current->second.tokens;
        core_.on_endpoint_part(call_id, part.value("index", 0), text, monotonic_now());
    }
}

load_report parse_load_report(const http_answer& answer) {
    load_report report;
    const std::string running = answer.header("x-load-running");
    const std::string queued = answer.header("x-load-queued");
    report.running = running.empty() ? -1 : std::atoi(running.c_str());
    report.queued = std::atoi(queued.c_str());
    report.versions = split_list(answer.header("x-loaded-versions"));
    return report;
}

endpoint_statement parse_endpoint_statement(const http_answer& answer) {
    constexpr int status_too_many = 429;
    constexpr int status_unavailable = 503;
    endpoint_statement statement;
    statement.rate_limit = parse_decimal(answer.header("x-rate-limit"));
    statement.is_leaving = !answer.header("x-leaving").empty();
    if (answer.status == status_unavailable || answer.status == status_too_many) {
        statement.back_off = parse_retry_after(answer.header("retry-after"), answer.header("date"));
    }
    return statement;
}

void entry_program::on_endpoint_response(const endpoint_call& call, const http_answer& answer) {
    cancel_by_call_.erase(call.call_id);
    endpoint_answer arrived;
    arrived.report = parse_load_report(answer);
    arrived.status = answer.status;
    arrived.request_id = answer.header("x-request-id");
    arrived.version = answer.header("x-served-version");
    arrived.version_missing = !answer.header("x-version-missing").empty();
    arrived.is_silent = answer.what == http_answer::result::silent;
    const bool is_not_run = !answer.header("x-not-run").empty();
    arrived.statement = parse_endpoint_statement(answer);
    const bool is_service = call.version.empty();
    const bool has_full_response = answer.what == http_answer::result::answered;
    const bool is_leaving = is_not_run && !answer.header("x-leaving").empty();
    if (is_leaving) {
        arrived.result = call_result::leaving;
    } else if (is_not_run || answer.what == http_answer::result::not_sent) {
        arrived.result = call_result::refused_not_run;
    } else if (has_full_response && (answer.status == 200 || is_service)) {
        arrived.result = call_result::answered;
    }
    const auto open = streams_.find(call.call_id);
    if (open != streams_.end()) {
        const bool is_truncated = arrived.result == call_result::answered && !open->second.is_complete;
        arrived.result = is_truncated ? call_result::failed : arrived.result;
        arrived.text = open->second.text;
        arrived.tokens = open->second.tokens + call.resume_from;
        streams_.erase(open);
    } else if (arrived.result == call_result::answered) {
        foreign_document document = read_foreign_document(answer.body);
        const bool is_whole = !document.value.is_discarded() && !document.is_shortened;
        arrived.body = is_whole ? std::move(document.value) : json(answer.body);
        if (!is_service) {
            const json::json_pointer text("/choices/0/message/content");
            const json::json_pointer tokens("/usage/completion_tokens");
            const bool is_well_formed =
                arrived.body.is_object() && arrived.body.contains(text) && arrived.body[text].is_string();
            arrived.result = is_well_formed ? call_result::answered : call_result::failed;
            arrived.text = is_well_formed ? arrived.body[text].get<std::string>() : "";
            arrived.tokens = is_well_formed ? arrived.body.value(tokens, std::int64_t{0}) : 0;
        }
    }
    core_.on_endpoint_answer(call.call_id, arrived, monotonic_now());
}

void entry_program::request_rating(const rating_request& request) {
    if (FLAGS_rater.empty()) {
        loop_.post([this, id = request.call_id] { core_.on_rating(id, std::nullopt, monotonic_now()); });
        return;
    }
    http_call call;
    call.address = *value_of(parse_address(FLAGS_rater));
    call.method = "POST";
    call.target = "/rate";
    call.headers = {{"Content-Type", "application/json"}};
    call.body =
        json{{"version", request.version}, {"request", request.request}, {"answer", request.answer}}.dump();
    call.timeout = milliseconds(FLAGS_rating_timeout_ms);
    client_.send(call, [this, id = request.call_id](const http_answer& answer) {
        const json body = read_foreign_document(answer.body).value;
        const bool is_rated =
            answer.status == 200 && body.is_object() && body.contains("score") && body["score"].is_number();
        core_.on_rating(id, is_rated ? std::optional(body["score"].get<double>()) : std::nullopt,
                        monotonic_now());
    });
}

// ---- stewards ----

void entry_program::connect_stewards() {
    std::vector<std::string> candidates = split_list(FLAGS_stewards);
    for (const steward_record& steward : core_.stewards()) {
        if (std::find(candidates.begin(), candidates.end(), steward.address) == candidates.end()) {
            candidates.push_back(steward.address);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [this](const std::string& l, const std::string& r) {
        return placement_hash(settings_.name + l) < placement_hash(settings_.name + r);
    });
    for (std::size_t tried = 0; tried < candidates.size() && connections_.size() < FLAGS_steward_links;
         ++tried) {
        const std::string& address = candidates[next_candidate_++ % candidates.size()];
        const bool is_connected =
            std::any_of(connections_.begin(), connections_.end(),
                        [&](const auto& open) { return open.second.address == address; });
        if (!is_connected) {
            const link_id link = links_.connect(address);
            connections_[link] = {address, ""};
        }
    }
}

hello_message entry_program::make_hello() const {
    hello_message hello{
        "entry", settings_.name, settings_.incarnation, settings_.domain, settings_.address, wall_clock_ms(),
        ""};
    hello.proof = compute_proof(hello, FLAGS_fleet_key);
    return hello;
}

void entry_program::on_link_open(link_id link) {
    links_.send(link, encode(make_hello()));
}

void entry_program::on_link_message(link_id link, const std::string& bytes) {
    const outcome<node_message> decoded = decode(bytes);
    const auto connection = connections_.find(link);
    if (connection == connections_.end()) {
        return;
    }
    if (const error* failure = error_of(decoded)) {
        log_warning("message_refused", {{"from", connection->second.address}, {"reason", failure->message}});
        return;
    }
    const node_message& message = *value_of(decoded);
    if (const auto* hello = std::get_if<hello_message>(&message)) {
        if (!has_valid_proof(*hello, FLAGS_fleet_key, wall_clock_ms())) {
            log_warning(
                "hello_refused",
                {{"from", connection->second.address},
                 {"remedy", "use the same --fleet_key on every host and keep the clocks within a minute"}});
            links_.close(link);
            return;
        }
        connection->second.incarnation = hello->incarnation;
        link_by_steward_[hello->incarnation] = link;
        core_.on_steward_up(hello->incarnation, hello->domain, monotonic_now());
        return;
    }
    if (!connection->second.incarnation.empty()) {
        core_.on_steward_message(connection->second.incarnation, message, monotonic_now());
    }
}

void entry_program::on_link_close(link_id link) {
    const auto connection = connections_.find(link);
    if (connection == connections_.end()) {
        return;
    }
    const std::string incarnation = connection->second.incarnation;
    connections_.erase(connection);
    const auto current_link = link_by_steward_.find(incarnation);
    if (current_link != link_by_steward_.end() && current_link->second == link) {
        link_by_steward_.erase(current_link);
        core_.on_steward_down(incarnation, monotonic_now());
    }
}

void entry_program::send_to_steward(const std::string& incarnation, const node_message& message) {
    const auto link = link_by_steward_.find(incarnation);
    if (link != link_by_steward_.end()) {
        links_.send(link->second, encode(message));
    }
}

} // namespace

} // namespace laurelhoist

/// Called before the initializers of the libraries; a reload signal that comes meanwhile would end the
/// process.
__attribute__((section(".preinit_array"),
               used)) void (*hold_signals_first)() = laurelhoist::hold_signals_of_start;

int main(int argc, char** argv) {
    laurelhoist::read_settings(
        &argc, &argv, "laurel-entry: accepts callers' requests and routes each to an allowed version.");
    laurelhoist::start_log("laurel-entry", FLAGS_name);
    laurelhoist::return_long_blocks_to_system();
    laurelhoist::entry_program program;
    program.run();
    return 0;
}
