#include "transport/descriptor_shares.h"

#include <sys/resource.h>

#include <algorithm>

namespace laurelhoist {

namespace {

/// Assumed if the system does not tell: the lowest usual limit.
constexpr std::size_t default_limit = 256;
/// Bound of what is counted on: a system may allow more than there is memory for.
constexpr rlim_t max_limit = 1 << 20;
/// Connections to a page below which its users would close each other's.
constexpr std::size_t min_page_connections = 4;

} // namespace

descriptor_shares share_descriptors(std::size_t limit) {
    constexpr std::size_t parts = 32;
    constexpr std::size_t parts_of_callers = 10; // With as many connections to endpoints, 20.
    constexpr std::size_t parts_of_peers = 2;    // With as many connections to endpoints, 4.
    descriptor_shares shares;
    shares.callers = std::max<std::size_t>(1, limit * parts_of_callers / parts);
    shares.peers = std::max<std::size_t>(1, limit * parts_of_peers / parts);
    shares.page = std::max(min_page_connections, limit / parts); // Four pages: 4.
    return shares;
}

std::size_t raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return default_limit;
    }
    const rlim_t allowed = limit.rlim_cur;
    limit.rlim_cur = std::max(allowed, std::min(limit.rlim_max, max_limit));
    const bool is_raised = ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
    return static_cast<std::size_t>(std::min(is_raised ? limit.rlim_cur : allowed, max_limit));
}

} // namespace laurelhoist
