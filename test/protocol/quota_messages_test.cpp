// Guards against quota messages that are read as something else, and against
// amounts that would raise a limit: negative, endless or no number.

#include <oriolegrade/protocol/quota_messages.hpp>

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

state::quota_grant sample_grant()
{
    return {"shop", 7, {2.5, 3, 1.5}, 1600ms, {100, 20}, 40ms};
}

TEST(quota_messages, an_ask_loses_a_field)
{
    const protocol::quota_ask_call in{
        "host-1/ab", {"shop", 7, 6, true, 12.5, 3, 0.25, true}};
    const auto out = protocol::decode_quota_ask(protocol::encode(in));
    ASSERT_TRUE(out);
    EXPECT_EQ(out.value().host, in.host);
    const auto& ask = out.value().ask;
    EXPECT_EQ(ask.workspace, "shop");
    EXPECT_EQ(ask.number, 7U);
    EXPECT_EQ(ask.applied, 6U);
    EXPECT_TRUE(ask.holds);
    EXPECT_EQ(ask.need_per_s, 12.5);
    EXPECT_EQ(ask.waiting, 3U);
    EXPECT_EQ(ask.level, 0.25);
    EXPECT_TRUE(ask.gives_back);
}

TEST(quota_messages, a_grant_loses_a_field)
{
    const auto in = sample_grant();
    const auto out = protocol::decode_quota_grant(protocol::encode(in));
    ASSERT_TRUE(out);
    const auto& it = out.value();
    EXPECT_EQ(it.workspace, in.workspace);
    EXPECT_EQ(it.number, in.number);
    EXPECT_EQ(it.slice.rate_per_s, in.slice.rate_per_s);
    EXPECT_EQ(it.slice.cap, in.slice.cap);
    EXPECT_EQ(it.slice.level, in.slice.level);
    EXPECT_EQ(it.term, in.term);
    EXPECT_EQ(it.basis, in.basis);
    EXPECT_EQ(it.retry_after, in.retry_after);
}

TEST(quota_messages, a_delegation_loses_a_field)
{
    const protocol::quota_delegation_call call{"host-2/cd",
                                               {5, 9, 3000ms, {}, 41, true}};
    const auto asked =
        protocol::decode_quota_delegation_call(protocol::encode(call));
    ASSERT_TRUE(asked);
    EXPECT_EQ(asked.value().owner, call.owner);
    EXPECT_EQ(asked.value().request.shard, 5U);
    EXPECT_EQ(asked.value().request.number, 9U);
    EXPECT_EQ(asked.value().request.term, 3s);
    EXPECT_EQ(asked.value().request.hosts, 41U);
    EXPECT_TRUE(asked.value().request.accepts_early);
    // A share is returned with the time for which it has gained tokens.
    const auto returned = protocol::decode_quota_delegation_call(
        protocol::encode(protocol::quota_delegation_call{
            "host-2/cd", {5, 10, {}, 7s, 0, false}}));
    ASSERT_TRUE(returned);
    EXPECT_EQ(returned.value().request.term, 0s);
    EXPECT_EQ(returned.value().request.age, 7s);
    const state::quota_delegation answer{
        5,    9,        state::quota_answer::held_elsewhere,
        0.25, 1500ms,   20ms,
        true, "host/1", 41};
    const auto out =
        protocol::decode_quota_delegation(protocol::encode(answer));
    ASSERT_TRUE(out);
    EXPECT_EQ(out.value().answer, answer.answer);
    EXPECT_EQ(out.value().fraction, answer.fraction);
    EXPECT_EQ(out.value().age, answer.age);
    EXPECT_EQ(out.value().free_in, answer.free_in);
    EXPECT_EQ(out.value().early, answer.early);
    EXPECT_EQ(out.value().holder, answer.holder);
    EXPECT_EQ(out.value().hosts, answer.hosts);
}

TEST(quota_messages, an_amount_that_is_no_amount_is_taken)
{
    for (const double it : {-1.0, std::numeric_limits<double>::infinity(),
                            std::numeric_limits<double>::quiet_NaN()}) {
        auto grant = sample_grant();
        grant.slice.rate_per_s = it;
        EXPECT_FALSE(protocol::decode_quota_grant(protocol::encode(grant)));
        EXPECT_FALSE(protocol::decode_quota_ask(
            protocol::encode(protocol::quota_ask_call{
                "h", {"shop", 1, 0, false, it, 0, 0, false}})));
    }
    EXPECT_FALSE(protocol::decode_quota_delegation(
        protocol::encode(state::quota_delegation{
            0, 1, state::quota_answer::given, 1.5, {}, {}, false, {}, 0})));
}

TEST(quota_messages, bytes_of_another_message_are_taken)
{
    EXPECT_FALSE(protocol::decode_quota_ask(""));
    EXPECT_FALSE(protocol::decode_quota_grant("\xff\xff"));
    EXPECT_FALSE(protocol::decode_quota_delegation_call(
        std::string(protocol::max_quota_message_bytes + 1, 'x')));
}

} // namespace
