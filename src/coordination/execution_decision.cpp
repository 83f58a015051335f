// Decides in this order: request class, token, key, neither.

#include <oriolegrade/coordination/execution_decision.hpp>

namespace oriolegrade::coordination {

using state::attempt_history;
using state::reply_reason;

namespace {

refuse_request refuse(reply_reason reason, attempt_history history)
{
    return {reason, state::reported_outcome(reason, history)};
}

execution_decision run_at_owner(const state::identifier& incarnation,
                                bool is_local,
                                const std::optional<state::claim>& by_claim)
{
    if (is_local) {
        return run_locally{incarnation, by_claim};
    }
    return forward_to{incarnation, by_claim};
}

execution_decision decide_by_key(const execution_input& in)
{
    // A known holder is consulted even during shutdown and outages: no other
    // process knows the outcome of the request.
    if (in.key_holder) {
        return run_at_owner(in.key_holder->incarnation, in.holder_is_local,
                            in.key_holder);
    }
    if (in.shutting_down) {
        return refuse(reply_reason::shutting_down,
                      attempt_history::earlier_attempts_possible);
    }
    // While the log cannot be read, another host may have run the request of
    // the key, so the outcome is unknown: after not-run a caller could continue
    // with a token, and the request would run twice.
    if (!in.log_available) {
        return refuse(reply_reason::claim_unavailable,
                      attempt_history::earlier_attempts_possible);
    }
    return claim_key_first{};
}

} // namespace

execution_decision decide_execution(const execution_input& in)
{
    if (in.request_class != state::request_class::non_idempotent) {
        return run_as_idempotent{};
    }
    if (in.token_field == field_presence::malformed ||
        in.key_field == field_presence::malformed) {
        // A malformed field cannot identify an earlier attempt; a well-formed
        // second field can.
        const bool named = in.token_field == field_presence::present ||
                           in.key_field == field_presence::present;
        return refuse(reply_reason::bad_request,
                      named ? attempt_history::earlier_attempts_possible
                            : attempt_history::only_attempt);
    }
    if (in.token_field == field_presence::present) {
        return run_at_owner(in.token_incarnation, in.token_is_local,
                            std::nullopt);
    }
    if (in.key_field == field_presence::present) {
        return decide_by_key(in);
    }
    if (in.shutting_down) {
        return refuse(reply_reason::shutting_down,
                      attempt_history::only_attempt);
    }
    if (in.allow_unkeyed) {
        return single_attempt{};
    }
    return offer_token{};
}

claimant_decision resolve_claim(used_table& used,
                                const state::identifier& own_incarnation,
                                const state::identifier& nonce,
                                const claim_answer& answer)
{
    const state::request_id id{state::request_id_kind::claim, nonce};
    switch (answer.status) {
    case claim_status::won:
        return run_after_claim{};
    case claim_status::lost:
        // The reservation is dropped instead of given up: the winner may have
        // run the request, so this nonce must never prove not-run.
        used.drop_reservation(id);
        if (answer.winner.incarnation == own_incarnation) {
            return run_locally{own_incarnation, answer.winner};
        }
        return forward_to{answer.winner.incarnation, answer.winner};
    case claim_status::not_claimed:
        used.drop_reservation(id);
        return refuse(reply_reason::claim_unavailable,
                      attempt_history::earlier_attempts_possible);
    case claim_status::unresolved:
        break;
    }
    // A repeat that has read the won claim may already have started the nonce.
    if (!used.cancel_reservation(id)) {
        return run_after_claim{};
    }
    return refuse(reply_reason::claim_unresolved,
                  attempt_history::earlier_attempts_possible);
}

} // namespace oriolegrade::coordination
