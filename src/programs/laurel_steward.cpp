/** \file
 * The program laurel-steward: connects steward_core to the network. It keeps links to entries and other
 * stewards, calls the platform's object API and serves the operators' HTTP interface.
 */
#include "node/node.h"
#include "programs/common.h"

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(name, "", "this host's name, as the platform lists it");
DEFINE_string(domain, "", "the failure domain of this host");
DEFINE_string(listen, "127.0.0.1:7000", "address for entries and other stewards");
DEFINE_string(control, "127.0.0.1:7100", "address for operators' commands");
DEFINE_string(peers, "", "initial addresses of other stewards, separated by commas");
DEFINE_string(platform, "127.0.0.1:6000", "address of the platform's object API");
DEFINE_uint32(platform_timeout_ms, 2000, "timeout of a call to the platform in ms");
DEFINE_uint32(endpoint_subset, 24, "endpoints of a pool that one entry uses");
DEFINE_string(operator_key, "", "key that authenticates operators");
DEFINE_string(fleet_key, "", "key shared by entries and stewards");
DEFINE_string(charts, "charts", "directory of the state charts");

namespace laurelhoist {

namespace {

constexpr duration tick_interval = milliseconds(100);
constexpr duration connect_interval = seconds(1);
constexpr duration watch_wait = seconds(10); // how long the platform may hold a watch without a change

class steward_program : public steward_port {
public:
    steward_program();
    void run();

    void call_platform(const platform_request& request) override;
    void send_to_entry(const std::string& incarnation, const node_message& message) override;
    void send_to_peer(const std::string& incarnation, const node_message& message) override;
    void ask_engine(const endpoint_record& endpoint) override;
    void order_engine(const engine_order& order) override;
    void answer_operator(const command_reply& reply) override;
    std::int64_t wall_clock_ms() const override { return laurelhoist::wall_clock_ms(); }

private:
    struct connection {
        bool is_outgoing = false;
        std::string address;
        hello_message hello; ///< received from the other side; the incarnation is empty until then
    };

    static steward_settings read_steward_settings();
    link_handlers handlers(bool is_outgoing);
    void on_open(bool is_outgoing, link_id link);
    void on_message(bool is_outgoing, link_id link, const std::string& bytes);
    void on_hello(bool is_outgoing, link_id link, const hello_message& hello);
    void on_close(bool is_outgoing, link_id link);
    void connect_peers();
    hello_message make_hello() const;
    void send(const std::string& role, const std::string& incarnation, const node_message& message);

