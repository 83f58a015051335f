// Guards against hosts that boot, follow or push wrongly when the log or
// other hosts fail.

#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/transport/agent_snapshots.hpp>
#include <oriolegrade/transport/message_frame.hpp>

#include <fakes/agent_group.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::fakes;
using namespace std::chrono_literals;

/// A reader of the log as other hosts see it.
struct pushing_reader
{
    pushing_reader(const state::endpoint& peer, const std::string& key)
        : client(test::fiber_context(), peer, key, {})
        , stream(std::move(client.open(transport::push_path, {}, 10s).value()))
    {}
    ~pushing_reader()
    {
        stream.cancel();
        client.stop();
    }

    void push(const state::record_batch& batch)
    {
        (void)transport::write_message(stream,
                                       protocol::encode_record_batch(batch));
    }

    transport::stream_client client;
    transport::client_stream stream;
};

std::uint64_t offset_of(transport::agent& it)
{
    return it.configuration().current()->next_offset();
}

/// Starts a host that other hosts read for, and waits until it is ready and no
/// read of its own, which could bring any record, is in progress.
transport::agent& start_without_reading(agent_group& group)
{
    auto settings = group.settings(1, "dc1");
    // Nobody is elected, however often the members change.
    settings.log_readers = 0;
    auto& it = group.start(settings);
    EXPECT_TRUE(eventually([&] {
        return it.configuration().ready() && !it.configuration().is_reader();
    }));
    // A read that has just begun reaches the platform meanwhile.
    boost::this_fiber::sleep_for(50ms);
    EXPECT_TRUE(eventually(
        [&] { return group.platform().configuration_reads_in_progress == 0; }));
    return it;
}

state::record_batch batch_of(std::uint64_t first, const state::record& rec)
{
    return {first, first + 1, {{first, protocol::encode_record(rec)}}};
}

// Guards against a host that boots into a stale configuration because one
// stale peer answered, and against one that is ready before it has any.
TEST(agent_configuration, boots_without_the_log_past_a_stale_peer)
{
    agent_group group;
    const auto first = workspace("a", 0);
    group.put(first);
    group.put(workspace("b", 0));
    // The stale host follows a log that lost its end.
    auto settings = group.settings(1, "dc3");
    settings.platform = group.at(8, 9000);
    auto& short_log = group.start_platform(settings.platform);
    short_log.store.append("configuration", protocol::encode_record(first));
    auto& stale = group.start(settings);
    ASSERT_TRUE(eventually([&] { return stale.configuration().ready(); }));
    const std::vector<state::endpoint> only_stale{settings.gossip_listen};
    auto& two = group.start(2, "dc2");
    auto& three = group.start(3, "dc1");
    ASSERT_TRUE(eventually([&] {
        return two.configuration().ready() && three.configuration().ready() &&
               stale.membership().members().live().size() == 3;
    }));
    group.platform().log_down = true;
    settings = group.settings(4, "dc2");
    settings.peers = only_stale;
    auto& late = group.start(settings);
    EXPECT_FALSE(late.configuration().ready());
    ASSERT_TRUE(eventually([&] { return late.configuration().ready(); }));
    EXPECT_EQ(offset_of(stale), 1U);
    EXPECT_EQ(offset_of(late), 2U);
    // Once the log answers, the host goes on from the snapshot.
    group.platform().log_down = false;
    group.put(workspace("c", 0));
    EXPECT_TRUE(eventually([&] { return offset_of(late) == 3; }));
}

// Guards against a host that is ready with nothing, while the log and all
// other hosts are unavailable.
TEST(agent_configuration, is_not_ready_without_log_and_peers)
{
    agent_group group;
    group.put(workspace("a", 0));
    group.platform().log_down = true;
    auto& one = group.start(1, "dc1");
    boost::this_fiber::sleep_for(1s);
    EXPECT_FALSE(one.configuration().ready());
    group.platform().log_down = false;
    EXPECT_TRUE(eventually([&] { return one.configuration().ready(); }));
}

