#include "rollout/session_memory.h"

#include "base/bounded.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// Added to a session's lifetime for the delay of messages between hosts and for clock drift.
constexpr duration expiry_margin = milliseconds(1000);
/// Keeps a message within one datagram, at some 30 bytes per session.
constexpr std::size_t max_updates_per_message = 40;

} // namespace

void session_memory::on_started(const std::string& service, std::uint64_t session, time_point now) {
    last_use& entry = uses_[{service, session}];
    ++entry.in_flight;
    entry.at = now;
    entry.is_unsent = true;
}

void session_memory::on_finished(const std::string& service, std::uint64_t session, time_point now) {
    const auto found = uses_.find({service, session});
    if (found == uses_.end()) {
        return;
    }
    last_use& entry = found->second;
    entry.in_flight = std::max(0, entry.in_flight - 1);
    entry.at = now;
    entry.is_unsent = true;
}

void session_memory::merge(const std::vector<session_use>& uses, time_point now) {
    for (const session_use& received : uses) {
        last_use& entry = uses_[{received.service, received.session}];
        entry.at = std::max(entry.at, now - foreign_time(std::max<std::int64_t>(0, received.age_ms)));
    }
}

bool session_memory::is_recent(const std::string& service, std::uint64_t session, time_point now) const {
    const auto found = uses_.find({service, session});
    return found != uses_.end() &&
           (found->second.in_flight > 0 || now - found->second.at < lifetime_ + expiry_margin);
}

// Continues behind the last key of the previous call. If each call began at the first key, sessions with a
// later key would never be sent while forty with earlier keys have a request in flight.
std::vector<session_use> session_memory::take_updates(time_point now) {
    std::vector<session_use> updates;
    auto item = uses_.upper_bound(last_sent_);
    for (std::size_t visited = 0; visited < uses_.size() && updates.size() < max_updates_per_message;
         ++visited, ++item) {
        item = item == uses_.end() ? uses_.begin() : item;
        auto& [name, entry] = *item;
        if (!entry.is_unsent) {
            continue;
        }
        const duration age = entry.in_flight > 0 ? duration::zero() : now - entry.at;
        updates.push_back({name.first, name.second, std::chrono::duration_cast<milliseconds>(age).count()});
        // While a request is in flight its end is not known, so its session is sent again each time.
        entry.is_unsent = entry.in_flight > 0;
        last_sent_ = name;
    }
    return updates;
}

void session_memory::forget_old(time_point now) {
    for (auto item = uses_.begin(); item != uses_.end();) {
        const last_use& entry = item->second;
        const bool is_over = entry.in_flight == 0 && now - entry.at > lifetime_ + expiry_margin;
        item = is_over ? uses_.erase(item) : std::next(item);
    }
}

} // namespace laurelhoist
