// Decides the step after an attempt.

#include <oriolegrade/coordination/attempt_policy.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

namespace {

using state::attempt_result;
using state::reply_reason;

/// True when the attempt proves that the upstream did not run the request.
bool proves_not_run(attempt_result result)
{
    return result == attempt_result::not_sent ||
           result == attempt_result::shed ||
           result == attempt_result::expired_unsent;
}

reply_reason reason_of(attempt_result result)
{
    switch (result) {
    case attempt_result::shed:
        return reply_reason::shed;
    case attempt_result::expired:
        return reply_reason::deadline;
    case attempt_result::expired_unsent:
        return reply_reason::deadline_not_run;
    case attempt_result::lost:
    case attempt_result::faulted:
        return reply_reason::connection_lost;
    default:
        return reply_reason::no_upstream;
    }
}

bool may_repeat(const attempt_context& context)
{
    return proves_not_run(context.result) ||
           context.request != state::request_class::non_idempotent;
}

bool has_time(attempt_result result)
{
    return result != attempt_result::expired &&
           result != attempt_result::expired_unsent;
}

} // namespace

std::uint32_t attempt_limit(state::attempt_result result,
                            std::uint32_t max_attempts)
{
    constexpr std::uint32_t max_unrun_attempts = 3;
    return proves_not_run(result) ? std::max(max_attempts, max_unrun_attempts)
                                  : max_attempts;
}

state::run_outcome outcome_after(reply_reason reason, bool may_have_run)
{
    const auto outcome = state::reply_of(reason).outcome;
    return may_have_run && outcome == state::run_outcome::not_run
               ? state::run_outcome::unknown
               : outcome;
}

reply_reason reason_after(reply_reason reason, bool may_have_run)
{
    return may_have_run && state::reply_of(reason).outcome ==
                               state::run_outcome::not_run
               ? reply_reason::connection_lost
               : reason;
}

attempt_decision decide_next(const attempt_context& context)
{
    if (context.result == attempt_result::answered) {
        return {next_step::done, {}};
    }
    if (context.answer_started ||
        context.result == attempt_result::caller_lost) {
        return {next_step::abort, {}};
    }
    const bool retry =
        may_repeat(context) && has_time(context.result) &&
        context.attempts_made <
            attempt_limit(context.result, context.max_attempts) &&
        context.body_replayable && context.budget_left && context.upstream_left;
    if (retry) {
        return {next_step::retry, {}};
    }
    return {next_step::reply, reason_of(context.result)};
}

} // namespace oriolegrade::coordination
