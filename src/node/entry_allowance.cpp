// How an entry keeps to what endpoints say of themselves. Each entry hears it with its own answers.
#include "node/entry_core.h"

namespace laurelhoist {

endpoint_filter entry_core::allowed_within(duration patience) const {
    return [this, patience](const endpoint_record& endpoint) {
        return allowance_.exclusion_of(endpoint, patience, now_) == exclusion::none;
    };
}

void entry_core::note_statement(const context& request, const endpoint_statement& said) {
    const statement_effects news = allowance_.note(request.endpoint, said, request.call_started, now_);
    if (!news.is_limit_changed && !news.has_back_off && !news.is_newly_leaving) {
        return;
    }
    constexpr double no_limit = -1;
    numbers_.count("endpoint_statements");
    log_info("endpoint_statement", {{"endpoint", request.endpoint.name},
                                    {"request", request.id},
                                    {"requests_per_s", said.rate_limit.value_or(no_limit)},
                                    {"rest_ms", to_ms(said.back_off.value_or(duration::zero()))},
                                    {"is_leaving", said.is_leaving}});
    if (news.is_newly_leaving) {
        share_leaving(request.endpoint.name);
    }
}

// The stewards share endpoints out over entries, so that which others use one is not known here, only how
// many.
void entry_core::assign_limits() {
    for (const auto& [pool, sharers] : sharers_) {
        allowance_.limits().set_sharers(pool, sharers);
    }
    allowance_.set_hosts({{}, true}, now_);
}

int entry_core::retry_after_ms(const context& request) const {
    const duration room = allowance_.time_until_available(request.pool, now_).value_or(duration::zero());
    return static_cast<int>(to_ms(room));
}

} // namespace laurelhoist
