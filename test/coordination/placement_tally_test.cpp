// Guards against log lines that hide how far placement was spread.

#include <oriolegrade/coordination/placement_tally.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using coordination::pass_over;
using coordination::placement_tally;
using coordination::placer;

TEST(placement_tally, only_the_first_dispatcher_is_plain)
{
    placement_tally tally;
    tally.placed("s", placer::first);
    EXPECT_TRUE(tally.take().at("s").is_plain());
    for (const auto by : {placer::second, placer::later, placer::own}) {
        tally.placed("s", by);
        EXPECT_FALSE(tally.take().at("s").is_plain()) << state::name_of(by);
    }
    tally.passed_over("s", pass_over::late);
    EXPECT_FALSE(tally.take().at("s").is_plain());
}

TEST(placement_tally, counts_start_anew_for_each_line)
{
    placement_tally tally;
    tally.placed("s", placer::own);
    tally.placed("s", placer::own);
    tally.placed("t", placer::own);
    const auto counts = tally.take();
    EXPECT_EQ(counts.at("s").placed[state::index_of(placer::own)], 2U);
    EXPECT_EQ(counts.at("t").placed[state::index_of(placer::own)], 1U);
    EXPECT_TRUE(tally.take().empty());
}

} // namespace
