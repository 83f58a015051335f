// Decides the step after an attempt: relay the answer, try another upstream,
// reply to the caller, or abort the caller's connection.

#ifndef ORIOLEGRADE_COORDINATION_ATTEMPT_POLICY_HPP
#define ORIOLEGRADE_COORDINATION_ATTEMPT_POLICY_HPP

#include <oriolegrade/state/attempt_result.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/request_class.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::coordination {

enum class next_step : std::uint8_t
{
    /// The complete answer has been or can be relayed.
    done,
    retry,
    /// Reply with a generated response and its reason.
    reply,
    /// Part of the answer has been sent; close the connection uncleanly so that
    /// the caller detects that the answer is incomplete.
    abort,
};

/// State of a request after an attempt.
struct attempt_context
{
    state::attempt_result result = state::attempt_result::answered;
    state::request_class request = state::request_class::non_idempotent;
    /// Attempts made so far, including this one.
    std::uint32_t attempts_made = 1;
    std::uint32_t max_attempts = 1;
    /// Part of the answer has been sent to the caller.
    bool answer_started = false;
    /// The request body can be resent from its beginning.
    bool body_replayable = true;
    /// The service's retry budget allows one more attempt.
    bool budget_left = true;
    /// Another upstream is available.
    bool upstream_left = true;
};

struct attempt_decision
{
    next_step step = next_step::done;
    /// Valid when step is reply.
    state::reply_reason reason = state::reply_reason::no_upstream;
};

/// Maximum number of attempts of a request, given the result of the last one. A
/// request that was refused without being run may be redirected whatever its
/// class: servers are small, and after most sheds the next upstream has
/// capacity.
/// @param max_attempts limit of the route
std::uint32_t attempt_limit(state::attempt_result result,
                            std::uint32_t max_attempts);

/// Outcome to report to the caller after one or more attempts. A last attempt
/// that proves not-run proves nothing about earlier attempts.
state::run_outcome outcome_after(state::reply_reason reason, bool may_have_run);

/// Reason to reply with after one or more attempts. One whose status promises
/// that the request did not run is none when an earlier attempt may have run.
state::reply_reason reason_after(state::reply_reason reason, bool may_have_run);

/// Decides the step after an attempt. A request that may have run is resent
/// only when its class makes that safe.
attempt_decision decide_next(const attempt_context& context);

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::next_step>
{
    static constexpr std::array<std::string_view, 4> value{"done", "retry",
                                                           "reply", "abort"};
};

} // namespace oriolegrade::state

#endif
