#include "placement/send_allowance.h"

#include <algorithm>

namespace laurelhoist {

const send_allowance::guard send_allowance::guards[] = {
    {send_bar::evacuated, &send_allowance::is_in_use},
    {send_bar::leaving, &send_allowance::is_staying},
    {send_bar::back_off, &send_allowance::is_rested},
    {send_bar::rate_limited, &send_allowance::is_within_limit},
    {send_bar::cold, &send_allowance::is_warm_enough},
};

const char* to_string(send_bar bar) {
    switch (bar) {
    case send_bar::none:
        return "none";
    case send_bar::evacuated:
        return "evacuated";
    case send_bar::leaving:
        return "leaving";
    case send_bar::back_off:
        return "back_off";
    case send_bar::rate_limited:
        return "rate_limited";
    case send_bar::cold:
        return "cold";
    }
    return "unknown";
}

send_allowance::send_allowance(std::string host, cold_endpoints cold)
    : cold_{std::move(cold)}, limits_{std::move(host)} {}

void send_allowance::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    cold_.update(endpoints, now);
    limits_.update(endpoints, now);
    back_offs_.update(endpoints, now);
    leaving_.update(endpoints, now);
}

void send_allowance::set_hosts(const sponsor_view& view, time_point now) {
    cold_.set_hosts(view, now);
    limits_.set_hosts(view, now);
}

void send_allowance::set_evacuated(const evacuation_set& evacuated, time_point now) {
    for (const std::string& domain : evacuated_.domains) {
        if (!evacuated.contains(domain)) {
            cold_.on_readmitted(domain, now);
        }
    }
    evacuated_ = evacuated;
}

send_bar send_allowance::bar(const endpoint_record& endpoint, duration patience, time_point now) const {
    for (const guard& each : guards) {
        if (!(this->*each.allows)(endpoint, patience, now)) {
            return each.reason;
        }
    }
    return send_bar::none;
}

bool send_allowance::is_barred_since(const endpoint_record& endpoint, time_point chosen_at) const {
    return limits_.has_tightened_since(endpoint.name, chosen_at) ||
           back_offs_.has_begun_since(endpoint.name, chosen_at) ||
           leaving_.has_begun_since(endpoint, chosen_at);
}

std::optional<duration> send_allowance::room_in(const std::string& service, time_point now) const {
    std::optional<duration> first;
    for (const std::optional<duration>& room :
         {cold_.first_warm_in(service, now), limits_.room_in(service, now),
          back_offs_.room_in(service, now)}) {
        first = first && room ? std::min(*first, *room) : first ? first : room;
    }
    return first;
}

void send_allowance::on_sent(const std::string& endpoint, time_point now) {
    cold_.on_sent(endpoint, now);
    limits_.on_sent(endpoint, now);
}

statement_news send_allowance::note(const endpoint_record& endpoint, const endpoint_statement& said,
                                    time_point sent_at, time_point now) {
    statement_news news;
    news.is_new_limit = limits_.note(endpoint, {said.rate_limit, sent_at, now}, now);
    news.is_farewell = said.is_leaving && leaving_.note(endpoint, now);
    news.is_rest = said.back_off.has_value();
    if (news.is_rest) {
        back_offs_.note(endpoint, *said.back_off, now);
    }
    return news;
}

bool send_allowance::is_in_use(const endpoint_record& endpoint, duration, time_point) const {
    return !evacuated_.contains(endpoint.domain);
}

bool send_allowance::is_staying(const endpoint_record& endpoint, duration, time_point) const {
    return !leaving_.is_leaving(endpoint);
}

bool send_allowance::is_rested(const endpoint_record& endpoint, duration patience, time_point now) const {
    return back_offs_.may_send_within(endpoint.name, patience, now);
}

bool send_allowance::is_within_limit(const endpoint_record& endpoint, duration patience,
                                     time_point now) const {
    return limits_.may_send_within(endpoint.name, patience, now);
}

bool send_allowance::is_warm_enough(const endpoint_record& endpoint, duration patience,
                                    time_point now) const {
    return cold_.may_send_within(endpoint.name, patience, now);
}

} // namespace laurelhoist