    void on_http(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_command(const http_request& request, const std::shared_ptr<http_responder>& responder);
    void on_status(const std::shared_ptr<http_responder>& responder);
    void on_objects(const http_request& request, const std::shared_ptr<http_responder>& responder);

    steward_settings settings_;
    event_loop loop_;
    metrics metrics_;
    steward_core core_;
    http_client client_;
    link_server incoming_;
    link_client outgoing_;
    std::unique_ptr<http_server> control_;
    std::map<std::pair<bool, link_id>, connection> connections_;
    std::map<std::string, std::shared_ptr<http_responder>> pending_commands_;
    std::uint64_t last_operation_ = 0;
};

steward_settings steward_program::read_steward_settings() {
    require_setting(!FLAGS_name.empty(), "name", FLAGS_name, "give this host's name");
    require_setting(!FLAGS_domain.empty(), "domain", FLAGS_domain, "give this host's failure domain");
    require_setting(FLAGS_fleet_key.size() >= 16, "fleet_key", "(hidden)",
                    "give a key of at least 16 characters");
    require_setting(FLAGS_operator_key.size() >= 16, "operator_key", "(hidden)",
                    "give a key of at least 16 characters");
    require_setting(FLAGS_endpoint_subset >= 2, "endpoint_subset", std::to_string(FLAGS_endpoint_subset),
                    "use at least 2");
    require_address("platform", FLAGS_platform);
    for (const std::string& peer : split_list(FLAGS_peers)) {
        require_address("peers", peer);
    }
    random_source random(entropy_seed());
    steward_settings settings;
    settings.name = FLAGS_name;
    settings.incarnation = random.identifier(FLAGS_name + "-");
    settings.address = FLAGS_listen;
    settings.domain = FLAGS_domain;
    settings.endpoint_subset = FLAGS_endpoint_subset;
    return settings;
}

steward_program::steward_program()
    : settings_{read_steward_settings()},
      core_{settings_,
            load_chart_or_exit(FLAGS_charts, "bundle"),
            load_chart_or_exit(FLAGS_charts, "host"),
            *this,
            metrics_,
            entropy_seed()},
      client_{loop_},
      incoming_{loop_, listen_target{"--listen", require_address("listen", FLAGS_listen)}, handlers(false)},
      outgoing_{loop_, handlers(true)} {
    http_limits limits;
    control_ = std::make_unique<http_server>(
        loop_, listen_target{"--control", require_address("control", FLAGS_control)}, limits,
        [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            on_http(request, responder);
        });
}

void steward_program::run() {
    log_info("started", {{"listen", FLAGS_listen}, {"control", FLAGS_control}, {"domain", FLAGS_domain}});
    loop_.every(tick_interval, [this] {
        core_.on_tick(monotonic_now());
        metrics_.gauge("link_bytes_sent",
                       static_cast<double>(incoming_.bytes_sent() + outgoing_.bytes_sent()));
        if (core_.is_stopped()) {
            loop_.stop();
        }
    });
    loop_.every(connect_interval, [this] { connect_peers(); });
    loop_.on_stop_signal([this] { core_.begin_stop(monotonic_now()); });
    accept_stop_signals();
    connect_peers();
    loop_.run();
}

// ---- links ----

link_handlers steward_program::handlers(bool is_outgoing) {
    return {
        [this, is_outgoing](link_id link) { on_open(is_outgoing, link); },
        [this, is_outgoing](link_id link, const std::string& bytes) { on_message(is_outgoing, link, bytes); },
        [this, is_outgoing](link_id link) { on_close(is_outgoing, link); }};
}

hello_message steward_program::make_hello() const {
    hello_message hello{"steward",
                        settings_.name,
                        settings_.incarnation,
                        settings_.domain,
                        settings_.address,
                        wall_clock_ms(),
                        ""};
    hello.proof = compute_proof(hello, FLAGS_fleet_key);
    return hello;
}

void steward_program::connect_peers() {
    std::vector<std::string> candidates = split_list(FLAGS_peers);
    for (const steward_record& steward : core_.view().head().stewards) {
        candidates.push_back(steward.address);
    }
    for (const std::string& address : candidates) {
        const bool is_connected =
            std::any_of(connections_.begin(), connections_.end(), [&](const auto& open) {
                return open.second.is_outgoing && open.second.address == address;
            });
        if (!is_connected && address != settings_.address) {
            connections_[{true, outgoing_.connect(address)}] = {true, address, {}};
        }
    }
}

void steward_program::on_open(bool is_outgoing, link_id link) {
    if (is_outgoing) {
        outgoing_.send(link, encode(make_hello()));
    } else {
        connections_[{false, link}] = {false, "", {}};
    }
}

void steward_program::on_message(bool is_outgoing, link_id link, const std::string& bytes) {
    const auto found = connections_.find({is_outgoing, link});
    if (found == connections_.end()) {
        return;
    }
    const outcome<node_message> decoded = decode(bytes);
    if (const error* failure = error_of(decoded)) {
        log_warning("message_refused", {{"from", found->second.address}, {"reason", failure->message}});
        return;
    }
    const node_message& message = *value_of(decoded);
    if (const auto* hello = std::get_if<hello_message>(&message)) {
        on_hello(is_outgoing, link, *hello);
        return;
    }
    const hello_message& sender = found->second.hello;
    if (sender.role == "entry") {
        core_.on_entry_message(sender.incarnation, message, monotonic_now());
    } else if (sender.role == "steward") {
        core_.on_peer_message(sender.incarnation, message, monotonic_now());
    }
}

void steward_program::on_hello(bool is_outgoing, link_id link, const hello_message& hello) {
    if (!has_valid_proof(hello, FLAGS_fleet_key, wall_clock_ms())) {
        log_warning(
            "hello_refused",
            {{"from", hello.address},
             {"remedy", "use the same --fleet_key on every host and keep the clocks within a minute"}});
        is_outgoing ? outgoing_.close(link) : incoming_.close(link);
        return;
    }
    const bool is_known = std::any_of(connections_.begin(), connections_.end(), [&](const auto& open) {
        return open.second.hello.incarnation == hello.incarnation;
    });
    connections_[{is_outgoing, link}].hello = hello;
    if (!is_outgoing) {
        incoming_.send(link, encode(make_hello()));
    }
    if (hello.role == "entry") {
        core_.on_entry_up(hello, monotonic_now());
    } else if (!is_known) {
        core_.on_peer_up(hello, monotonic_now());
    }
}

void steward_program::on_close(bool is_outgoing, link_id link) {
    const auto found = connections_.find({is_outgoing, link});
    if (found == connections_.end()) {
        return;
    }
    const hello_message hello = found->second.hello;
    connections_.erase(found);
    const bool has_other_connection =
        std::any_of(connections_.begin(), connections_.end(),
                    [&](const auto& open) { return open.second.hello.incarnation == hello.incarnation; });
    if (hello.incarnation.empty() || has_other_connection) {
        return;
    }
    if (hello.role == "entry") {
        core_.on_entry_down(hello.incarnation, monotonic_now());
    } else {
        core_.on_peer_down(hello.incarnation, monotonic_now());
    }
}

void steward_program::send(const std::string& role, const std::string& incarnation,
                           const node_message& message) {
    for (const auto& [key, open] : connections_) {
        if (open.hello.incarnation == incarnation && open.hello.role == role) {
            key.first ? outgoing_.send(key.second, encode(message))
                      : incoming_.send(key.second, encode(message));
            return;
        }
    }
}

void steward_program::send_to_entry(const std::string& incarnation, const node_message& message) {
    send("entry", incarnation, message);
}

void steward_program::send_to_peer(const std::string& incarnation, const node_message& message) {
    send("steward", incarnation, message);
}

// ---- the platform ----

std::string platform_target(const platform_request& request) {
    if (request.what == platform_request::action::list) {
        return "/objects?prefix=" + request.key;
    }
    if (request.what == platform_request::action::watch) {
        return "/watch/" + request.key + "?since=" + std::to_string(request.expected_version) +
               "&wait_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(watch_wait).count());
    }
    return "/objects/" + request.key;
}

platform_reply::result to_platform_result(const http_answer& answer, bool is_write) {
    using result = platform_reply::result;
    if (answer.what == http_answer::result::not_sent) {
        return result::unavailable;
    }
    if (answer.what != http_answer::result::answered) {
        return is_write ? result::unknown : result::unavailable;
    }
    switch (answer.status) {
    case 200:
    case 201:
        return result::ok;
    case 304:
        return result::unchanged;
    case 404:
        return result::not_found;
    case 412:
        return result::conflict;
    case 503:
        return result::unavailable;
    default:
        return is_write ? result::unknown : result::unavailable;
    }
}

void steward_program::call_platform(const platform_request& request) {
    using action = platform_request::action;
    const bool is_write = request.what == action::create || request.what == action::replace;
    http_call call;
    call.address = *value_of(parse_address(FLAGS_platform));
    call.target = platform_target(request);
    call.timeout = milliseconds(FLAGS_platform_timeout_ms);
    if (request.what == action::watch) {
        call.timeout += watch_wait;
    }
    if (request.what == action::get && request.expected_version > 0) {
        call.headers["If-None-Match"] = std::to_string(request.expected_version);
    }
    if (is_write) {
        call.method = "PUT";
        call.headers["Content-Type"] = "application/json";
        call.headers[request.what == action::create ? "If-None-Match" : "If-Match"] =
            request.what == action::create ? "*" : std::to_string(request.expected_version);
        call.body = request.value.dump();
        call.needs_fresh_connection = true;
    }
    client_.send(call, [this, request, is_write](const http_answer& answer) {
        platform_reply reply;
        reply.operation = request.operation;
        reply.what = to_platform_result(answer, is_write);
        reply.object.key = request.key;
        reply.object.version = std::atoll(answer.header("etag").c_str());
        if (reply.what == platform_reply::result::ok && !is_write) {
            foreign_document document = read_foreign_document(answer.body);
            // Entries of the list of hosts stand for themselves; any other object is of use as a whole only.
            const bool is_lacking = document.is_shortened && request.key != "hosts";
            reply.object.value = std::move(document.value);
            if (reply.object.value.is_discarded() || is_lacking) {
                reply.what = platform_reply::result::unavailable;
            }
        }
        core_.on_platform_reply(reply, monotonic_now());
    });
}

// ---- engines ----

void steward_program::ask_engine(const endpoint_record& endpoint) {
    http_call call;
    const outcome<socket_address> address = parse_address(endpoint.address);
    if (value_of(address) == nullptr) {
        return;
    }
    call.address = *value_of(address);
    call.target = "/admin/status";
    call.timeout = seconds(1);
    client_.send(call, [this, name = endpoint.name](const http_answer& answer) {
        const json body = read_foreign_document(answer.body).value;
        const bool is_status = answer.status == 200 && body.is_object() && body.contains("versions");
        core_.on_engine_status(name, is_status,
                               is_status ? body["versions"].get<std::vector<version_name>>()
                                         : std::vector<version_name>{},
                               monotonic_now());
    });
}

void steward_program::order_engine(const engine_order& order) {
    http_call call;
    call.address = *value_of(parse_address(order.address));
    call.method = "POST";
    call.target = "/admin/" + order.action;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = json{{"version", order.version}, {"fence", order.fence}}.dump();
    call.timeout = seconds(2);
    client_.send(call, [this, order](const http_answer& answer) {
        if (answer.status == 412) {
            metrics_.count("engine_orders_fenced");
            log_warning("engine_order_fenced", {{"endpoint", order.endpoint}, {"fence", order.fence}});
        }
    });
}

// ---- operators ----

void steward_program::on_http(const http_request& request, const std::shared_ptr<http_responder>& responder) {
    const std::optional<time_point> as_of = core_.confirmed_as_of(monotonic_now());
    const bool is_ready =
        as_of && monotonic_now() - *as_of < freshness_limit && core_.is_listed() && incoming_.is_listening();
    if (serve_health_pages(request, responder, metrics_, is_ready)) {
        return;
    }
    if (!equal_in_constant_time(request.header("authorization"), "Bearer " + FLAGS_operator_key)) {
        reply_with_error(responder,
                         {error_kind::unauthorized,
                          "the Authorization header must carry the operator key; set --operator_key"});
    } else if (request.method == "POST" && request.path == "/control/command") {
        on_command(request, responder);
    } else if (request.method == "GET" && request.path == "/control/status") {
        on_status(responder);
    } else if (request.method == "GET" && request.path == "/control/objects") {
        on_objects(request, responder);
    } else {
        reply_with_error(responder, {error_kind::not_found, "no such path; see docs/INTERFACES.md"});
    }
}

void steward_program::on_command(const http_request& request,
                                 const std::shared_ptr<http_responder>& responder) {
    const outcome<json> parsed = parse_json_object(request.body);
    if (const error* failure = error_of(parsed)) {
        reply_with_error(responder, *failure);
        return;
    }
    const json& body = *value_of(parsed);
    fleet_command command;
    std::optional<bundle> document;
    try {
        command = body.at("command").get<fleet_command>();
    } catch (const json::exception& failure) {
        reply_with_error(responder,
                         {error_kind::invalid_request, std::string("not a command: ") + failure.what()});
        return;
    }
    if (command.kind == command_kind::submit) {
        const outcome<bundle> checked = parse_bundle(body.value("document", json()));
        if (const error* failure = error_of(checked)) {
            reply_with_error(responder, *failure);
            return;
        }
        document = *value_of(checked);
        command.bundle_id = document->id;
        command.sha256 = content_hash(*document);
    }
    const std::string operation = "http-" + std::to_string(++last_operation_);
    pending_commands_[operation] = responder;
    core_.on_command(operation, command, document, monotonic_now());
}

void steward_program::answer_operator(const command_reply& reply) {
    const auto found = pending_commands_.find(reply.operation);
    if (found == pending_commands_.end()) {
        return;
    }
    const std::shared_ptr<http_responder> responder = found->second;
    pending_commands_.erase(found);
    if (reply.failure) {
        reply_with_error(responder, *reply.failure);
        return;
    }
    responder->reply(200, {},
                     json{{"accepted", reply.is_accepted},
                          {"revision", reply.revision},
                          {"held_by", reply.holders},
                          {"stewards", reply.stewards}}
                         .dump());
}

void steward_program::on_status(const std::shared_ptr<http_responder>& responder) {
    const time_point now = monotonic_now();
    const std::optional<time_point> as_of = core_.confirmed_as_of(now);
    const std::vector<entry_record> entries = core_.entries(now);
    const auto in_force = std::count_if(entries.begin(), entries.end(), [this](const entry_record& entry) {
        return entry.revision >= core_.view().revision();
    });
    json evidence = json::object();
    std::set<std::string> keys;
    for (const auto& [reporter, counts] : core_.evidence().by_reporter()) {
        for (const auto& [key, values] : counts) {
            keys.insert(key);
        }
    }
    for (const std::string& key : keys) {
        evidence[key] = core_.evidence().total(key);
    }
    const bundle* established = core_.view().established();
    const json body = {{"head", core_.view().head()},
                       {"bundle", established == nullptr ? json() : json(*established)},
                       {"confirmed_age_ms", as_of ? json(to_ms(now - *as_of)) : json()},
                       {"entries", entries},
                       {"in_force", in_force},
                       {"endpoints", core_.endpoints()},
                       {"loaded", core_.loaded()},
                       {"bills_waiting", core_.waiting_bills()},
                       {"evidence", evidence}};
    responder->reply(200, {}, body.dump());
}

// Serves the ledger and the request counts, read from the platform, to operators' tools.
void steward_program::on_objects(const http_request& request,
                                 const std::shared_ptr<http_responder>& responder) {
    const std::string prefix = request.parameter("prefix");
    const bool is_readable_prefix = prefix.rfind("ledger/", 0) == 0 || prefix.rfind("counts/", 0) == 0;
    if (!is_readable_prefix) {
        reply_with_error(responder, {error_kind::forbidden, "only ledger/ and counts/ can be read here"});
        return;
    }
    http_call call;
    call.address = *value_of(parse_address(FLAGS_platform));
    call.target = "/objects?prefix=" + prefix;
    call.timeout = seconds(10);
    client_.send(call, [responder](const http_answer& answer) {
        if (answer.status == 200) {
            responder->reply(200, {}, answer.body);
        } else {
            reply_with_error(responder,
                             {error_kind::platform_unavailable,
                              "the platform does not answer; try again later", ran_state::no, 1000});
        }
    });
}

} // namespace

} // namespace laurelhoist

/// Called before the initializers of the libraries; a reload signal that comes meanwhile would end the
/// process.
__attribute__((section(".preinit_array"),
               used)) void (*hold_signals_first)() = laurelhoist::hold_signals_of_start;

int main(int argc, char** argv) {
    laurelhoist::read_settings(&argc, &argv,
                               "laurel-steward: manages configuration, bills and roll-outs for the entries.");
    laurelhoist::start_log("laurel-steward", FLAGS_name);
    laurelhoist::return_long_blocks_to_system();
    laurelhoist::steward_program program;
    program.run();
    return 0;
}