// Guards against every host reading the log, and against pushed changes that
// do not arrive.
TEST(agent_configuration, a_pushed_change_reaches_a_host_that_does_not_read)
{
    agent_group group;
    auto& one = group.start(1, "dc1");
    auto& two = group.start(2, "dc1");
    const auto readers = [&] {
        return (one.configuration().is_reader() ? 1 : 0) +
               (two.configuration().is_reader() ? 1 : 0);
    };
    ASSERT_TRUE(eventually([&] { return readers() == 1; }));
    auto& follower = one.configuration().is_reader() ? two : one;
    ASSERT_TRUE(eventually(
        [&] { return follower.push().traffic().received_bytes > 0; }));
    // The end of a read that the follower began before it was pushed to.
    boost::this_fiber::sleep_for(2s);
    const auto before = group.platform().configuration_reads;
    const auto begin = std::chrono::steady_clock::now();
    group.put(workspace("a", 0));
    EXPECT_TRUE(eventually([&] { return offset_of(follower) == 1; }, 300ms));
    boost::this_fiber::sleep_for(2s);
    const auto seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
    // One reader waits at least 400 ms in each read but one.
    EXPECT_LE(group.platform().configuration_reads - before, seconds / 0.4 + 2);
}

// Guards against a batch applied past missing records, and against a host
// that waits for them in vain.
TEST(agent_configuration, a_gap_makes_the_host_read)
{
    agent_group group;
    auto& one = start_without_reading(group);
    pushing_reader reader(group.at(1, 7001), std::string(group_key));
    reader.push(batch_of(0, workspace("pushed", 0)));
    ASSERT_TRUE(eventually([&] { return offset_of(one) == 1; }));
    // The log holds two more records; the push of the first of them is lost.
    group.put(workspace("pushed", 0));
    group.put(workspace("missed", 0));
    const auto last = workspace("last", 0);
    group.put(last);
    reader.push(batch_of(2, last));
    // Confirmations of the old offset keep the host from reading because of
    // silence, so that only the gap can make it read.
    EXPECT_TRUE(eventually([&] {
        reader.push({1, 1, {}});
        return offset_of(one) == 3;
    }));
    EXPECT_EQ(one.push().traffic().gaps, 1U);
    const auto& conf = *one.configuration().current();
    EXPECT_TRUE(conf.find({state::record_kind::workspace, "missed", 1}));
}

// Guards against a host that stays behind when its readers fall silent.
TEST(agent_configuration, silence_makes_the_host_read)
{
    agent_group group;
    auto& one = start_without_reading(group);
    boost::this_fiber::sleep_for(500ms);
    group.put(workspace("a", 0));
    // Silence of 1 s, within the 4 s in which a change is in force.
    EXPECT_TRUE(eventually([&] { return offset_of(one) == 1; }, 4s));
}

// Guards against strangers that push records or read the configuration.
TEST(agent_configuration, wrong_fleet_key_is_refused)
{
    agent_group group;
    auto& one = start_without_reading(group);
    const std::string wrong = "another-key-of-16-bytes";
    transport::stream_client client(test::fiber_context(), group.at(1, 7001),
                                    wrong, {});
    for (const auto path :
         {transport::snapshot_path, transport::snapshot_offer_path}) {
        const auto reply = client.call(path, {}, "", 5s);
        ASSERT_TRUE(reply.has_value());
        EXPECT_EQ(reply.value().status, 403U);
        EXPECT_TRUE(reply.value().body.empty());
    }
    client.stop();
    pushing_reader stranger(group.at(1, 7001), wrong);
    stranger.push(batch_of(0, workspace("forged", 0)));
    boost::this_fiber::sleep_for(200ms);
    EXPECT_EQ(offset_of(one), 0U);
}

// Guards against a configuration that expires from the log: a snapshot must
// be in it before a third of the retention and its wait have passed.
TEST(agent_configuration, writes_a_snapshot_before_records_expire)
{
    agent_group group;
    group.put(workspace("a", 0));
    auto settings = group.settings(1, "dc1");
    settings.retention = 6s;
    group.start(settings);
    auto& snapshots = group.platform().store.streams["snapshots"].records;
    ASSERT_TRUE(eventually([&] { return !snapshots.empty(); }, 4s));
    // A host that finds the log trimmed boots from it.
    group.platform().store.trim("configuration", 1);
    auto& late = group.start(2, "dc1");
    EXPECT_TRUE(eventually([&] { return late.configuration().ready(); }));
    EXPECT_EQ(offset_of(late), 1U);
}

} // namespace
