// Guards against sound upstreams that stay idle although nothing is wrong with
// them: the incident of docs/incidents/floor-recurrence.md.
//
// Callers may stop being served from one moment to the next, when hosts lose
// power, and the two seconds that the users' rule looks at have begun by then.
// So the share in use is judged at all times here.

#include "fakes/simulated_hosts.hpp"

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::simulated_hosts;

/// The users' bounds: at least seven tenths of the sound upstreams in use
/// while more than a tenth of the requests is not served.
constexpr double floor_share = 0.7;
constexpr double unserved_share = 0.1;

struct pattern
{
    std::size_t hosts;
    std::size_t upstreams;
    /// Of all hosts together, per second.
    double rate;
};

std::ostream& operator<<(std::ostream& out, const pattern& it)
{
    return out << it.hosts << " hosts, " << it.upstreams << " upstreams, "
               << it.rate << " requests/s";
}

class lone_placement : public ::testing::TestWithParam<pattern>
{};

TEST_P(lone_placement, hosts_choose_the_same_upstreams)
{
    const auto& it = GetParam();
    simulated_hosts hosts(it.hosts, it.upstreams);
    const auto out = hosts.run(it.rate, 4s);
    EXPECT_GE(out.min_used_share, floor_share);
    EXPECT_LE(out.shed_share(), unserved_share);
}

INSTANTIATE_TEST_SUITE_P(load, lone_placement,
                         ::testing::Values(pattern{20, 133, 521},
                                           pattern{80, 133, 521},
                                           pattern{159, 133, 521},
                                           pattern{159, 20, 64},
                                           pattern{40, 133, 260}));

// One queue that sees all requests spreads them; the fixture is sound.
TEST(simulated_hosts, one_dispatcher_uses_all_upstreams)
{
    simulated_hosts hosts(1, 133);
    const auto out = hosts.run(521, 4s);
    EXPECT_EQ(out.min_used_share, 1.0);
    EXPECT_EQ(out.shed, 0U);
}

class dispatcher_placement : public ::testing::TestWithParam<pattern>
{};

// Upstreams fail for some seconds in turn. What rests of a small service is a
// larger share of its sound upstreams.
TEST_P(dispatcher_placement, upstreams_rest_long_after_their_errors)
{
    const auto& it = GetParam();
    simulated_hosts hosts(it.hosts, it.upstreams);
    hosts.set_faults({0.3});
    const auto out = hosts.run(it.rate, 60s);
    EXPECT_GE(out.min_used_share, floor_share);
}

// The places that lost hosts get count as use at the dispatcher, so that what
// may rest must leave room for them below the bound.
TEST_P(dispatcher_placement, upstreams_rest_while_places_of_lost_hosts_count)
{
    const auto& it = GetParam();
    simulated_hosts hosts(it.hosts, it.upstreams);
    hosts.set_faults({0.3});
    hosts.run(it.rate, 20s);
    hosts.set_lost_share(0.2);
    const auto out = hosts.run(it.rate, 4s);
    EXPECT_GE(out.min_used_share, floor_share);
}

INSTANTIATE_TEST_SUITE_P(load, dispatcher_placement,
                         ::testing::Values(pattern{1, 14, 141},
                                           pattern{1, 20, 64},
                                           pattern{1, 76, 228},
                                           pattern{1, 133, 521},
                                           pattern{1, 6, 14}));

// New upstreams, which are cold at first, are the last choice while others have
// free slots, and they come beside those that rest after errors.
TEST(joining_upstreams, stay_idle_beside_warm_ones)
{
    for (const auto& it : {pattern{1, 10, 141}, pattern{1, 100, 521}}) {
        simulated_hosts hosts(it.hosts, it.upstreams);
        hosts.set_faults({0.3});
        hosts.run(it.rate, 10s);
        hosts.add_upstreams(it.upstreams * 2 / 5);
        const auto out = hosts.run(it.rate, 6s);
        EXPECT_GE(out.min_used_share, floor_share) << it;
    }
}

} // namespace
