#include "base/error.h"

#include <array>
#include <tuple>

namespace laurelhoist {

namespace {

struct kind_entry {
    error_kind kind;
    const char* name;
    int status;
};

constexpr std::array kind_table{
    kind_entry{error_kind::invalid_setting, "invalid_setting", 400},
    kind_entry{error_kind::invalid_request, "invalid_request", 400},
    kind_entry{error_kind::invalid_bundle, "invalid_bundle", 422},
    kind_entry{error_kind::unauthorized, "unauthorized", 401},
    kind_entry{error_kind::forbidden, "forbidden", 403},
    kind_entry{error_kind::not_found, "not_found", 404},
    kind_entry{error_kind::conflict, "conflict", 409},
    kind_entry{error_kind::too_large, "too_large", 413},
    kind_entry{error_kind::rate_limited, "rate_limited", 429},
    kind_entry{error_kind::queue_full, "queue_full", 429},
    kind_entry{error_kind::no_capacity, "no_capacity", 503},
    kind_entry{error_kind::not_fresh, "not_fresh", 503},
    kind_entry{error_kind::withdrawn, "withdrawn", 503},
    kind_entry{error_kind::deadline_exceeded, "deadline_exceeded", 504},
    kind_entry{error_kind::outcome_unknown, "outcome_unknown", 502},
    kind_entry{error_kind::in_progress, "in_progress", 409},
    kind_entry{error_kind::endpoint_failed, "endpoint_failed", 502},
    kind_entry{error_kind::quality_unmet, "quality_unmet", 502},
    kind_entry{error_kind::ledger_unavailable, "ledger_unavailable", 503},
    kind_entry{error_kind::platform_unavailable, "platform_unavailable", 503},
    kind_entry{error_kind::stopping, "stopping", 503},
    kind_entry{error_kind::internal, "internal", 500},
};

const kind_entry& entry_of(error_kind kind) {
    for (const kind_entry& entry : kind_table) {
        if (entry.kind == kind) {
            return entry;
        }
    }
    return kind_table.back();
}

} // namespace

const char* to_string(error_kind kind) {
    return entry_of(kind).name;
}

int http_status(error_kind kind) {
    return entry_of(kind).status;
}

bool operator==(const error& left, const error& right) {
    return std::tie(left.kind, left.message, left.ran, left.retry_after_ms) ==
           std::tie(right.kind, right.message, right.ran, right.retry_after_ms);
}

bool operator!=(const error& left, const error& right) {
    return !(left == right);
}

json to_error_body(const error& failure, const std::string& request_id) {
    json body = {{"kind", to_string(failure.kind)},
                 {"message", failure.message},
                 {"ran", failure.ran},
                 {"request_id", request_id}};
    if (failure.retry_after_ms > 0) {
        body["retry_after_ms"] = failure.retry_after_ms;
    }
    return {{"error", body}};
}

} // namespace laurelhoist
