// How the relay notices that this host has lost its links to the endpoints of a service, and their return.
#include "relay/exchange.h"
#include "relay/relay.h"

namespace laurelhoist {

void relay::record_link(const std::string& endpoint, bool is_reachable) {
    const time_point now = monotonic_now();
    endpoint_reach& reach = state_.endpoints.allowance().reach();
    if (is_reachable) {
        reach.on_connected(endpoint, now);
    } else {
        reach.on_unreachable(endpoint, now);
        check_links(now);
    }
}

void relay::suspect_link(const std::string& endpoint) {
    state_.endpoints.allowance().reach().on_suspected(endpoint);
    begin_probes(monotonic_now());
}

void relay::check_links(time_point now) {
    for (const reach_change& change : state_.endpoints.allowance().reach().evaluate(now)) {
        on_links_changed(change);
    }
    begin_probes(now);
}

void relay::on_links_changed(const reach_change& change) {
    state_.measured.count(change.is_lost ? "links_lost" : "links_regained");
    const json fields{{"service", change.pool},
                      {"unreachable", change.unreachable},
                      {"reachable", change.reachable},
                      {"listed", change.listed}};
    if (change.is_lost) {
        log_warning("endpoint_links_lost", fields);
    } else {
        log_info("endpoint_links_regained", fields);
    }
    const std::string service = change.pool;
    if (change.is_lost) {
        // Posted, because an exchange may have just reported the connection that decided.
        state_.loop.post([this, service] { move_off(service); });
    } else {
        state_.endpoints.end_ejections(service, monotonic_now());
    }
    wake_waiting(service);
    if (state_.on_links_changed) {
        state_.on_links_changed();
    }
}

void relay::move_off(const std::string& service) {
    const time_point now = monotonic_now();
    for_each_active([&](exchange& each) { each.on_service_lost(service, now); });
}

void relay::begin_probes(time_point now) {
    for (const endpoint_record& endpoint : state_.endpoints.allowance().reach().next_probes(now)) {
        state_.measured.count("link_probes");
        probes_.begin(endpoint.name, endpoint.address, now);
    }
}

} // namespace laurelhoist
