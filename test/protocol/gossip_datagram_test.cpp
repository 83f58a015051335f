// Guards against gossip that changes on the way or comes from strangers.

#include <oriolegrade/protocol/gossip_datagram.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

constexpr std::string_view key = "0123456789abcdef";

state::gossip_message make_message()
{
    state::gossip_message m;
    m.kind = state::gossip_kind::ping_request;
    m.sequence = 77;
    m.target = {0x0a000003, 7001};
    m.sender = {"h1",
                "dc1",
                {0x0a000001, 1},
                {0x0a000001, 2},
                {0x0a000001, 3},
                5,
                state::member_state::alive,
                true,
                1000};
    m.members = {m.sender};
    m.members[0].name = "h2";
    m.members[0].state = state::member_state::suspect;
    m.progress = {{11, 1000}, {12, 3}, {13, 2000}};
    m.wanted = {21, 22};
    return m;
}

// Guards against members or offsets that arrive as others.
TEST(gossip_datagram, round_trip_is_exact)
{
    const auto m = make_message();
    const auto again =
        protocol::decode_gossip(protocol::encode_gossip(m, key), key);
    ASSERT_TRUE(again.has_value()) << again.error().to_text("datagram");
    EXPECT_EQ(again.value(), m);
}

// Guards against strangers and damage, and against a claim that no host could
// refute.
TEST(gossip_datagram, strangers_damage_and_impossible_claims_are_refused)
{
    auto m = make_message();
    const auto bytes = protocol::encode_gossip(m, key);
    EXPECT_FALSE(
        protocol::decode_gossip(bytes, "fedcba9876543210").has_value());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        auto damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 1);
        EXPECT_FALSE(protocol::decode_gossip(damaged, key).has_value());
    }
    m.members[0].incarnation = ~std::uint64_t{0};
    const auto bad =
        protocol::decode_gossip(protocol::encode_gossip(m, key), key);
    ASSERT_FALSE(bad.has_value());
    EXPECT_EQ(bad.error().items()[0].place, "/members/0/incarnation");
}

} // namespace
