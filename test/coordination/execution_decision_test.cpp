// Guards against a wrong execution decision for a non-idempotent request.

#include <oriolegrade/coordination/execution_decision.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::coordination;
using state::run_outcome;

execution_input non_idempotent()
{
    execution_input in;
    in.request_class = state::request_class::non_idempotent;
    return in;
}

template <class Decision>
bool decides(const execution_input& in)
{
    return std::holds_alternative<Decision>(decide_execution(in));
}

// Guards against executing a request without a valid token or key, and against
// more than one attempt for a request that has neither.
TEST(execution_decision, each_header_selects_its_decision)
{
    auto in = non_idempotent();
    EXPECT_TRUE(decides<offer_token>(in));
    in.allow_unkeyed = true;
    EXPECT_TRUE(decides<single_attempt>(in));
    in.key_field = field_presence::present;
    EXPECT_TRUE(decides<claim_key_first>(in));
    in.key_holder = state::claim{};
    EXPECT_TRUE(decides<forward_to>(in));
    in.holder_is_local = true;
    EXPECT_TRUE(decides<run_locally>(in));
    in.token_field = field_presence::present;
    EXPECT_TRUE(decides<forward_to>(in));
    in.token_field = field_presence::malformed;
    EXPECT_TRUE(decides<refuse_request>(in));
    EXPECT_TRUE(decides<run_as_idempotent>({}));
}

// Guards against a not-run reply for a key that another host may have run.
TEST(execution_decision, unproven_refusals_are_unknown)
{
    auto in = non_idempotent();
    in.key_field = field_presence::present;
    in.log_available = false;
    EXPECT_EQ(std::get<refuse_request>(decide_execution(in)).outcome,
              run_outcome::unknown);
    in.shutting_down = true;
    EXPECT_EQ(std::get<refuse_request>(decide_execution(in)).outcome,
              run_outcome::unknown);
    in.key_field = field_presence::absent;
    EXPECT_EQ(std::get<refuse_request>(decide_execution(in)).outcome,
              run_outcome::not_run);
    EXPECT_EQ(forward_failed(false).outcome, run_outcome::unknown);
}

// Guards against a lost claim that is taken as proof that the request of the
// key was not run.
TEST(execution_decision, lost_claim_proves_nothing)
{
    used_table used;
    const state::request_id id{state::request_id_kind::claim, {2, 1}};
    ASSERT_TRUE(used.reserve(id, {3, 3}, 1000, 0));
    const claim_answer lost{claim_status::lost, {{}, {7, 7}, {8, 8}, 0}};
    const auto decision = resolve_claim(used, {1, 1}, id.value, lost);
    EXPECT_EQ(std::get<forward_to>(decision).incarnation,
              (state::identifier{7, 7}));
    const auto asked = used.try_start(id, {3, 3}, 0, 0, {});
    EXPECT_EQ(std::get<start_refused>(asked).outcome, run_outcome::unknown);
}

} // namespace
