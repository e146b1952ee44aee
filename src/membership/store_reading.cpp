#include "membership/store_reading.h"

#include "membership/reader_order.h"

#include <algorithm>
#include <map>
#include <set>

namespace laurelhoist {

namespace {

/// A host that starts reads everything until it holds objects of all kinds, but for no longer than this.
constexpr duration max_initial_reading_time = milliseconds(1500);
/// A host that starts waits this long for copies of a long list before it reads the list itself.
constexpr duration max_wait_for_long_list = seconds(4);
/// Time in which the hosts of a fleet that starts as a whole learn of one another, so that only few consider
/// themselves readers. A host that starts in a running fleet learns of the others within 50 ms.
constexpr duration listening_time = milliseconds(1000);
/// The same for a host that knows seeds and has heard of no other host. When 985 hosts start at once, three
/// seeds answer them all.
constexpr duration listening_time_alone = milliseconds(2500);
/// The same while many more hosts become known: 985 hosts that start at once know one another after 4.4 s. A
/// host that knows 24 of them would consider itself a reader with a chance of one in twelve.
constexpr duration max_listening_time = seconds(5);
/// A host whose configuration has not been confirmed for this long asks the store itself, before its API keys
/// expire after 5 s. Readers confirm their configuration every second, and peers forward that within another
/// 1.5 s.
constexpr duration max_unconfirmed_time = milliseconds(3400);
/// Added to \ref max_unconfirmed_time for each host that precedes this one in the reader order. A peer that
/// the store has answered confirms the configuration for the others within 0.75 s, in which about sixty more
/// hosts have asked.
constexpr duration confirmation_stagger = milliseconds(12);
/// A host that the store answers while it refuses the readers reads everything once, for this long. Its calls
/// in flight at the end of this time go on waiting for changes. With 4 s, hosts whose configuration was stale
/// for a moment made 1,700 additional calls in 48 s.
constexpr duration reading_for_others_time = milliseconds(500);
/// Only this many hosts, the first in the reader order, read everything when the store answers them after an
/// outage: enough that the store serves some of them even if it refuses most hosts. Reading everything takes
/// about four calls of each host.
constexpr std::size_t max_hosts_reading_for_others = 48;
/// How long a host waits for a peer's copy of a newer configuration before it reads the store. A usual copy
/// takes less than 100 ms. A configuration of 1,800 routes (0.5 MB) that fifty hosts request from six takes
/// seconds over 10 Mbit/s links, while the store delivers it at once. With 300 ms, 55 of 74 hosts asked the
/// store at each change, because copies sometimes take that long on hosts with an eighth of a core.
constexpr duration max_copy_delay = milliseconds(500);
/// A reader whose calls have failed for this long steps back. Three calls fail within it, whereas a single
/// lost answer is repaired after 50 ms.
constexpr duration max_store_loss = milliseconds(300);
/// Hosts that a reader tells at once that it has lost the store. If the store refuses one host in three, at
/// least two of eight are served in 299 of 300 cases.
constexpr std::size_t substitutes_told = 8;

/// A host that may read the store, with its position in its failure domain.
struct candidate {
    std::size_t in_domain = 0;
    domain_rank rank;
    const host_status* host = nullptr;
};

/** \return the hosts that are not leaving, and the host \p name in any case, in the reader order. Hosts that
 * are starting are included: otherwise, when a whole fleet starts, each host would find itself among the
 * first. */
std::vector<candidate> reader_order(const std::vector<host_status>& hosts, const std::string& name) {
    std::vector<candidate> order;
    for (const host_status& host : hosts) {
        if (host.state != "leaving" || host.name == name) {
            order.push_back({0, rank_in_domain(host), &host});
        }
    }
    std::sort(order.begin(), order.end(),
              [](const candidate& l, const candidate& r) { return l.rank < r.rank; });
    std::map<std::string, std::size_t> placed;
    for (candidate& each : order) {
        each.in_domain = placed[each.host->domain]++;
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const candidate& l, const candidate& r) { return l.in_domain < r.in_domain; });
    return order;
}

std::vector<candidate>::const_iterator find_candidate(const std::vector<candidate>& order,
                                                      const std::string& name) {
    return std::find_if(order.begin(), order.end(),
                        [&](const candidate& each) { return each.host->name == name; });
}

std::size_t hosts_in_domain(const std::vector<candidate>& order, const std::string& domain) {
    return static_cast<std::size_t>(std::count_if(
        order.begin(), order.end(), [&](const candidate& each) { return each.host->domain == domain; }));
}

} // namespace

const char* to_string(reading_mode mode) {
    switch (mode) {
    case reading_mode::listening:
        return "listening";
    case reading_mode::copies:
        return "copies";
    case reading_mode::fetching:
        return "fetching";
    case reading_mode::confirming:
        return "confirming";
    case reading_mode::all:
        return "all";
    }
    return "unknown";
}

reader_position find_reader_position(const std::string& name, const std::vector<host_status>& hosts) {
    const std::vector<candidate> order = reader_order(hosts, name);
    const auto found = find_candidate(order, name);
    if (found == order.end()) {
        return {order.size(), order.size()};
    }
    const auto known_before = static_cast<std::size_t>(found - order.begin());
    const auto lost_before = static_cast<std::size_t>(
        std::count_if(order.begin(), found, [](const candidate& each) { return each.host->has_lost_store; }));
    if (found->in_domain <= max_flat_domain_hosts) {
        return {found->in_domain, known_before, lost_before};
    }
    // Of another large domain only its first hosts are known here.
    std::set<std::string> domains;
    for (const candidate& each : order) {
        domains.insert(each.host->domain);
    }
    const std::size_t before = std::max(known_before, found->in_domain * domains.size());
    return {found->in_domain, before, lost_before};
}

