// How an entry refuses requests that terminate the endpoints that run them. Each entry counts only its
// own calls, because callers send the requests of a session to the same entry while that entry runs.
#include "node/entry_core.h"

namespace laurelhoist {

request_digest entry_core::quarantine_key(const context& request) {
    return digest_of({"POST", request.incoming.path, request.team.name, request.request_digest});
}

std::optional<error> entry_core::check_quarantine(const context& request) const {
    if (quarantine_.is_empty() || quarantine_.may_send(quarantine_key(request), now_)) {
        return std::nullopt;
    }
    return error{error_kind::endpoint_failed,
                 "every endpoint that began to run this request terminated; do not send it again unchanged",
                 request.may_have_run ? ran_state::unknown : ran_state::no, 0};
}

// Guards against a request that terminates each endpoint that begins to run it: every time, the answers of
// all other requests there are lost too, and the caller repeats the request. Counts the calls whose
// connection broke before any part of the answer arrived.
void entry_core::record_broken_call(const context& request, const endpoint_answer& answer) {
    const bool has_no_answer = answer.status == 0 && request.parts_streamed == 0 && answer.text.empty();
    if (answer.is_silent || !has_no_answer) {
        return;
    }
    const request_digest key = quarantine_key(request);
    const std::uint32_t process = process_hash(request.endpoint.name, request.endpoint.started_at_ms);
    quarantine_.on_end(key, {process, request.call_started, now_}, now_);
    if (quarantine_.ends_of(key) >= ends_to_quarantine) {
        refuse_queued_requests(key);
    }
}

void entry_core::refuse_queued_requests(request_digest key) {
    std::vector<std::string> waiting;
    for (const auto& [id, request] : requests_) {
        if (request.state == "queued" && quarantine_key(request) == key) {
            waiting.push_back(id);
        }
    }
    for (const std::string& id : waiting) {
        requests_.at(id).refusal = check_quarantine(requests_.at(id));
        fire(id, "refused");
    }
}

} // namespace laurelhoist
