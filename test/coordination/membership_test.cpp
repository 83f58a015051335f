// Guards against live hosts considered dead, dead or leaving hosts considered
// live, and costs per host that grow with the fleet.

#include <oriolegrade/coordination/membership.hpp>

#include <fakes/fake_fleet.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using fakes::fake_fleet;

constexpr std::size_t fleet_size = 12;

// Guards against hosts that never discover each other, and against a message
// rate per host that grows with the number of members.
TEST(membership, listed_hosts_discover_each_other_at_constant_cost)
{
    for (const std::size_t size : {10U, 41U}) {
        fake_fleet fleet(size);
        fleet.run(30s);
        EXPECT_TRUE(fleet.agree(0, size, fake_fleet::names(0, size)));
        std::size_t before = 0;
        for (std::size_t n = 0; n < size; ++n) {
            before += fleet[n].sent;
        }
        fleet.run(100s);
        std::size_t after = 0;
        for (std::size_t n = 0; n < size; ++n) {
            after += fleet[n].sent;
        }
        // One ping and one ack for each host and period.
        EXPECT_LE(after - before, 2 * 100 * size);
    }
}

// Guards against a host that is considered dead because one other host cannot
// reach it in one direction.
TEST(membership, one_way_packet_loss_marks_no_host_dead)
{
    fake_fleet fleet(fleet_size);
    fleet.run(30s);
    fleet.drops = [](std::size_t from, std::size_t to) {
        return from == 0 && to == 1;
    };
    for (int n = 0; n < 60; ++n) {
        fleet.run(5s);
        EXPECT_TRUE(
            fleet.agree(0, fleet_size, fake_fleet::names(0, fleet_size)));
    }
}

// Guards against a host that receives nothing and declares all others dead.
TEST(membership, host_that_receives_nothing_detects_its_isolation)
{
    fake_fleet fleet(fleet_size);
    fleet.run(30s);
    fleet.drops = [](std::size_t, std::size_t to) {
        return to == 0;
    };
    for (int n = 0; n < 24; ++n) {
        fleet.run(5s);
        const auto live = fleet.live(5);
        const auto others = fake_fleet::names(1, fleet_size);
        EXPECT_TRUE(std::includes(live.begin(), live.end(), others.begin(),
                                  others.end()));
    }
    EXPECT_TRUE(fleet[0].members.is_isolated());
}

// Guards against sides of a network partition that never find each other
// again.
TEST(membership, partition_of_an_hour_heals)
{
    fake_fleet fleet(fleet_size);
    fleet.run(30s);
    fleet.drops = [](std::size_t from, std::size_t to) {
        return (from < fleet_size / 2) != (to < fleet_size / 2);
    };
    fleet.run(1h);
    EXPECT_TRUE(
        fleet.agree(0, fleet_size / 2, fake_fleet::names(0, fleet_size / 2)));
    EXPECT_TRUE(fleet.agree(fleet_size / 2, fleet_size,
                            fake_fleet::names(fleet_size / 2, fleet_size)));
    fleet.drops = [](std::size_t, std::size_t) {
        return false;
    };
    fleet.run(60s);
    EXPECT_TRUE(fleet.agree(0, fleet_size, fake_fleet::names(0, fleet_size)));
}

// Guards against requests sent to a dead or leaving host while the host list
// is stale.
TEST(membership, dead_and_leaving_hosts_are_detected_before_list_update)
{
    fake_fleet fleet(fleet_size);
    fleet.run(30s);
    fleet[0].stopped = true;
    fleet[1].members.leave();
    fleet.run(3s);
    for (std::size_t n = 2; n < fleet_size; ++n) {
        const auto live = fleet.live(n);
        EXPECT_EQ(std::count(live.begin(), live.end(), fake_fleet::name(1)), 0);
    }
    fleet.run(17s);
    fleet.publish_list();
    EXPECT_TRUE(fleet.agree(2, fleet_size, fake_fleet::names(2, fleet_size)));
    // The list may also be the first to show that a host is leaving.
    fleet.list().hosts[2].state = state::host_state::leaving;
    fleet.publish_list();
    EXPECT_TRUE(fleet.agree(3, fleet_size, fake_fleet::names(3, fleet_size)));
}

// Guards against a host that resumes after a pause and declares others dead
// because it received nothing meanwhile, or that stays dead itself.
TEST(membership, paused_host_rejoins_and_marks_no_host_dead)
{
    fake_fleet fleet(fleet_size);
    fleet.run(30s);
    fleet[0].paused = true;
    fleet.run(600s);
    EXPECT_TRUE(fleet.agree(1, fleet_size, fake_fleet::names(1, fleet_size)));
    fleet[0].paused = false;
    for (int n = 0; n < 30; ++n) {
        fleet.run(1s);
        const auto live = fleet.live(0);
        const auto others = fake_fleet::names(1, fleet_size);
        EXPECT_TRUE(std::includes(live.begin(), live.end(), others.begin(),
                                  others.end()));
    }
    EXPECT_TRUE(fleet.agree(0, fleet_size, fake_fleet::names(0, fleet_size)));
}

// Guards against a change that appears unapplied on hosts that have applied
// it.
TEST(membership, applied_offsets_reach_every_host)
{
    fake_fleet fleet(41);
    fleet.run(30s);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        fleet[n].members.set_next_offset(n == 7 ? 9 : 10);
    }
    fleet.run(10s);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        for (const auto& it : fleet[n].members.progress()) {
            EXPECT_EQ(it.next_offset, it.host == fake_fleet::name(7) ? 9U : 10U)
                << it.host << " as seen by " << n;
        }
    }
}

} // namespace
