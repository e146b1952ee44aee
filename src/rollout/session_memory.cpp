#include "rollout/session_memory.h"

#include <algorithm>

namespace laurelhoist {

namespace {

/// Beyond the session's life, for what a message between hosts takes and for clocks that run apart.
constexpr duration margin = milliseconds(1000);
constexpr std::size_t most_news = 40; ///< in one datagram, of some 30 bytes each

} // namespace

void session_memory::on_started(const std::string& service, std::uint64_t session, time_point now) {
    use& held = uses_[{service, session}];
    ++held.under_way;
    held.at = now;
    held.is_news = true;
}

void session_memory::on_finished(const std::string& service, std::uint64_t session, time_point now) {
    const auto found = uses_.find({service, session});
    if (found == uses_.end()) {
        return;
    }
    use& held = found->second;
    held.under_way = std::max(0, held.under_way - 1);
    held.at = now;
    held.is_news = true;
}

void session_memory::merge(const std::vector<session_use>& uses, time_point now) {
    for (const session_use& told : uses) {
        use& held = uses_[{told.service, told.session}];
        held.at = std::max(held.at, now - milliseconds(told.age_ms));
    }
}

bool session_memory::is_recent(const std::string& service, std::uint64_t session, time_point now) const {
    const auto found = uses_.find({service, session});
    return found != uses_.end() && (found->second.under_way > 0 || now - found->second.at < life_ + margin);
}

std::vector<session_use> session_memory::take_news(time_point now) {
    std::vector<session_use> news;
    for (auto& [name, held] : uses_) {
        if (!held.is_news || news.size() == most_news) {
            continue;
        }
        const duration age = held.under_way > 0 ? duration::zero() : now - held.at;
        news.push_back({name.first, name.second, std::chrono::duration_cast<milliseconds>(age).count()});
        // While a request is under way its end is not known yet, so it is told again until it is over.
        held.is_news = held.under_way > 0;
    }
    return news;
}

void session_memory::forget_old(time_point now) {
    for (auto item = uses_.begin(); item != uses_.end();) {
        const use& held = item->second;
        const bool is_over = held.under_way == 0 && now - held.at > life_ + margin;
        item = is_over ? uses_.erase(item) : std::next(item);
    }
}

} // namespace laurelhoist
