// The part of an exchange that refuses quarantined requests and reports the ends of endpoints.
#include "relay/exchange.h"

#include <algorithm>

namespace laurelhoist {

std::vector<part_digest> digests_of_shared_parts(const request_terms& terms) {
    std::vector<part_digest> digests;
    for (std::size_t i = 0; i + 1 < terms.prompt.size(); ++i) {
        digests.push_back(digest_of_part(terms.prompt[i].id));
    }
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

request_digest exchange::digest() {
    if (!digest_) {
        digest_ = digest_of({request_.method, request_.target, team_name(), request_.body});
    }
    return *digest_;
}

crash_causes exchange::causes() {
    return {digest(), shared_parts_};
}

// A stream that has begun is evidence for the parts of its prompt, so it goes on even if one of them is
// quarantined: it would otherwise be cut.
crash_causes exchange::causes_in_question() {
    const bool has_shown_parts = has_begun_answer_ && state_.settings.in_use.weighs_joint_ends;
    return has_shown_parts ? crash_causes{digest()} : causes();
}

std::string exchange::shared_parts_text() const {
    constexpr std::size_t max_listed = 16;
    std::string listed;
    for (std::size_t i = 0; i < shared_parts_.size() && i < max_listed; ++i) {
        listed.append(i == 0 ? "" : " ").append(to_text(shared_parts_[i]));
    }
    return listed;
}

// Guards against a request that ends each endpoint that starts to run it, by itself or by a part of its
// prompt. Forwarding it would also break the streams of all other callers there, and callers send it again
// with a new id. Checked wherever a request is sent to an endpoint: first and later attempts, steps up to a
// larger model, resumed streams, and requests that have waited.
bool exchange::is_quarantined(time_point now) {
    return !state_.quarantine.is_empty() && !state_.quarantine.may_send(causes_in_question(), now);
}

void exchange::answer_quarantined() {
    state_.measured.count("requests_quarantined");
    log_info("request_refused_as_quarantined",
             {{"request", terms_.id},
              {"causes", state_.quarantine.quarantined_among(causes_in_question(), monotonic_now())}});
    answer_failure(may_have_run_ ? status_bad_gateway : status_unavailable, "ends_endpoints",
                   "do not send this request again unchanged: each endpoint that started to run it, or "
                   "requests with the "
                   "same part of the prompt, ended; an operator can lift the quarantine",
                   {});
}

void exchange::on_quarantine_changed() {
    const bool is_unsent = is_in_state("waiting") || is_in_state("connecting");
    const bool may_stop = is_unsent || (is_in_state("asked") && route_->may_repeat() && !attempt_.is_trial);
    if (!has_started_ || !may_stop || is_clearing_ ||
        !state_.quarantine.has_quarantined(causes_in_question())) {
        return;
    }
    auto self = shared_from_this();
    if (connection_) {
        // Closing the connection makes the endpoint drop the request if it is still queued there.
        may_have_run_ = may_have_run_ || is_in_state("asked");
        settle_attempt(call_result::cancelled, release_evidence::none);
        release_connection(false);
    }
    answer_quarantined();
}

void exchange::on_endpoint_restarted(const endpoint_record& endpoint) {
    const bool is_under_way = is_in_state("connecting") || is_in_state("asked") || is_in_state("answering");
    if (is_under_way && is_restart_of(endpoint, attempt_.chosen.endpoint)) {
        auto self = shared_from_this();
        if (is_in_state("asked") && may_have_ended_endpoint()) {
            owner_.on_endpoint_ended({make_suspected_end()});
        }
        if (!is_in_state("finished")) { // Counting the end may have quarantined and finished this request.
            end_attempt(is_in_state("connecting") ? attempt_end::not_sent : attempt_end::broken);
        }
    }
}

suspected_end exchange::make_suspected_end() {
    const endpoint_record& endpoint = attempt_.chosen.endpoint;
    const std::uint32_t process = process_hash(endpoint.name, endpoint.started_at_ms);
    const endpoint_end end{process, attempt_.sent_at, monotonic_now()};
    return {causes_in_question(), end, endpoint.name, terms_.id, team_name()};
}

void exchange::clear_parts() {
    if (!state_.quarantine.is_empty()) {
        is_clearing_ = true;
        owner_.clear_parts(shared_parts_);
        is_clearing_ = false;
    }
}

void exchange::clear_suspicion() {
    if (!state_.quarantine.is_empty()) {
        is_clearing_ = true;
        owner_.clear_parts(shared_parts_);
        owner_.clear_suspicion(digest());
        is_clearing_ = false;
    }
}

} // namespace laurelhoist
