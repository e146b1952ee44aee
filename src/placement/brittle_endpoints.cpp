#include "placement/brittle_endpoints.h"

#include <algorithm>
#include <cmath>

namespace laurelhoist {

namespace {

/// Part of the rejections borne for which permits exist. The rest is for hosts that know other live hosts.
constexpr double permitted_part = 0.8;
/// More permits than this bind nowhere.
constexpr double max_permits = 1000;
/// How long a rejection occupies its permit: the second in which the endpoint counts it, and the delays of
/// its arrival there and here.
constexpr duration rejection_time = milliseconds(1200);
/// An answer without a statement ends the brittle time only if it was sent this long after the last statement
/// had arrived, because endpoints state it at different moments.
constexpr duration statement_overlap = seconds(1);

} // namespace

void brittle_endpoints::update(const std::vector<endpoint_record>& endpoints) {
    listed_ = endpoints;
    divide_all();
    std::set<std::string> names;
    for (const endpoint_record& endpoint : endpoints) {
        names.insert(endpoint.name);
    }
    for (auto item = uses_.begin(); item != uses_.end();) {
        const bool is_kept = names.count(item->first) > 0 || item->second.unanswered > 0;
        item = is_kept ? std::next(item) : uses_.erase(item);
    }
}

void brittle_endpoints::note(const std::string& pool, std::optional<double> rejections_per_s,
                             time_point sent_at, time_point now) {
    const auto known = pools_.find(pool);
    if (rejections_per_s) {
        const double borne = std::max(0.0, *rejections_per_s);
        const bool is_changed = known == pools_.end() || known->second.rejections_per_s != borne;
        pools_[pool] = {borne, now};
        if (is_changed) {
            divide(pool);
        }
    } else if (known != pools_.end() && sent_at > known->second.heard_at + statement_overlap) {
        pools_.erase(known);
        divisions_.erase(pool);
    }
}

void brittle_endpoints::on_answered(const std::string& endpoint) {
    const auto found = uses_.find(endpoint);
    if (found != uses_.end()) {
        found->second.unanswered = std::max(0, found->second.unanswered - 1);
    }
}

void brittle_endpoints::on_rejected(const std::string& endpoint, time_point now) {
    std::deque<time_point>& rejected = uses_[endpoint].rejected_at;
    rejected.push_back(now);
    while (!rejected.empty() && now - rejected.front() > rejection_time) {
        rejected.pop_front();
    }
}

std::size_t brittle_endpoints::permits_of(const std::string& pool) const {
    const double borne = std::min(max_permits, pools_.at(pool).rejections_per_s);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(permitted_part * borne)));
}

std::size_t brittle_endpoints::even_share(std::size_t permits, std::size_t hosts) const {
    return view_.has_full_view ? permits / hosts : 1;
}

void brittle_endpoints::divide(const std::string& pool) {
    const std::size_t permits = permits_of(pool);
    const auto serving = std::count_if(view_.hosts.begin(), view_.hosts.end(),
                                       [](const host_status& host) { return host.state == "serving"; });
    const std::size_t hosts = std::max<std::size_t>(1, static_cast<std::size_t>(serving));
    division divided;
    bool holds_any = hosts <= permits;
    for (const endpoint_record& endpoint : listed_) {
        if (endpoint.pool != pool || endpoint.state != "live") {
            continue;
        }
        if (hosts <= permits) {
            divided.own[endpoint.name] = even_share(permits, hosts);
            continue;
        }
        const std::vector<std::string> sponsors = sponsors_of(endpoint, view_.hosts, permits);
        const bool is_sponsor = std::find(sponsors.begin(), sponsors.end(), host_) != sponsors.end();
        divided.own[endpoint.name] = is_sponsor ? 1 : 0;
        holds_any = holds_any || is_sponsor;
        divided.sponsors.insert(sponsors.begin(), sponsors.end());
    }
    if (holds_any) {
        divided.sponsors.clear();
    }
    divisions_[pool] = std::move(divided);
}

void brittle_endpoints::divide_all() {
    divisions_.clear();
    for (const auto& [pool, stated] : pools_) {
        divide(pool);
    }
}

void brittle_endpoints::set_hosts(const host_view& view) {
    view_ = view;
    divide_all();
}

bool brittle_endpoints::may_send(const endpoint_record& endpoint, bool may_wait, time_point now) const {
    const auto found = divisions_.find(endpoint.pool);
    if (found == divisions_.end()) {
        return true;
    }
    const auto own = found->second.own.find(endpoint.name);
    const std::size_t permits = own == found->second.own.end() ? 0 : own->second;
    const auto use = uses_.find(endpoint.name);
    if (permits == 0 || may_wait || use == uses_.end()) {
        return permits > 0;
    }
    const std::deque<time_point>& rejected = use->second.rejected_at;
    const auto occupied = std::count_if(rejected.begin(), rejected.end(),
                                        [now](time_point at) { return now - at <= rejection_time; });
    return static_cast<std::size_t>(use->second.unanswered + occupied) < permits;
}

const std::set<std::string>& brittle_endpoints::sponsors_instead_of_this_host(const std::string& pool) const {
    static const std::set<std::string> none;
    const auto found = divisions_.find(pool);
    return found == divisions_.end() ? none : found->second.sponsors;
}

} // namespace laurelhoist
