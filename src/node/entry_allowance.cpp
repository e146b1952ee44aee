// How an entry applies the rate limits, back-offs and departures that endpoints announce with their answers.
// Each entry learns them from the answers to its own calls.
#include "node/entry_core.h"

namespace laurelhoist {

endpoint_filter entry_core::allowed_within(duration patience) const {
    return [this, patience](const endpoint_record& endpoint) {
        return allowance_.exclusion_of(endpoint, patience, now_) == exclusion::none;
    };
}

void entry_core::apply_statement(const context& request, const endpoint_statement& statement) {
    const statement_effects effects =
        allowance_.note(request.endpoint, statement, request.call_started, now_);
    if (!effects.is_limit_changed && !effects.has_back_off && !effects.is_newly_leaving) {
        return;
    }
    constexpr double no_limit = -1;
    metrics_.count("endpoint_statements");
    log_info("endpoint_statement", {{"endpoint", request.endpoint.name},
                                    {"request", request.id},
                                    {"requests_per_s", statement.rate_limit.value_or(no_limit)},
                                    {"rest_ms", to_ms(statement.back_off.value_or(duration::zero()))},
                                    {"is_leaving", statement.is_leaving}});
    if (effects.is_newly_leaving) {
        announce_leaving_endpoint(request.endpoint.name);
    }
}

// Stewards assign each entry a subset of the endpoints, so an entry knows how many entries share an endpoint
// but not which ones.
void entry_core::update_rate_limit_shares() {
    for (const auto& [pool, sharers] : sharers_) {
        allowance_.limits().set_sharers(pool, sharers);
    }
    allowance_.set_hosts({{}, true}, now_);
}

int entry_core::retry_after_ms(const context& request) const {
    const duration wait = allowance_.time_until_available(request.pool, now_).value_or(duration::zero());
    return static_cast<int>(to_ms(wait));
}

} // namespace laurelhoist
