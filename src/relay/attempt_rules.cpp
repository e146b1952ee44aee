#include "relay/attempt_rules.h"

namespace laurelhoist {

bool proves_not_run(attempt_end end) {
    return end == attempt_end::not_sent || end == attempt_end::refused || end == attempt_end::misdirected;
}

namespace {

follow_up_step final_step(const retry_context& context, attempt_end end) {
    if (context.has_begun_answer) {
        return follow_up_step::abort_answer;
    }
    if (end == attempt_end::failed) {
        return follow_up_step::forward_failure;
    }
    if (!context.may_have_run) {
        return follow_up_step::refuse;
    }
    return context.is_expired ? follow_up_step::expire : follow_up_step::fail;
}

} // namespace

const char* to_string(attempt_end end) {
    switch (end) {
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::refused:
        return "refused";
    case attempt_end::misdirected:
        return "misdirected";
    case attempt_end::failed:
        return "failed";
    case attempt_end::broken:
        return "broken";
    case attempt_end::silent:
        return "silent";
    case attempt_end::out_of_order:
        return "out_of_order";
    case attempt_end::declined:
        return "declined";
    case attempt_end::unsuitable:
        return "unsuitable";
    }
    return "unknown";
}

follow_up_step next_step_after(const retry_context& context, attempt_end end) {
    if (context.is_caller_gone) {
        return follow_up_step::discard;
    }
    const bool may_run_again = context.may_repeat || (!context.may_have_run && proves_not_run(end));
    // Unreachable endpoints do not count as attempts; \c has_budget limits how many are tried.
    const bool has_attempts_left = context.attempts < context.max_attempts;
    if (may_run_again && has_attempts_left && !context.is_expired && context.has_budget) {
        return follow_up_step::retry;
    }
    return final_step(context, end);
}

} // namespace laurelhoist
