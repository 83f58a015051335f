// Guards against agents that do not find each other, or whose entries do not
// learn where incarnations are held.

#include <oriolegrade/protocol/peer_messages.hpp>
#include <oriolegrade/transport/entry_peers.hpp>
#include <oriolegrade/transport/message_frame.hpp>

#include <fakes/agent_group.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::fakes;
using namespace std::chrono_literals;

/// Entry that follows the list of hosts.
struct peer_reader
{
    peer_reader(const state::endpoint& agent, std::string key)
        : client(test::fiber_context(), agent, std::move(key), {})
    {}
    ~peer_reader()
    {
        stream.reset();
        client.stop();
    }

    unsigned open(const std::vector<state::identifier>& incarnations)
    {
        auto opened = client.open(transport::peers_path, {}, 10s);
        stream.emplace(std::move(opened.value()));
        const auto request = protocol::encode_peer_request(incarnations);
        (void)stream->write_all(boost::asio::buffer(request));
        stream->finish();
        const auto status = stream->status();
        return status ? status.value() : 0;
    }
    std::vector<state::peer_entry> next()
    {
        const auto bytes =
            transport::read_message(*stream, protocol::max_peer_message_bytes);
        if (!bytes || !bytes.value()) {
            return {};
        }
        return protocol::decode_peer_update(*bytes.value()).value();
    }

    transport::stream_client client;
    std::optional<transport::client_stream> stream;
};

// Guards against tokens that no other host can forward: the incarnations of
// an entry, and a change of them, must reach the entries of other hosts.
TEST(agent_membership, entries_learn_the_incarnations_of_others)
{
    agent_group group;
    group.start(1, "dc1");
    group.start(2, "dc2");
    const state::identifier first{1, 1};
    const state::identifier second{2, 2};
    peer_reader one(group.at(1, 7000), std::string(group_key));
    peer_reader two(group.at(2, 7000), std::string(group_key));
    ASSERT_EQ(one.open({first}), 200U);
    ASSERT_EQ(two.open({second}), 200U);
    const auto wait_for = [&](const state::identifier& wanted) {
        for (;;) {
            const auto peers = two.next();
            if (peers.empty()) {
                return false;
            }
            const state::peer_directory directory(peers);
            const auto* it = directory.find_incarnation(wanted);
            if (it && directory.find_incarnation(second)) {
                return it->name == "host-1" && it->data_centre == "dc1" &&
                       it->forward == group.at(1, 8081);
            }
        }
    };
    EXPECT_TRUE(wait_for(first));
    const state::identifier later{3, 3};
    peer_reader again(group.at(1, 7000), std::string(group_key));
    ASSERT_EQ(again.open({later, first}), 200U);
    EXPECT_TRUE(wait_for(later));
}

// Guards against a stopping host that still gets work, since only the
// platform's late list says that it leaves.
TEST(agent_membership, leaving_is_heard_within_two_seconds)
{
    agent_group group;
    auto& one = group.start(1, "dc1");
    auto& two = group.start(2, "dc1");
    const auto live = [&] {
        return two.membership().members().live().size();
    };
    ASSERT_TRUE(eventually([&] { return live() == 2; }));
    one.membership().leave();
    EXPECT_TRUE(eventually([&] { return live() == 1; }, 2s));
}

// Guards against connections from addresses of no host, which would reach the
// check of the key.
TEST(agent_membership, only_addresses_of_hosts_are_admitted)
{
    agent_group group;
    constexpr std::uint32_t listed = 0x0a000005;
    group.platform().hosts.hosts = {
        {"host-9", {listed, 7001}, "dc1", state::host_state::live}};
    auto& one = group.start(1, "dc1");
    EXPECT_TRUE(eventually([&] { return one.membership().admits(listed); }));
    EXPECT_FALSE(one.membership().admits(listed + 1));
}

// Guards against strangers that read the list of hosts or announce
// incarnations.
TEST(agent_membership, wrong_fleet_key_is_refused)
{
    agent_group group;
    auto& one = group.start(1, "dc1");
    peer_reader stranger(group.at(1, 7000), "another-key-of-16-bytes");
    EXPECT_EQ(stranger.open({{9, 9}}), 403U);
    EXPECT_TRUE(one.membership().members().self().incarnations.empty());
}

} // namespace
