// The way a request goes, from its route, its headers and the state of the
// host.

#ifndef ORIOLEGRADE_COORDINATION_REQUEST_GATE_HPP
#define ORIOLEGRADE_COORDINATION_REQUEST_GATE_HPP

#include <oriolegrade/coordination/claim_writer.hpp>
#include <oriolegrade/coordination/used_table.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/request_class.hpp>
#include <oriolegrade/state/token.hpp>

#include <optional>
#include <variant>

namespace oriolegrade::coordination {

enum class gate_field : std::uint8_t
{
    absent,
    present,
    malformed,
};

struct gate_input
{
    state::request_class request_class = state::request_class::idempotent;
    /// The route allows one attempt without token and key.
    bool allow_unkeyed = false;
    gate_field token_field = gate_field::absent;
    /// Incarnation of the token, when present.
    state::identifier token_incarnation;
    /// This process owns or has imported the token's incarnation.
    bool token_is_held = false;
    gate_field key_field = gate_field::absent;
    /// Claim known to hold the key, from the partition's table.
    std::optional<state::claim> key_holder;
    bool holder_is_held = false;
    bool log_available = true;
    bool shutting_down = false;
};

/// Retries and hedges are allowed.
struct run_as_idempotent
{};

/// Ask the used table of a held incarnation: by token sequence after the MAC
/// verifies, or by the nonce of the claim that holds the key.
struct run_locally
{
    state::identifier incarnation;
    std::optional<state::claim> by_claim;
};

/// Send the request to the incarnation that alone may run it.
struct forward_to
{
    state::identifier incarnation;
    std::optional<state::claim> by_claim;
};

/// Reserve a nonce, have it claimed, then follow claimant_step().
struct claim_key_first
{};

/// Answer 428, not-run, with a fresh token.
struct offer_token
{};

/// One attempt and never a second.
struct single_attempt
{};

/// Answer without running.
struct refuse_request
{
    state::reply_reason reason;
    state::run_outcome outcome;
};

using gate_decision =
    std::variant<run_as_idempotent, run_locally, forward_to, claim_key_first,
                 offer_token, single_attempt, refuse_request>;

gate_decision decide_way(const gate_input& in);

/// What a claimant does with the answer to its claim.
struct run_after_claim
{};

using claimant_decision =
    std::variant<run_after_claim, run_locally, forward_to, refuse_request>;

/// Settles the claimant's reservation in its used table and says how to go
/// on. For run_after_claim the claimant calls try_start() like any repeat.
claimant_decision claimant_step(used_table& used,
                                const state::identifier& own_incarnation,
                                const state::identifier& nonce,
                                const claim_answer& answer);

/// Answer to a caller whose request was forwarded without a complete reply.
/// Even when nothing was written to the owner, an earlier attempt may have
/// reached it, so the outcome is never not-run.
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
struct enum_names<coordination::gate_field>
{
    static constexpr std::array<std::string_view, 3> value{"absent", "present",
                                                           "malformed"};
};

} // namespace oriolegrade::state

#endif
