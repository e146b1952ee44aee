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
}

} // namespace laurelhoist
