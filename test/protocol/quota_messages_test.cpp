// Guards against quota messages that change on the way, terms that grow, and a
// crash or a partial result for hostile bytes.

#include <oriolegrade/protocol/quota_messages.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <string>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

state::quota_ask sample_ask()
{
    return {"w", 7, 5, true, 12.5, 3, 0.25, false};
}

state::quota_grant sample_grant()
{
    return {"w", 7, {10, 5.5, 2.25}, 1600ms, {200, 50}, 300ms};
}

bool is_refused(const state::quota_ask& it)
{
    return !protocol::decode_quota_owner_frame(
        protocol::encode_quota_owner_frame(it));
}

bool is_refused(const state::quota_grant& it)
{
    return !protocol::decode_quota_host_frame(
        protocol::encode_quota_host_frame(it));
}

TEST(quota_messages, ask_keeps_its_fields)
{
    const auto got = protocol::decode_quota_owner_frame(
        protocol::encode_quota_owner_frame(sample_ask()));
    ASSERT_TRUE(got);
    const auto& it = std::get<state::quota_ask>(got.value());
    EXPECT_EQ(it.workspace, "w");
    EXPECT_EQ(it.number, 7);
    EXPECT_EQ(it.applied, 5);
    EXPECT_TRUE(it.holds);
    EXPECT_EQ(it.need_per_s, 12.5);
    EXPECT_EQ(it.waiting, 3);
    EXPECT_EQ(it.level, 0.25);
    EXPECT_FALSE(it.gives_back);
}

TEST(quota_messages, delegation_keeps_its_fields)
{
    const auto got = protocol::decode_quota_owner_frame(
        protocol::encode_quota_owner_frame(state::quota_delegation{
            3, 9, state::quota_answer::held_elsewhere, 0.125, 1500ms, 20ms}));
    ASSERT_TRUE(got);
    const auto& it = std::get<state::quota_delegation>(got.value());
    EXPECT_EQ(it.shard, 3);
    EXPECT_EQ(it.number, 9);
    EXPECT_EQ(it.answer, state::quota_answer::held_elsewhere);
    EXPECT_EQ(it.fraction, 0.125);
    EXPECT_EQ(it.age, 1500ms);
    EXPECT_EQ(it.free_in, 20ms);
}

TEST(quota_messages, grant_keeps_its_fields)
{
    const auto got = protocol::decode_quota_host_frame(
        protocol::encode_quota_host_frame(sample_grant()));
    ASSERT_TRUE(got);
    const auto& it = std::get<state::quota_grant>(got.value());
    EXPECT_EQ(it.workspace, "w");
    EXPECT_EQ(it.number, 7);
    EXPECT_EQ(it.slice.rate_per_s, 10);
    EXPECT_EQ(it.slice.cap, 5.5);
    EXPECT_EQ(it.slice.level, 2.25);
    EXPECT_EQ(it.term, 1600ms);
    EXPECT_EQ(it.basis, (state::quota_limit{200, 50}));
    EXPECT_EQ(it.retry_after, 300ms);
}

TEST(quota_messages, request_keeps_its_fields_and_no_term_grows)
{
    const auto got =
        protocol::decode_quota_host_frame(protocol::encode_quota_host_frame(
            state::quota_delegation_request{2, 4, 3s + 999ns, 24h * 365}));
    ASSERT_TRUE(got);
    const auto& it = std::get<state::quota_delegation_request>(got.value());
    EXPECT_EQ(it.shard, 2);
    EXPECT_EQ(it.number, 4);
    EXPECT_EQ(it.term, 3s);
    EXPECT_EQ(it.age, 24h * 30);
}

TEST(quota_messages, values_out_of_range_are_taken)
{
    constexpr auto nan = std::numeric_limits<double>::quiet_NaN();
    constexpr auto infinite = std::numeric_limits<double>::infinity();
    for (const double bad : {nan, infinite, -1.0, 1e13}) {
        auto ask = sample_ask();
        ask.level = bad;
        EXPECT_TRUE(is_refused(ask));
        ask = sample_ask();
        ask.need_per_s = bad;
        EXPECT_TRUE(is_refused(ask));
        auto grant = sample_grant();
        grant.slice.level = bad;
        EXPECT_TRUE(is_refused(grant));
        grant = sample_grant();
        grant.basis.burst = bad;
        EXPECT_TRUE(is_refused(grant));
    }
    auto ask = sample_ask();
    ask.applied = ask.number;
    EXPECT_TRUE(is_refused(ask));
    ask = sample_ask();
    ask.workspace.clear();
    EXPECT_TRUE(is_refused(ask));
    EXPECT_FALSE(protocol::decode_quota_owner_frame(""));
    EXPECT_FALSE(protocol::decode_quota_host_frame(""));
}

RC_GTEST_PROP(quota_messages, hostile_bytes_crash_the_decoder,
              (const std::string& bytes))
{
    const auto owner = protocol::decode_quota_owner_frame(bytes);
    const auto host = protocol::decode_quota_host_frame(bytes);
    RC_ASSERT(owner || !owner.error().empty());
    RC_ASSERT(host || !host.error().empty());
}

} // namespace
