#include "standin/plain_service.h"

namespace laurelhoist {

namespace {
constexpr duration service_time = milliseconds(15);
}

plain_service::plain_service(event_loop& loop, const socket_address& address, std::string name,
                             calls_by_reference& run_counts)
    : loop_{loop}, name_{std::move(name)}, run_counts_{run_counts} {
    server_ = std::make_unique<http_server>(
        loop, listen_target{"--config", address}, http_limits{},
        [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            on_request(request, responder);
        });
}

void plain_service::on_request(const http_request& request,
                               const std::shared_ptr<http_responder>& responder) {
    const http_headers headers = {{"X-Request-Id", request.header("x-request-id")}};
    if (faults_.mode == "leaving") {
        responder->reply(503, {{"X-Not-Run", "1"}, {"X-Leaving", "1"}}, R"({"error":"leaving"})");
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    const std::string reference = body.is_object() ? body.value("reference", "") : "";
    ++run_counts_[reference];
    if (faults_.mode == "silent") {
        return;
    }
    if (faults_.mode == "cut") {
        responder->abort();
        return;
    }
    loop_.after(service_time, [this, responder, headers, reference, path = request.path] {
        responder->reply(200, headers, json{{"done", path}, {"reference", reference}, {"by", name_}}.dump());
    });
}

} // namespace laurelhoist
