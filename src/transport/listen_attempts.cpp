#include "transport/listen_attempts.h"

#include <algorithm>
#include <array>

namespace laurelhoist {

bool is_transient_listen_failure(const std::error_code& failure) {
    constexpr std::array transient{
        std::errc::address_in_use,  std::errc::too_many_files_open, std::errc::too_many_files_open_in_system,
        std::errc::no_buffer_space, std::errc::not_enough_memory,   std::errc::resource_unavailable_try_again,
        std::errc::interrupted};
    return std::any_of(transient.begin(), transient.end(), [&](std::errc each) { return failure == each; });
}

listen_reaction listen_attempts::on_failed(const std::error_code& failure, time_point now) {
    if (is_transient_listen_failure(failure)) {
        permanent_since_.reset();
    } else if (!permanent_since_) {
        permanent_since_ = now;
    }
    if (need_ == listen_need::service && permanent_since_ &&
        now - *permanent_since_ >= permanent_failure_timeout) {
        return listen_reaction::give_up;
    }
    const bool is_line_due = !failing_since_ || now - logged_at_ >= listen_log_interval;
    if (!failing_since_) {
        failing_since_ = now;
    }
    if (!is_line_due) {
        return listen_reaction::retry;
    }
    logged_at_ = now;
    return listen_reaction::log_and_retry;
}

std::optional<duration> listen_attempts::on_succeeded(time_point now) {
    if (!failing_since_) {
        return std::nullopt;
    }
    const duration lasted = now - *failing_since_;
    failing_since_.reset();
    permanent_since_.reset();
    return lasted;
}

} // namespace laurelhoist
