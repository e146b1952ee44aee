#include "placement/cold_endpoints.h"

#include "base/base.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Two, so that one may be lost. With more sponsors the share of each would be too small to be useful.
constexpr std::size_t sponsors_per_endpoint = 2;
/// Twice as many hosts may consider themselves sponsors: while a domain is partitioned off, or just after a
/// host has joined or left, two views of the fleet exist at once.
constexpr double concurrent_views = 2.0;
/// Share of the bound for hosts that know that the endpoint is cold. The rest is reserved for requests of
/// hosts that do not know it yet.
constexpr double informed_share = 0.75;

constexpr cold_sharing_policy sharing_policies[] = {
    {"sponsors", &cold_endpoints::spacing_of_sponsors},
    {"all", &cold_endpoints::spacing_of_all_hosts},
    {"none", &cold_endpoints::spacing_of_no_host},
};

/** \return the shortest interval between requests at which no second holds more than \p max_per_s of them. */
duration spacing_for(double max_per_s) {
    // Rounded down to whole requests: at 1.9 requests per second, some second holds two.
    const double requests = max_per_s >= 1.0 ? std::floor(max_per_s) : max_per_s;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(1.0 / requests)) +
           milliseconds(1);
}

} // namespace

bool is_cold_sharing(const std::string& name) {
    return std::any_of(std::begin(sharing_policies), std::end(sharing_policies),
                       [&](const cold_sharing_policy& each) { return name == each.name; });
}

std::string cold_sharing_names() {
    std::string names;
    for (const cold_sharing_policy& each : sharing_policies) {
        names += (names.empty() ? "" : ",") + std::string(each.name);
    }
    return names;
}

cold_endpoints::cold_endpoints(std::string host, const cold_bound& bound, const std::string& sharing)
    : host_{std::move(host)}, bound_{bound}, sharing_{&sharing_policies[0]} {
    for (const cold_sharing_policy& each : sharing_policies) {
        if (sharing == each.name) {
            sharing_ = &each;
        }
    }
}

void cold_endpoints::update(const std::vector<endpoint_record>& endpoints, time_point now) {
    std::set<std::string> listed;
    for (const endpoint_record& record : endpoints) {
        const auto service = services_.find(record.pool);
        if (service == services_.end() || service->second.requests_per_s <= 0) {
            continue;
        }
        listed.insert(record.name);
        const auto [item, is_new] = endpoints_.try_emplace(record.name);
        known_endpoint& endpoint = item->second;
        const bool is_new_entry = is_new || endpoint.record.cold_ms != record.cold_ms ||
                                  endpoint.record.started_at_ms != record.started_at_ms;
        if (is_new_entry) {
            // Bounded by the configured cold time, because an entry may hold any number.
            endpoint.warm_at =
                now + std::min<duration>(service->second.cold_time, milliseconds(record.cold_ms));
        }
        endpoint.record = record;
    }
    for (auto item = endpoints_.begin(); item != endpoints_.end();) {
        item = listed.count(item->first) > 0 ? std::next(item) : endpoints_.erase(item);
    }
}

double cold_endpoints::allowance_of(const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.requests_per_s * bound_.overage + bound_.slack;
}

void cold_endpoints::set_hosts(const host_view& view, time_point now) {
    for (auto& [name, endpoint] : endpoints_) {
        if (now < cold_until(endpoint)) {
            assign(endpoint, view, now);
        } else {
            endpoint.spacing.reset();
        }
    }
}

void cold_endpoints::assign(known_endpoint& endpoint, const host_view& view, time_point now) {
    std::optional<duration> spacing;
    if (view.has_full_view) {
        const double allowance = allowance_of(endpoint.record.pool) * informed_share;
        spacing = (this->*sharing_->spacing)(endpoint.record, allowance, view);
    }
    if (spacing && !endpoint.spacing) {
        // A new sponsor waits as if it had just sent a request, because the previous sponsor may have done
        // so. The phase keeps hosts that become sponsors at the same moment from sending in step.
        const double phase =
            static_cast<double>(placement_hash(host_ + "/" + endpoint.record.name) % 1000) / 1000;
        const auto first = std::chrono::duration_cast<duration>(*spacing * (1.0 + phase));
        endpoint.next_send = std::max(endpoint.next_send, now + first);
    }
    endpoint.spacing = spacing;
}

