// Decides how a request is executed, from its route, its headers and the state
// of the host.

#ifndef ORIOLEGRADE_COORDINATION_EXECUTION_DECISION_HPP
#define ORIOLEGRADE_COORDINATION_EXECUTION_DECISION_HPP

#include <oriolegrade/coordination/claim_writer.hpp>
#include <oriolegrade/coordination/used_table.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/request_class.hpp>
#include <oriolegrade/state/token.hpp>

#include <optional>
#include <variant>

namespace oriolegrade::coordination {

enum class field_presence : std::uint8_t
{
    absent,
    present,
    malformed,
};

struct execution_input
{
    state::request_class request_class = state::request_class::idempotent;
    /// The route allows a single attempt without a token or key.
    bool allow_unkeyed = false;
    field_presence token_field = field_presence::absent;
    /// Incarnation of the token, when present.
    state::identifier token_incarnation;
    /// This process owns or has imported the incarnation of the token.
    bool token_is_local = false;
    field_presence key_field = field_presence::absent;
    /// Claim known to hold the key, from the partition's table.
    std::optional<state::claim> key_holder;
    bool holder_is_local = false;
    bool log_available = true;
    bool shutting_down = false;
};

/// Run with retries and hedges.
struct run_as_idempotent
{};

/// Look the request up in the used table of a local incarnation: by token
/// sequence after the MAC has been verified, or by the nonce of the claim that
/// holds the key.
struct run_locally
{
    state::identifier incarnation;
    std::optional<state::claim> by_claim;
};

/// Forward the request to the only incarnation that may run it.
struct forward_to
{
    state::identifier incarnation;
    std::optional<state::claim> by_claim;
};

/// Reserve a nonce, submit a claim for it, then call resolve_claim().
struct claim_key_first
{};

/// Answer 428, not-run, with a new token.
struct offer_token
{};

/// Run with exactly one attempt.
struct single_attempt
{};

/// Answer without running.
struct refuse_request
{
    state::reply_reason reason;
    state::run_outcome outcome;
};

using execution_decision =
    std::variant<run_as_idempotent, run_locally, forward_to, claim_key_first,
                 offer_token, single_attempt, refuse_request>;

execution_decision decide_execution(const execution_input& in);

/// The claim was won; the claimant runs the request.
struct run_after_claim
{};

using claimant_decision =
    std::variant<run_after_claim, run_locally, forward_to, refuse_request>;

/// Updates the claimant's reservation in its used table and decides the next
/// step. For run_after_claim the claimant calls try_start(), as any repeat
/// does.
claimant_decision resolve_claim(used_table& used,
                                const state::identifier& own_incarnation,
                                const state::identifier& nonce,
                                const claim_answer& answer);

/// Reply for a request that was forwarded without a complete answer. Even when
/// nothing was written to the owner, an earlier attempt may have reached it, so
/// the outcome is never not-run.
inline refuse_request forward_failed(bool incarnation_gone)
{
    const auto reason = incarnation_gone
                            ? state::reply_reason::incarnation_gone
                            : state::reply_reason::owner_unreachable;
    return {reason, state::reply_of(reason).outcome};
}

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::field_presence>
{
    static constexpr std::array<std::string_view, 3> value{"absent", "present",
                                                           "malformed"};
};

} // namespace oriolegrade::state

#endif
