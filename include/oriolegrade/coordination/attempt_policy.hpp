// Decides what follows an attempt: pass the answer on, try another upstream,
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
    /// The answer has been or can be passed on whole.
    done,
    retry,
    /// Reply with a reason of the system's own.
    reply,
    /// Part of the answer is out; close the connection uncleanly so that the
    /// caller sees that the answer is incomplete.
    abort,
};

/// What is known after an attempt.
struct attempt_context
{
    state::attempt_result result = state::attempt_result::answered;
    state::request_class request = state::request_class::non_idempotent;
    /// Attempts made so far, including this one.
    std::uint32_t attempts_made = 1;
    std::uint32_t max_attempts = 1;
    /// Part of the answer has been sent to the caller.
    bool answer_started = false;
    /// The request body can be sent again from its beginning.
    bool body_replayable = true;
    /// The service's retry budget allows one more attempt.
    bool budget_left = true;
    /// Another upstream is available.
    bool upstream_left = true;
};

struct attempt_decision
{
    next_step step = next_step::done;
    /// Set when step is reply.
    state::reply_reason reason = state::reply_reason::no_upstream;
};

/// Attempts that a request may make after one that ended so. One that was
/// refused unrun may go elsewhere whatever its class: servers are small, and
/// most sheds find room at the next upstream.
/// @param max_attempts the route's limit
std::uint32_t attempt_limit(state::attempt_result result,
                            std::uint32_t max_attempts);

/// Outcome to tell the caller with a reply after some attempts. A last
/// attempt that proves not-run says nothing about the ones before it.
state::run_outcome outcome_after(state::reply_reason reason, bool may_have_run);

/// Decides the step after an attempt. A request that may have run is only
/// sent again when its class says that this is harmless.
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
