// Reasons for responses that the host generates itself, with the status,
// outcome and text of each.

#ifndef ORIOLEGRADE_STATE_REPLY_REASON_HPP
#define ORIOLEGRADE_STATE_REPLY_REASON_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/run_outcome.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::state {

enum class reply_reason : std::uint8_t
{
    no_route,
    too_large,
    limit,
    token_needed,
    shed,
    bad_request,
    headers_too_large,
    binding_conflict,
    table_full,
    shutting_down,
    given_up,
    connection_lost,
    deadline,
    incarnation_gone,
    token_expired,
    handed_over,
    claim_unavailable,
    claim_unresolved,
    owner_unreachable,
    answer_not_kept,
    no_service,
    no_upstream,
    not_ready,
    deadline_not_run,
    internal_error,
    internal_error_not_run,
    not_forwarded,
    target_too_long,
    unknown_key,
    no_memory,
    rules_outdated,
};

template <>
struct enum_names<reply_reason>
{
    static constexpr std::array<std::string_view, 31> value{
        "no_route",
        "too_large",
        "limit",
        "token_needed",
        "shed",
        "bad_request",
        "headers_too_large",
        "binding_conflict",
        "table_full",
        "shutting_down",
        "given_up",
        "connection_lost",
        "deadline",
        "incarnation_gone",
        "token_expired",
        "handed_over",
        "claim_unavailable",
        "claim_unresolved",
        "owner_unreachable",
        "answer_not_kept",
        "no_service",
        "no_upstream",
        "not_ready",
        "deadline_not_run",
        "internal_error",
        "internal_error_not_run",
        "not_forwarded",
        "target_too_long",
        "unknown_key",
        "no_memory",
        "rules_outdated",
    };
};

struct reply_row
{
    std::uint16_t status;
    run_outcome outcome;
    std::string_view text;
};

inline constexpr std::array<reply_row, 31> reply_table{{
    {404, run_outcome::not_run, "no route matches"},
    {413, run_outcome::not_run, "request body exceeds the route's limit"},
    {429, run_outcome::not_run, "rate or concurrency limit reached"},
    {428, run_outcome::not_run, "repeat with the token of this response"},
    {503, run_outcome::not_run, "no upstream accepts the request"},
    {400, run_outcome::not_run, "malformed request"},
    {431, run_outcome::not_run, "request headers exceed the limit"},
    {409, run_outcome::not_run, "token or key belongs to another request"},
    {503, run_outcome::not_run, "too many outstanding requests"},
    {503, run_outcome::not_run, "host is shutting down"},
    {503, run_outcome::not_run, "earlier attempt ended without running"},
    {502, run_outcome::unknown, "connection lost after bytes were written"},
    {504, run_outcome::unknown, "deadline passed after bytes were written"},
    {410, run_outcome::unknown, "the token's process no longer exists"},
    {410, run_outcome::unknown, "token or key expired"},
    {503, run_outcome::unknown, "token moved to another process; repeat"},
    {503, run_outcome::unknown, "keys cannot be claimed now; repeat"},
    {503, run_outcome::unknown, "claim of the key unresolved; repeat"},
    {502, run_outcome::unknown, "owner of the request not reachable; repeat"},
    {410, run_outcome::ran, "request ran; its answer is no longer kept"},
    {404, run_outcome::not_run, "service has no such schema version"},
    {503, run_outcome::not_run, "no upstream is available"},
    {503, run_outcome::not_run, "host has no configuration yet"},
    {504, run_outcome::not_run, "deadline passed before the request was sent"},
    {502, run_outcome::unknown, "internal error of the host"},
    {503, run_outcome::not_run, "internal error before the request was sent"},
    {501, run_outcome::not_run, "request may not be forwarded any further"},
    {414, run_outcome::not_run, "request target exceeds the limit"},
    {401, run_outcome::not_run, "the request needs a key that is known"},
    {503, run_outcome::not_run, "host has no memory for the request body"},
    {503, run_outcome::not_run, "host waits for a newer configuration"},
}};

static_assert(reply_table.size() == enum_size<reply_reason>);

constexpr const reply_row& reply_of(reply_reason reason)
{
    return reply_table[index_of(reason)];
}

/// Knowledge of this host about earlier attempts of the same request.
enum class attempt_history : std::uint8_t
{
    /// Neither token nor key: there was no earlier attempt.
    only_attempt,
    /// The owning incarnation decided; it never runs a request after it has
    /// answered not-run.
    owner_decided,
    /// The request has a token or key that another attempt may have used.
    earlier_attempts_possible,
};

template <>
struct enum_names<attempt_history>
{
    static constexpr std::array<std::string_view, 3> value{
        "only_attempt", "owner_decided", "earlier_attempts_possible"};
};

/// Outcome to report to the caller. Without a decision of the owner, a refusal
/// proves nothing about an earlier attempt that may have run, so `not_run`
/// becomes `unknown`. A binding conflict is exempt: this request differs from
/// the one that the token or key belongs to.
constexpr run_outcome reported_outcome(reply_reason reason,
                                       attempt_history history)
{
    const auto outcome = reply_of(reason).outcome;
    const bool not_run_proven =
        history != attempt_history::earlier_attempts_possible ||
        reason == reply_reason::binding_conflict;
    return outcome == run_outcome::not_run && !not_run_proven
               ? run_outcome::unknown
               : outcome;
}

} // namespace oriolegrade::state

#endif
