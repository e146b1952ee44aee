#include "membership/reader_order.h"

#include "base/base.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// Hosts that fetch their part of a divided list from one holder. A part has about 500 endpoints of 150
/// bytes.
constexpr std::size_t hosts_per_holder = 16;
constexpr std::size_t min_holders_per_domain = 2; ///< one of them may be lost

} // namespace

domain_rank rank_in_domain(const host_status& host) {
    return {host.capacity, placement_hash("reader/" + host.name), host.name};
}

bool precedes_in_domain(const host_status& left, const host_status& right) {
    return rank_in_domain(left) < rank_in_domain(right);
}

std::size_t whole_list_holders(std::size_t hosts) {
    return std::min(hosts,
                    std::max(min_holders_per_domain, (hosts + hosts_per_holder - 1) / hosts_per_holder));
}

} // namespace laurelhoist
