// Guards against a burst that is taken for less, or callers who return together
// that are taken for a burst.

#include <oriolegrade/coordination/arrival_load.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::arrival_load;

constexpr state::time_point start{1000s};

/// Arrivals of 250 ms at equal intervals.
state::time_point arrive(arrival_load& load, std::uint32_t rank, int rate,
                         state::duration length, state::time_point now)
{
    const auto end = now + length;
    for (; now < end; now += 1'000'000'000ns / rate) {
        load.add(rank, 250ms, now);
    }
    return end;
}

TEST(arrival_load, a_steady_load_is_missed)
{
    arrival_load load;
    const auto now = arrive(load, 1, 40, 2s, start);
    EXPECT_NEAR(load.up_to(1, now), 10, 0.5);
    EXPECT_EQ(load.more_urgent_than(1, now), 0);
    EXPECT_NEAR(load.more_urgent_than(2, now), 10, 0.5);
    EXPECT_NEAR(load.up_to(7, now), 10, 0.5);
}

TEST(arrival_load, ranks_are_mixed_up)
{
    arrival_load load;
    arrive(load, 0, 40, 2s, start);
    const auto now = arrive(load, 1, 20, 2s, start);
    EXPECT_NEAR(load.more_urgent_than(1, now), 10, 0.5);
    EXPECT_NEAR(load.up_to(1, now), 15, 0.5);
}

TEST(arrival_load, callers_who_return_together_look_like_a_burst)
{
    arrival_load load;
    for (int n = 0; n < 100; ++n) {
        load.add(0, 250ms, start);
    }
    for (auto now = start; now < start + 2s; now += 25ms) {
        EXPECT_EQ(load.up_to(0, now), 0);
    }
}

TEST(arrival_load, a_burst_is_remembered_for_long)
{
    arrival_load load;
    const auto now = arrive(load, 0, 100, 3s, start);
    EXPECT_GT(load.up_to(0, now), 20);
    EXPECT_EQ(load.up_to(0, now + 700ms), 0);
}

// The counters hold whatever the route's latency and the rate are.
TEST(arrival_load, the_counters_overflow)
{
    arrival_load load;
    for (auto now = start; now < start + 2s; now += 100ms) {
        load.add(0, 24h, now);
        load.add(0, 24h, now);
        load.add(0, -1s, now);
    }
    EXPECT_GT(load.up_to(0, start + 2s), 100'000);
}

} // namespace
