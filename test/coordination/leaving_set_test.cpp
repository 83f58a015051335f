// Guards against notices of leaving upstreams that are late, lost or stale,
// for all three sources.

#include <oriolegrade/coordination/leaving_set.hpp>
#include <oriolegrade/coordination/service_floor.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::leaving_set;
using coordination::listed_state;

constexpr state::endpoint server{0x0a010001, 8080};
constexpr state::time_point start{1000s};
constexpr unsigned host_count = 41;

/// Time until every host has the upstream in its set. Each host gossips to two
/// others every 500 ms and reads the list every second.
template <class Notice>
state::duration time_until_all_excluded(const Notice& notice)
{
    std::vector<leaving_set> hosts(host_count);
    unsigned random_state = 1;
    for (auto now = start;; now += 100ms) {
        notice(hosts, now);
        unsigned excluded = 0;
        for (unsigned n = 0; n < host_count; ++n) {
            excluded += hosts[n].contains(server) ? 1U : 0U;
            if ((now - start) / 100ms % 5 != n % 5) {
                continue;
            }
            for (const auto& it : hosts[n].notices_to_gossip(now)) {
                for (int peer = 0; peer < 2; ++peer) {
                    random_state = random_state * 1103515245 + 12345;
                    hosts[(random_state >> 16U) % host_count].gossip(it, now);
                }
            }
        }
        if (excluded == host_count || now - start > 60s) {
            return now - start;
        }
    }
}

// Guards against a leave state in the list that reaches the hosts late.
TEST(leaving_set, list_reaches_all_hosts_within_3_s)
{
    EXPECT_LE(time_until_all_excluded([](auto& hosts, state::time_point now) {
                  for (unsigned n = 0; n < host_count; ++n) {
                      if ((now - start) / 100ms % 10 == n % 10) {
                          hosts[n].update_listed_state(
                              server, listed_state::leaving, now);
                      }
                  }
              }),
              3s);
}

// Guards against a drain signal that reaches only the host that received it.
TEST(leaving_set, drain_signal_at_one_host_reaches_all_within_3_s)
{
    EXPECT_LE(time_until_all_excluded([](auto& hosts, state::time_point now) {
                  if (now == start) {
                      hosts[17].drain_signal(server, now);
                  }
                  for (auto& it : hosts) {
                      it.update_listed_state(server, listed_state::live, now);
                  }
              }),
              3s);
}

// Guards against a notice that is known to one host only and is not forwarded.
TEST(leaving_set, gossip_to_one_host_reaches_all_within_3_s)
{
    EXPECT_LE(time_until_all_excluded([](auto& hosts, state::time_point now) {
                  if (now == start) {
                      hosts[3].gossip({server, 200ms}, now);
                  }
              }),
              3s);
}

// Guards against a stale list that restores a leaving upstream, and against
// late gossip that removes one that has rejoined.
TEST(leaving_set, stale_list_does_not_restore_upstream)
{
    leaving_set set;
    EXPECT_TRUE(set.drain_signal(server, start));
    EXPECT_FALSE(
        set.update_listed_state(server, listed_state::live, start + 20s));
    EXPECT_TRUE(set.contains(server));
    set.update_listed_state(server, listed_state::absent, start + 30s);
    const auto event =
        set.update_listed_state(server, listed_state::live, start + 40s);
    ASSERT_TRUE(event);
    EXPECT_EQ(event->kind, coordination::health_event_kind::rejoined);
    EXPECT_FALSE(set.gossip({server, 25s}, start + 45s));
    EXPECT_FALSE(set.contains(server));
    EXPECT_TRUE(set.gossip({server, 1s}, start + 45s));
}

// Guards against a host with a stale list that keeps sending notices about an
// upstream that has rejoined.
TEST(leaving_set, stale_list_of_peer_is_not_a_new_notice)
{
    leaving_set lagging;
    leaving_set current;
    for (auto now = start; now < start + 10s; now += 1s) {
        lagging.update_listed_state(server, listed_state::leaving, now);
    }
    current.update_listed_state(server, listed_state::leaving, start);
    current.update_listed_state(server, listed_state::live, start + 10s);
    for (const auto& it : lagging.notices_to_gossip(start + 11s)) {
        EXPECT_FALSE(current.gossip(it, start + 11s));
    }
}

// Guards against an upstream that is excluded permanently after a cancelled
// drain that the list never showed.
TEST(leaving_set, cancelled_drain_ends_after_max_list_lag)
{
    leaving_set set;
    set.drain_signal(server, start);
    EXPECT_TRUE(set.update_listed_state(server, listed_state::live,
                                        start + coordination::max_list_lag));
    EXPECT_FALSE(set.contains(server));
}

} // namespace
