// The part of an exchange that notices lost links to endpoints and forwards the request to another host.
#include "relay/exchange.h"

#include <algorithm>
#include <iterator>

namespace laurelhoist {

namespace {

/// Hosts to which one request is forwarded, one after another, if they refuse it or cannot be reached.
constexpr int max_forwards = 3;

/** \return whether \p status promises that the request has not run and never will. */
bool promises_not_run(int status) {
    constexpr int promises[] = {408, 421, 429, 503};
    return std::find(std::begin(promises), std::end(promises), status) != std::end(promises);
}

} // namespace

void exchange::record_link(bool is_reachable) {
    if (attempt_.is_forwarded() || !attempt_.is_new_connection ||
        (attempt_.is_link_recorded && !is_reachable)) {
        return;
    }
    attempt_.is_link_recorded = true;
    owner_.record_link(attempt_.chosen.endpoint.name, is_reachable);
}

bool exchange::forward_to_peer(time_point now) {
    const bool may_forward = state_.settings.in_use.forwards_requests && !caller_->is_from_peer();
    if (!may_forward || forwards_ >= max_forwards) {
        return false;
    }
    const send_allowance& allowance = state_.endpoints.allowance();
    const std::set<std::string> sponsors = allowance.brittle().sponsors_instead_of_this_host(service_);
    if (!allowance.reach().has_lost(service_) && sponsors.empty()) {
        return false;
    }
    const std::optional<forwarding_peer> peer = state_.peers.choose(service_, tried_, sponsors, now);
    if (!peer) {
        return false;
    }
    if (++forwards_ == 1) {
        state_.repeats_of(service_).on_handed_over(now);
    }
    end_wait(wait_end::left);
    apply_event("placed");
    answer_.reset();
    attempt_ = attempt{};
    attempt_.peer = peer->host;
    attempt_.chosen.endpoint.name = peer->host;
    state_.peers.on_forwarded(peer->host);
    state_.measured.count("requests_forwarded");
    log_info("request_forwarded", {{"request", terms_.id}, {"service", service_}, {"peer", peer->host}});
    connect_to(peer->address, now);
    return true;
}

void exchange::count_attempts_of_peer(attempt_end end) {
    if (end == attempt_end::refused) {
        attempt_.has_reached_no_endpoint = answer().attempts <= attempts_;
        attempts_ = std::max(attempts_, answer().attempts);
    } else if (end != attempt_end::not_sent) {
        ++attempts_;
    }
}

void exchange::on_forwarded_answer_complete() {
    constexpr int first_server_error = 500;
    const int status = reader_->status();
    const bool is_success = status / status_class == 2;
    if (!answer().has_receipt && promises_not_run(status)) {
        end_attempt(attempt_end::refused);
    } else if (has_begun_answer_ && !is_event_stream() && !is_passed_on_) {
        end_attempt(attempt_end::unsuitable);
    } else if (is_broken_off() || (is_success && !answer().has_receipt)) {
        end_attempt(attempt_end::broken);
    } else if (is_event_stream()) {
        complete_stream();
    } else {
        settle_attempt(call_result::answered, release_evidence::none);
        // Any other answer may be the peer's own, to a request under which the endpoints that it tried ended.
        if (answer().has_receipt && status < first_server_error) {
            clear_suspicion();
        }
        release_connection(true);
        send_complete_answer(is_success             ? "served"
                             : answer().has_receipt ? "endpoint_failure"
                                                    : "peer_failure");
    }
}

void exchange::on_service_lost(const std::string& service, time_point now) {
    const bool waits_there =
        service_ == service && !attempt_.is_forwarded() &&
        state_.endpoints.allowance().reach().is_unreachable(attempt_.chosen.endpoint.name);
    if (waits_there && is_in_state("connecting")) {
        connection_->close();
        on_connect_failed(connect_failure::unreachable);
        return;
    }
    const bool is_sent = is_in_state("asked") || is_in_state("answering");
    const bool is_silent =
        now - attempt_.heard_at > slow_connect && !is_waiting_for_caller() && !is_passed_on_;
    if (waits_there && is_sent && is_silent && route_->may_repeat() && attempts_ < route_->max_attempts &&
        state_.repeats_of(service_).has_retry(now)) {
        auto self = shared_from_this();
        end_attempt(attempt_end::silent);
    }
}

} // namespace laurelhoist
