/** \file
 * The program laurel-standin: stand-ins for the systems that laurelhoist depends on, in one process: the
 * platform, engines, the rating service and plain services. Faults are injected over HTTP. For tests and the
 * demo only.
 */
#include "programs/common.h"
#include "standin/standin.h"

#include <gflags/gflags.h>

#include <fstream>

DEFINE_string(config, "examples/standin-brazda.json",
              "JSON file that lists the stand-ins and their addresses");

namespace laurelhoist {

namespace {

standin_plan read_plan() {
    std::ifstream file(FLAGS_config);
    const json document = json::parse(file, nullptr, false);
    require_setting(document.is_object(), "config", FLAGS_config,
                    "give a readable JSON file such as examples/standin-brazda.json");
    return document.get<standin_plan>();
}

class standin_program {
public:
    standin_program();
    void run();

private:
    void start_pool(const pool_plan& pool);
    void publish_hosts();
    void on_control(const http_request& request, const std::shared_ptr<http_responder>& responder);
    bool set_fault(const json& body);
    json statistics() const;

    standin_plan plan_;
    event_loop loop_;
    object_store store_;
    stand_in_rater rater_;
    weight_store weights_;
    std::vector<std::unique_ptr<stand_in_engine>> engines_;
    std::vector<std::unique_ptr<plain_service>> services_;
    calls_by_reference call_counts_;
    json endpoints_ = json::array();
    std::unique_ptr<http_server> control_;
};

standin_program::standin_program()
    : plan_{read_plan()},
      store_{loop_, require_address("config", plan_.platform)},
      rater_{loop_, require_address("config", plan_.rater)},
      weights_{loop_} {
    for (const pool_plan& pool : plan_.pools) {
        start_pool(pool);
    }
    publish_hosts();
    control_ = std::make_unique<http_server>(
        loop_, listen_target{"--config", require_address("config", plan_.control)}, http_limits{},
        [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            on_control(request, responder);
        });
}

void standin_program::start_pool(const pool_plan& pool) {
    for (int i = 0; i < pool.count; ++i) {
        const std::string name = pool.name + "-" + std::to_string(i);
        const socket_address address{pool.address, static_cast<std::uint16_t>(pool.first_port + i)};
        const std::string& domain = pool.domains[static_cast<std::size_t>(i) % pool.domains.size()];
        endpoints_.push_back({{"name", name},
                              {"address", address.host + ":" + std::to_string(address.port)},
                              {"domain", domain},
                              {"pool", pool.name},
                              {"state", "live"}});
        if (pool.kind == "engine") {
            const engine_settings settings{name,           pool.name,  pool.slots, pool.checks_fence,
                                           plan_.versions, pool.loaded};
            engines_.push_back(std::make_unique<stand_in_engine>(loop_, address, settings, weights_));
        } else {
            services_.push_back(std::make_unique<plain_service>(loop_, address, name, call_counts_));
        }
    }
}

void standin_program::publish_hosts() {
    store_.put("hosts", {{"endpoints", endpoints_}, {"hosts", plan_.hosts}});
}

bool standin_program::set_fault(const json& body) {
    const std::string target = body.value("target", "");
    if (target == "platform") {
        store_.set_faults(body.get<store_faults>());
        return true;
    }
    if (target == "rater") {
        rater_.set_faults(body.get<rater_faults>());
        return true;
    }
    if (target == "host_list") {
        for (json& endpoint : endpoints_) {
            if (endpoint["name"] == body.value("endpoint", "")) {
                endpoint["state"] = body.value("state", "live");
            }
        }
        loop_.after(milliseconds(plan_.host_list_lag_ms), [this] { publish_hosts(); });
        return true;
    }
    for (const auto& engine : engines_) {
        if (engine->name() == target) {
            engine->set_faults(body.get<engine_faults>());
            return true;
        }
    }
    for (const auto& service : services_) {
        if (service->name() == target) {
            service->set_faults(body.get<service_faults>());
            return true;
        }
    }
    return false;
}

json standin_program::statistics() const {
    json engines = json::object();
    for (const auto& engine : engines_) {
        engines[engine->name()] = engine->statistics();
    }
    std::int64_t doubled = 0;
    for (const auto& [reference, times] : call_counts_) {
        doubled += times > 1 && !reference.empty() ? 1 : 0;
    }
    return {{"platform", store_.statistics()},
            {"engines", engines},
            {"calls_done", call_counts_.size()},
            {"calls_doubled", doubled}};
}

void standin_program::on_control(const http_request& request,
                                 const std::shared_ptr<http_responder>& responder) {
    if (request.method == "POST" && request.path == "/faults") {
        const json body = json::parse(request.body, nullptr, false);
        const bool is_set = body.is_object() && set_fault(body);
        responder->reply(is_set ? 200 : 400, {}, json{{"set", is_set}}.dump());
    } else if (request.path == "/statistics") {
        responder->reply(200, {}, statistics().dump());
    } else {
        responder->reply(request.path == "/healthz" ? 200 : 404, {}, "{}");
    }
}

void standin_program::run() {
    loop_.on_stop_signal([this] { loop_.stop(); });
    log_info("started", {{"engines", engines_.size()}, {"services", services_.size()}});
    loop_.run();
}

} // namespace

} // namespace laurelhoist

int main(int argc, char** argv) {
    laurelhoist::read_settings(
        &argc, &argv,
        "laurel-standin: simulates the platform, engines, rating service and plain services for tests.");
    laurelhoist::start_log("laurel-standin", "");
    laurelhoist::standin_program program;
    program.run();
    return 0;
}
