#include "membership/revision_evidence.h"

#include <algorithm>

namespace laurelhoist {

void revision_evidence::on_platform_read(time_point asked_at, std::int64_t revision) {
    platform_as_of_ = platform_as_of_ ? std::max(*platform_as_of_, asked_at) : asked_at;
    known_revision_ = std::max(known_revision_, revision);
}

void revision_evidence::on_peer_answer(const std::string& incarnation, time_point asked_at,
                                       std::int64_t revision) {
    peer_answer& answer = peers_[incarnation];
    answer.asked_at = std::max(answer.asked_at, asked_at);
    answer.revision = std::max(answer.revision, revision);
    known_revision_ = std::max(known_revision_, revision);
}

std::optional<time_point> revision_evidence::majority_as_of(time_point now,
                                                            const std::vector<steward_record>& list) const {
    std::vector<time_point> answered;
    for (const steward_record& steward : list) {
        if (steward.incarnation == own_incarnation_) {
            answered.push_back(now);
            continue;
        }
        const auto found = peers_.find(steward.incarnation);
        if (found != peers_.end()) {
            answered.push_back(found->second.asked_at);
        }
    }
    const std::size_t needed = majority_of(list.size());
    if (list.empty() || answered.size() < needed) {
        return std::nullopt;
    }
    std::sort(answered.begin(), answered.end(), std::greater<>());
    return answered[needed - 1];
}

std::optional<time_point> revision_evidence::confirmed_as_of(time_point now, std::int64_t held,
                                                             const std::vector<steward_record>& list) const {
    if (held < known_revision_) {
        return std::nullopt;
    }
    const std::optional<time_point> majority = majority_as_of(now, list);
    if (platform_as_of_ && majority) {
        return std::max(*platform_as_of_, *majority);
    }
    return platform_as_of_ ? platform_as_of_ : majority;
}

std::size_t revision_evidence::holders(std::int64_t revision, std::int64_t own_revision,
                                       const std::vector<steward_record>& list) const {
    return static_cast<std::size_t>(std::count_if(list.begin(), list.end(), [&](const steward_record& s) {
        if (s.incarnation == own_incarnation_) {
            return own_revision >= revision;
        }
        const auto found = peers_.find(s.incarnation);
        return found != peers_.end() && found->second.revision >= revision;
    }));
}

} // namespace laurelhoist
