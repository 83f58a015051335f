// Guards against log lines that hide how many hosts made placement decisions.

#include <oriolegrade/coordination/placement_counters.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using coordination::exclusion_reason;
using coordination::placement_counters;
using coordination::placing_position;

// Guards against logs that leave out placements by other hosts, or exclusions.
TEST(placement_counters, other_placements_are_not_all_by_first_dispatcher)
{
    placement_counters counters;
    counters.placed("s", placing_position::first);
    EXPECT_TRUE(counters.take().at("s").all_by_first_dispatcher());
    for (const auto by : {placing_position::second, placing_position::later,
                          placing_position::own}) {
        counters.placed("s", by);
        EXPECT_FALSE(counters.take().at("s").all_by_first_dispatcher())
            << state::name_of(by);
    }
    counters.excluded("s", exclusion_reason::late);
    EXPECT_FALSE(counters.take().at("s").all_by_first_dispatcher());
}

// Guards against requests that are counted in more than one log line.
TEST(placement_counters, take_resets_the_counts)
{
    placement_counters counters;
    counters.placed("s", placing_position::own);
    counters.placed("s", placing_position::own);
    counters.placed("t", placing_position::own);
    const auto counts = counters.take();
    EXPECT_EQ(counts.at("s").placed[state::index_of(placing_position::own)],
              2U);
    EXPECT_EQ(counts.at("t").placed[state::index_of(placing_position::own)],
              1U);
    EXPECT_TRUE(counters.take().empty());
}

} // namespace
