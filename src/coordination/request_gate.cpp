// Decision order: class, token, key, neither.

#include <oriolegrade/coordination/request_gate.hpp>

namespace oriolegrade::coordination {

using state::attempt_knowledge;
using state::reply_reason;

namespace {

refuse_request refuse(reply_reason reason, attempt_knowledge known)
{
    return {reason, state::told_outcome(reason, known)};
}

gate_decision to_owner(const state::identifier& incarnation, bool held,
                       const std::optional<state::claim>& by_claim)
{
    if (held) {
        return run_locally{incarnation, by_claim};
    }
    return forward_to{incarnation, by_claim};
}

gate_decision decide_by_key(const gate_input& in)
{
    // A known holder is asked even during shutdown and outages: only it can
    // say what became of the request.
    if (in.key_holder) {
        return to_owner(in.key_holder->incarnation, in.holder_is_held,
                        in.key_holder);
    }
    if (in.shutting_down) {
        return refuse(reply_reason::shutting_down,
                      attempt_knowledge::earlier_attempts_possible);
    }
    // While the log cannot be read, another host may have run the key. The
    // answer is therefore unknown: a caller that heard not-run could go on
    // with a token and have its request run a second time.
    if (!in.log_available) {
        return refuse(reply_reason::claim_unavailable,
                      attempt_knowledge::earlier_attempts_possible);
    }
    return claim_key_first{};
}

} // namespace

gate_decision decide_way(const gate_input& in)
{
    if (in.request_class != state::request_class::non_idempotent) {
        return run_as_idempotent{};
    }
    if (in.token_field == gate_field::malformed ||
        in.key_field == gate_field::malformed) {
        // Such a field names no earlier attempt: only the well-formed one
        // beside it can.
        const bool named = in.token_field == gate_field::present ||
                           in.key_field == gate_field::present;
        return refuse(reply_reason::bad_request,
                      named ? attempt_knowledge::earlier_attempts_possible
                            : attempt_knowledge::only_attempt);
    }
    if (in.token_field == gate_field::present) {
        return to_owner(in.token_incarnation, in.token_is_held, std::nullopt);
    }
    if (in.key_field == gate_field::present) {
        return decide_by_key(in);
    }
    if (in.shutting_down) {
        return refuse(reply_reason::shutting_down,
                      attempt_knowledge::only_attempt);
    }
    if (in.allow_unkeyed) {
        return single_attempt{};
    }
    return offer_token{};
}

claimant_decision claimant_step(used_table& used,
                                const state::identifier& own_incarnation,
                                const state::identifier& nonce,
                                const claim_answer& answer)
{
    const state::request_id id{state::request_id_kind::claim, nonce};
    switch (answer.status) {
    case claim_status::won:
        return run_after_claim{};
    case claim_status::lost:
        // Dropped, not given up: the winner may have run, so this nonce must
        // never be taken as a proof of not-run.
        used.drop_reservation(id);
        if (answer.winner.incarnation == own_incarnation) {
            return run_locally{own_incarnation, answer.winner};
        }
        return forward_to{answer.winner.incarnation, answer.winner};
    case claim_status::not_claimed:
        used.drop_reservation(id);
        return refuse(reply_reason::claim_unavailable,
                      attempt_knowledge::earlier_attempts_possible);
    case claim_status::unresolved:
        break;
    }
    // A repeat that read the win may have started the nonce already.
    if (!used.cancel_reservation(id)) {
        return run_after_claim{};
    }
    return refuse(reply_reason::claim_unresolved,
                  attempt_knowledge::earlier_attempts_possible);
}

} // namespace oriolegrade::coordination
