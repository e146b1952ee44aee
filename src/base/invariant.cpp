#include "base/invariant.h"

#include "base/log.h"

namespace laurelhoist {

invariant_registry& invariant_registry::instance() {
    static invariant_registry registry;
    return registry;
}

bool invariant_registry::check(const char* promise, bool holds, const json& values) {
    counts& count = counts_[promise];
    ++count.checked;
    if (holds) {
        return true;
    }
    ++count.broken;
    log_error("invariant_broken", {{"promise", promise}, {"values", values}});
    if (throws_) {
        throw invariant_failure(std::string(promise) + " " + values.dump());
    }
    return false;
}

std::uint64_t invariant_registry::broken() const {
    std::uint64_t total = 0;
    for (const auto& [promise, count] : counts_) {
        total += count.broken;
    }
    return total;
}

} // namespace laurelhoist
