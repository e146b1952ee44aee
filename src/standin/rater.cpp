#include "standin/rater.h"

namespace laurelhoist {

double parse_score(const std::string& answer) {
    constexpr std::string_view mark = "score=";
    const std::size_t at = answer.rfind(mark);
    return at == std::string::npos ? -1.0 : std::atof(answer.c_str() + at + mark.size());
}

stand_in_rater::stand_in_rater(event_loop& loop, const socket_address& address) : loop_{loop} {
    server_ = std::make_unique<http_server>(
        loop, listen_target{"--config", address}, http_limits{},
        [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
            if (faults_.down) {
                responder->reply(503, {}, "{}");
                return;
            }
            const json body = json::parse(request.body, nullptr, false);
            const double score = parse_score(body.value("answer", ""));
            loop_.after(milliseconds(faults_.slow_ms), [responder, score] {
                responder->reply(200, {}, json{{"score", score}}.dump());
            });
        });
}

} // namespace laurelhoist