std::vector<host_status> select_substitute_readers(const std::string& name,
                                                   const std::vector<host_status>& hosts) {
    std::vector<host_status> chosen;
    for (const candidate& each : reader_order(hosts, name)) {
        if (chosen.size() < substitutes_told && each.host->name != name && !each.host->has_lost_store) {
            chosen.push_back(*each.host);
        }
    }
    return chosen;
}

bool announces_lost_store(const reading_inputs& inputs) {
    return inputs.mode != reading_mode::copies && inputs.mode != reading_mode::listening &&
           inputs.store_lost_for > max_store_loss;
}

std::vector<host_status> select_relays(const std::vector<host_status>& hosts) {
    std::vector<host_status> relays;
    for (const candidate& each : reader_order(hosts, "")) {
        if (each.in_domain < relays_per_domain) {
            relays.push_back(*each.host);
        }
    }
    return relays;
}

std::vector<host_status> select_readers(const std::vector<host_status>& hosts) {
    std::vector<host_status> readers = select_relays(hosts);
    readers.resize(std::min(readers.size(), large_fleet_readers));
    return readers;
}

bool is_whole_list_holder(const std::string& name, const std::vector<host_status>& hosts) {
    const std::vector<candidate> order = reader_order(hosts, name);
    const auto own = find_candidate(order, name);
    return own != order.end() &&
           own->in_domain < whole_list_holders(hosts_in_domain(order, own->host->domain));
}

std::optional<host_status> holder_for(const std::string& name, const std::vector<host_status>& hosts,
                                      std::size_t attempt) {
    const std::vector<candidate> order = reader_order(hosts, name);
    const auto own = find_candidate(order, name);
    if (own == order.end()) {
        return std::nullopt;
    }
    const std::string& domain = own->host->domain;
    const std::size_t holders = whole_list_holders(hosts_in_domain(order, domain));
    const std::size_t wanted = (own->in_domain + attempt) % holders;
    const auto holder = std::find_if(order.begin(), order.end(), [&](const candidate& each) {
        return each.host->domain == domain && each.in_domain == wanted;
    });
    return holder == order.end() || holder->host->name == name ? std::nullopt
                                                               : std::optional<host_status>(*holder->host);
}

std::vector<host_status> change_notice_targets(const std::string& name, bool is_reader,
                                               const std::vector<host_status>& hosts, list_holding holding) {
    const std::vector<candidate> order = reader_order(hosts, name);
    const auto own = find_candidate(order, name);
    std::vector<host_status> targets;
    if (own == order.end()) {
        return targets;
    }
    const std::size_t domain_hosts = hosts_in_domain(order, own->host->domain);
    const std::size_t holders =
        holding == list_holding::whole ? domain_hosts : whole_list_holders(domain_hosts);
    const std::size_t first = own->in_domain * change_notice_fanout + 1;
    const bool is_holder = own->in_domain < holders;
    for (const candidate& each : order) {
        const bool is_same_domain = each.host->domain == own->host->domain;
        const bool is_next = is_same_domain && each.in_domain < holders && each.in_domain >= first &&
                             each.in_domain < first + change_notice_fanout;
        const bool is_served = is_holder && is_same_domain && each.in_domain >= holders &&
                               each.in_domain % holders == own->in_domain;
        const bool is_relay = is_reader && each.in_domain < relays_per_domain;
        if ((is_next || is_served || is_relay) && each.host->name != name) {
            targets.push_back(*each.host);
        }
    }
    return targets;
}

reading_mode choose_reading_mode(const reading_inputs& inputs) {
    const bool is_alone = inputs.expects_others && inputs.hosts == 1;
    const duration listening = inputs.is_view_growing ? max_listening_time
                               : is_alone             ? listening_time_alone
                                                      : listening_time;
    if (inputs.mode == reading_mode::listening && inputs.since_start < listening) {
        return reading_mode::listening;
    }
    const bool is_small_fleet = inputs.hosts <= max_small_fleet_hosts;
    const bool is_reader = is_small_fleet || inputs.hosts_before < large_fleet_readers;
    const bool reads_for_others = inputs.hosts_before < max_hosts_reading_for_others;
    const bool is_substitute =
        reads_for_others && inputs.hosts_before - inputs.lost_before < large_fleet_readers;
    const bool is_still_starting =
        !inputs.holds_copies &&
        (inputs.is_list_long ? reads_for_others && inputs.since_start > max_wait_for_long_list
                             : inputs.since_start < max_initial_reading_time);
    if (is_substitute && !is_small_fleet && announces_lost_store(inputs)) {
        return reading_mode::confirming;
    }
    if (is_reader || is_still_starting) {
        return reading_mode::all;
    }
    if (inputs.mode == reading_mode::confirming && inputs.has_store_answered && reads_for_others) {
        return reading_mode::all;
    }
    if (is_substitute) {
        const bool is_reading = inputs.mode == reading_mode::all && inputs.has_store_answered;
        return is_reading ? reading_mode::all : reading_mode::confirming;
    }
    if (inputs.mode == reading_mode::all && inputs.has_store_answered &&
        inputs.in_mode < reading_for_others_time) {
        return reading_mode::all;
    }
    if (inputs.config_age > max_unconfirmed_time + confirmation_stagger * inputs.hosts_before) {
        return reading_mode::confirming;
    }
    const duration allowed_delay = inputs.is_config_large ? duration::zero() : max_copy_delay;
    return inputs.copy_overdue > allowed_delay ? reading_mode::fetching : reading_mode::copies;
}

} // namespace laurelhoist
