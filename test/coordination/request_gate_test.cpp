// Guards against a non-idempotent request that takes a way it must not.

#include <oriolegrade/coordination/request_gate.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::coordination;
using state::run_outcome;

gate_input non_idempotent()
{
    gate_input in;
    in.request_class = state::request_class::non_idempotent;
    return in;
}

template <class Way>
bool leads_to(const gate_input& in)
{
    return std::holds_alternative<Way>(decide_way(in));
}

// Guards against a run without a right, and retries of a request without one.
TEST(request_gate, each_header_has_its_way)
{
    auto in = non_idempotent();
    EXPECT_TRUE(leads_to<offer_token>(in));
    in.allow_unkeyed = true;
    EXPECT_TRUE(leads_to<single_attempt>(in));
    in.key_field = gate_field::present;
    EXPECT_TRUE(leads_to<claim_key_first>(in));
    in.key_holder = state::claim{};
    EXPECT_TRUE(leads_to<forward_to>(in));
    in.holder_is_held = true;
    EXPECT_TRUE(leads_to<run_locally>(in));
    in.token_field = gate_field::present;
    EXPECT_TRUE(leads_to<forward_to>(in));
    in.token_field = gate_field::malformed;
    EXPECT_TRUE(leads_to<refuse_request>(in));
    EXPECT_TRUE(leads_to<run_as_idempotent>({}));
}

// Guards against a not-run answer about a key that another host may have run.
TEST(request_gate, unproved_refusals_are_unknown)
{
    auto in = non_idempotent();
    in.key_field = gate_field::present;
    in.log_available = false;
    EXPECT_EQ(std::get<refuse_request>(decide_way(in)).outcome,
              run_outcome::unknown);
    in.shutting_down = true;
    EXPECT_EQ(std::get<refuse_request>(decide_way(in)).outcome,
              run_outcome::unknown);
    in.key_field = gate_field::absent;
    EXPECT_EQ(std::get<refuse_request>(decide_way(in)).outcome,
              run_outcome::not_run);
    EXPECT_EQ(forward_failed(false).outcome, run_outcome::unknown);
}

// Guards against a lost claim taken as proof that the key was not run.
TEST(request_gate, lost_claim_proves_nothing)
{
    used_table used;
    const state::request_id id{state::request_id_kind::claim, {2, 1}};
    ASSERT_TRUE(used.reserve(id, {3, 3}, 1000, 0));
    const claim_answer lost{claim_status::lost, {{}, {7, 7}, {8, 8}, 0}};
    const auto way = claimant_step(used, {1, 1}, id.value, lost);
    EXPECT_EQ(std::get<forward_to>(way).incarnation, (state::identifier{7, 7}));
    const auto asked = used.try_start(id, {3, 3}, 0, 0, {});
    EXPECT_EQ(std::get<start_refused>(asked).outcome, run_outcome::unknown);
}

} // namespace
