#include "placement/send_allowance.h"

#include <algorithm>

namespace laurelhoist {

const send_allowance::exclusion_check send_allowance::exclusion_checks[] = {
    {exclusion::unreachable, &send_allowance::is_reachable},
    {exclusion::evacuated, &send_allowance::is_not_evacuated},
    {exclusion::leaving, &send_allowance::is_not_leaving},
    {exclusion::back_off, &send_allowance::is_past_back_off},
    {exclusion::rate_limited, &send_allowance::is_within_rate_limit},
    {exclusion::brittle, &send_allowance::is_permitted},
    {exclusion::cold, &send_allowance::is_within_cold_limit},
};

const char* to_string(exclusion reason) {
    switch (reason) {
    case exclusion::none:
        return "none";
    case exclusion::unreachable:
        return "unreachable";
    case exclusion::evacuated:
        return "evacuated";
    case exclusion::leaving:
        return "leaving";
    case exclusion::back_off:
        return "back_off";
    case exclusion::rate_limited:
        return "rate_limited";
    case exclusion::brittle:
        return "brittle";
    case exclusion::cold:
        return "cold";
    }
    return "unknown";
}

send_allowance::send_allowance(std::string host, cold_endpoints cold)
    : cold_{std::move(cold)}, limits_{host}, brittle_{std::move(host)} {}

void send_allowance::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    reach_.update(endpoints);
    cold_.update(endpoints, now);
    limits_.update(endpoints, now);
    back_offs_.update(endpoints, now);
    brittle_.update(endpoints);
    leaving_.update(endpoints, now);
}

void send_allowance::set_hosts(const host_view& view, time_point now) {
    cold_.set_hosts(view, now);
    limits_.set_hosts(view, now);
    brittle_.set_hosts(view);
}

void send_allowance::set_evacuated(const evacuation_set& evacuated, time_point now) {
    for (const std::string& domain : evacuated_.domains) {
        if (!evacuated.contains(domain)) {
            cold_.on_readmitted(domain, now);
        }
    }
    evacuated_ = evacuated;
}

exclusion send_allowance::exclusion_of(const endpoint_record& endpoint, duration max_wait,
                                       time_point now) const {
    for (const exclusion_check& each : exclusion_checks) {
        if (!(this->*each.allows)(endpoint, max_wait, now)) {
            return each.reason;
        }
    }
    return exclusion::none;
}

bool send_allowance::is_excluded_since(const endpoint_record& endpoint, time_point chosen_at) const {
    return limits_.has_changed_since(endpoint.name, chosen_at) ||
           back_offs_.has_begun_since(endpoint.name, chosen_at) ||
           leaving_.has_begun_since(endpoint, chosen_at);
}

std::optional<duration> send_allowance::time_until_available(const std::string& service,
                                                             time_point now) const {
    std::optional<duration> first;
    for (const std::optional<duration>& left :
         {cold_.first_warm_in(service, now), limits_.time_until_available(service, now),
          back_offs_.time_until_available(service, now)}) {
        first = first && left ? std::min(*first, *left) : first ? first : left;
    }
    return first;
}

void send_allowance::on_sent(const std::string& endpoint, time_point now) {
    cold_.on_sent(endpoint, now);
    limits_.on_sent(endpoint, now);
    brittle_.on_sent(endpoint);
}

statement_effects send_allowance::note(const endpoint_record& endpoint, const endpoint_statement& statement,
                                       time_point sent_at, time_point now) {
    statement_effects effects;
    effects.is_limit_changed = limits_.note(endpoint, {statement.rate_limit, sent_at, now}, now);
    effects.is_newly_leaving = statement.is_leaving && leaving_.note(endpoint, now);
    const bool was_brittle = brittle_.is_brittle(endpoint.pool);
    brittle_.note(endpoint.pool, statement.rejections_per_s, sent_at, now);
    effects.is_brittleness_changed = brittle_.is_brittle(endpoint.pool) != was_brittle;
    effects.has_back_off = statement.back_off.has_value();
    if (effects.has_back_off) {
        back_offs_.note(endpoint, *statement.back_off, now);
    }
    return effects;
}

// A single unreachable endpoint is left to its ejection.
bool send_allowance::is_reachable(const endpoint_record& endpoint, duration, time_point) const {
    return !reach_.has_lost(endpoint.pool) || !reach_.is_unreachable(endpoint.name);
}

bool send_allowance::is_not_evacuated(const endpoint_record& endpoint, duration, time_point) const {
    return !evacuated_.contains(endpoint.domain);
}

bool send_allowance::is_not_leaving(const endpoint_record& endpoint, duration, time_point) const {
    return !leaving_.is_leaving(endpoint);
}

bool send_allowance::is_past_back_off(const endpoint_record& endpoint, duration max_wait,
                                      time_point now) const {
    return back_offs_.may_send_within(endpoint.name, max_wait, now);
}

bool send_allowance::is_within_rate_limit(const endpoint_record& endpoint, duration max_wait,
                                          time_point now) const {
    return limits_.may_send_within(endpoint.name, max_wait, now);
}

bool send_allowance::is_permitted(const endpoint_record& endpoint, duration max_wait, time_point now) const {
    return brittle_.may_send(endpoint, max_wait > duration::zero(), now);
}

bool send_allowance::is_within_cold_limit(const endpoint_record& endpoint, duration max_wait,
                                          time_point now) const {
    return cold_.may_send_within(endpoint.name, max_wait, now);
}

} // namespace laurelhoist