std::optional<duration> cold_endpoints::spacing_of_sponsors(const endpoint_record& endpoint, double allowance,
                                                            const host_view& view) const {
    const std::vector<std::string> sponsors = sponsors_of(endpoint, view.hosts, sponsors_per_endpoint);
    const bool is_sponsor = std::find(sponsors.begin(), sponsors.end(), host_) != sponsors.end();
    if (!is_sponsor) {
        return std::nullopt;
    }
    return spacing_for(allowance / (concurrent_views * static_cast<double>(sponsors_per_endpoint)));
}

std::optional<duration> cold_endpoints::spacing_of_all_hosts(const endpoint_record&, double allowance,
                                                             const host_view& view) const {
    return spacing_for(allowance /
                       (concurrent_views * static_cast<double>(std::max<std::size_t>(1, view.hosts.size()))));
}

std::optional<duration> cold_endpoints::spacing_of_no_host(const endpoint_record&, double,
                                                           const host_view&) const {
    return std::nullopt;
}

bool cold_endpoints::on_refused(const std::string& endpoint, duration age, time_point now) {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || age >= refused_cold_time) {
        return false;
    }
    std::optional<time_point>& refused_at = found->second.refused_at;
    const time_point at = now - age;
    // Announced again only if it is much newer; otherwise every attempt would be announced to every host.
    const bool should_announce = !refused_at || at > *refused_at + refused_cold_time / 4;
    if (!refused_at || at > *refused_at) {
        refused_at = at;
    }
    return should_announce;
}

void cold_endpoints::forget_refusal(const std::string& endpoint) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        found->second.refused_at.reset();
    }
}

std::map<std::string, duration> cold_endpoints::refused(time_point now) const {
    std::map<std::string, duration> ages;
    for (const auto& [name, endpoint] : endpoints_) {
        if (endpoint.refused_at && now - *endpoint.refused_at < refused_cold_time) {
            ages[name] = now - *endpoint.refused_at;
        }
    }
    return ages;
}

// If each call began at the first name, endpoints with later names would never be named after the loss of a
// failure domain with more than \p max_count endpoints.
std::map<std::string, duration> cold_endpoints::next_refused(std::size_t max_count, time_point now) {
    const std::map<std::string, duration> all = refused(now);
    std::map<std::string, duration> chosen;
    auto next = all.upper_bound(last_refused_named_);
    while (chosen.size() < std::min(max_count, all.size())) {
        next = next == all.end() ? all.begin() : next;
        last_refused_named_ = next->first;
        chosen.insert(*next);
        ++next;
    }
    return chosen;
}

void cold_endpoints::on_readmitted(const std::string& domain, time_point now) {
    for (auto& [name, endpoint] : endpoints_) {
        if (endpoint.record.domain == domain) {
            const auto service = services_.find(endpoint.record.pool);
            const duration cold_time =
                service == services_.end() ? duration::zero() : service->second.cold_time;
            endpoint.warm_at = std::max(endpoint.warm_at, now + cold_time);
        }
    }
}

time_point cold_endpoints::cold_until(const known_endpoint& endpoint) const {
    return endpoint.refused_at ? std::max(endpoint.warm_at, *endpoint.refused_at + refused_cold_time)
                               : endpoint.warm_at;
}

const cold_endpoints::known_endpoint* cold_endpoints::find_cold(const std::string& endpoint,
                                                                time_point now) const {
    const auto found = endpoints_.find(endpoint);
    const bool is_found = found != endpoints_.end() && now < cold_until(found->second);
    return is_found ? &found->second : nullptr;
}

bool cold_endpoints::is_cold(const std::string& endpoint, time_point now) const {
    return find_cold(endpoint, now) != nullptr;
}

bool cold_endpoints::may_send(const std::string& endpoint, time_point now) const {
    return may_send_within(endpoint, duration::zero(), now);
}

bool cold_endpoints::may_send_within(const std::string& endpoint, duration max_wait, time_point now) const {
    const known_endpoint* cold = find_cold(endpoint, now);
    if (cold == nullptr) {
        return true;
    }
    const bool is_in_turn = cold->spacing && cold->next_send <= now + max_wait;
    return is_in_turn || (max_wait > duration::zero() && cold_until(*cold) <= now + max_wait);
}

void cold_endpoints::on_sent(const std::string& endpoint, time_point now) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end() && found->second.spacing) {
        found->second.next_send = now + *found->second.spacing;
    }
}

std::optional<duration> cold_endpoints::first_warm_in(const std::string& service, time_point now) const {
    std::optional<duration> first;
    for (const auto& [name, endpoint] : endpoints_) {
        const duration left = cold_until(endpoint) - now;
        if (endpoint.record.pool == service && left > duration::zero()) {
            first = first ? std::min(*first, left) : left;
        }
    }
    return first;
}

} // namespace laurelhoist
