#include "membership/freshness.h"

#include <algorithm>

namespace laurelhoist {

void freshness::on_confirmation(time_point asked_at, duration evidence_age, std::int64_t revision) {
    const time_point as_of = asked_at - evidence_age;
    fresh_as_of_ = confirmed_ ? std::max(fresh_as_of_, as_of) : as_of;
    confirmed_ = true;
    known_revision_ = std::max(known_revision_, revision);
}

void freshness::on_known_revision(std::int64_t revision) {
    known_revision_ = std::max(known_revision_, revision);
}

bool freshness::is_fresh(time_point now, std::int64_t revision) const {
    return confirmed_ && revision >= known_revision_ && now - fresh_as_of_ <= freshness_limit;
}

} // namespace laurelhoist
