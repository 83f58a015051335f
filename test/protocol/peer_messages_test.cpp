// Guards against a peer directory that is lost or half read on its way.

#include <oriolegrade/protocol/peer_messages.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;

TEST(peer_messages, round_trip_and_refusals)
{
    const std::vector<state::peer_entry> peers{
        {"a", "dc1", {0x0a000001, 8081}, {{1, 2}, {3, 4}}, false},
        {"b", "dc2", {0x0a000002, 8081}, {}, true}};
    EXPECT_EQ(protocol::decode_peer_update(protocol::encode_peer_update(peers))
                  .value(),
              peers);
    auto bad = peers;
    bad[0].forward.port = 0;
    bad[1].name = "";
    const auto refused =
        protocol::decode_peer_update(protocol::encode_peer_update(bad));
    ASSERT_FALSE(refused);
    ASSERT_EQ(refused.error().items().size(), 2U);
    EXPECT_EQ(refused.error().items()[0].place, "/peers/0/forward");
    EXPECT_EQ(refused.error().items()[1].place, "/peers/1/name");
    EXPECT_FALSE(protocol::decode_peer_update("\xff\xff"));
}

} // namespace
