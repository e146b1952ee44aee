// What hosts tell each other about the services whose endpoints they have lost.
#include "host/entry_host.h"

namespace laurelhoist {

// Sent to all hosts at once: until they know of it, they would take this host for one that reaches the
// endpoints.
void entry_host::announce_lost_pools() {
    const std::vector<std::string> lost = relay_.state().endpoints.allowance().reach().lost_pools();
    const time_point now = monotonic_now();
    gossip_.set_lost_pools(lost);
    (void)gossip_.next_targets(now); // Raises the heartbeat counter, without which the news counts as old.
    send_to_all(status_update{gossip_.self()});
    const std::vector<host_status>& live = gossip_.live(now);
    json hosts_in_touch = json::object();
    for (const std::string& pool : lost) {
        hosts_in_touch[pool] = std::count_if(live.begin(), live.end(), [&](const host_status& host) {
            return host.state == "serving" && !host.has_lost(pool);
        });
    }
    log_info("lost_services_announced", {{"services", lost}, {"hosts_in_touch", hosts_in_touch}});
}

void entry_host::handle(const std::string&, const status_update& message) {
    gossip_.merge({message.status}, monotonic_now());
    update_forwarding_peers();
}

bool entry_host::is_reached_by_others(const std::string& endpoint) const {
    const std::string pool = relay_.state().endpoints.allowance().reach().pool_of(endpoint);
    const std::vector<host_status>& live = gossip_.live(monotonic_now());
    return std::any_of(live.begin(), live.end(), [&](const host_status& host) {
        return host.name != settings_.name && host.state == "serving" && !host.has_lost(pool);
    });
}

// Guards against all hosts taking sound endpoints for restarted and cold ones, because this host's own links
// are reset.
bool entry_host::drop_refusals_of_lost_links() {
    send_allowance& allowance = relay_.state().endpoints.allowance();
    const bool may_be_lost =
        std::any_of(unsent_refusals_.begin(), unsent_refusals_.end(),
                    [&](const std::string& each) { return allowance.reach().has_lost_pool_of(each); });
    if (may_be_lost && !has_delayed_refusals_) {
        has_delayed_refusals_ = true;
        return true;
    }
    has_delayed_refusals_ = false;
    std::size_t dropped = 0;
    for (auto item = unsent_refusals_.begin(); item != unsent_refusals_.end();) {
        if (!allowance.reach().has_lost_pool_of(*item) || !is_reached_by_others(*item)) {
            ++item;
            continue;
        }
        allowance.cold().forget_refusal(*item);
        ++dropped;
        item = unsent_refusals_.erase(item);
    }
    if (dropped > 0) {
        log_info("refusals_of_lost_links", {{"dropped", dropped}});
    }
    return false;
}

void entry_host::update_forwarding_peers() {
    relay_.state().peers.set_hosts(gossip_.live(monotonic_now()));
}

} // namespace laurelhoist
