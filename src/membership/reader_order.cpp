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

std::uint64_t reader_rank(const host_status& host) {
    return placement_hash("reader/" + host.name);
}

bool precedes_in_domain(const host_status& left, const host_status& right) {
    if (left.capacity != right.capacity) {
        return left.capacity > right.capacity;
    }
    const std::uint64_t left_rank = reader_rank(left);
    const std::uint64_t right_rank = reader_rank(right);
    return std::tie(left_rank, left.name) < std::tie(right_rank, right.name);
}

std::size_t whole_list_holders(std::size_t hosts) {
    return std::min(hosts,
                    std::max(min_holders_per_domain, (hosts + hosts_per_holder - 1) / hosts_per_holder));
}

} // namespace laurelhoist
