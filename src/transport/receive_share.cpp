#include "transport/receive_share.h"

#include <algorithm>

namespace laurelhoist {

std::size_t receive_share(std::size_t total_bytes, std::size_t open) {
    // The terms n / ((i + n) * (i + n + 1)) add up to one. The connection that is the i-th to have opened of
    // those present had at least the i before it beside it, so that its term is no larger than the i-th.
    constexpr double numerator = 16;
    const double divisor = static_cast<double>(open) + numerator;
    const double share = static_cast<double>(total_bytes) * numerator / (divisor * (divisor + 1));
    return std::clamp(static_cast<std::size_t>(share), min_receive_bytes, max_receive_bytes);
}

void set_receive_buffer(boost::asio::ip::tcp::socket& socket, std::size_t bytes) {
    // Linux doubles the value, as its own structures count toward the buffer.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(static_cast<int>(bytes / 2)), ignored);
}

} // namespace laurelhoist
