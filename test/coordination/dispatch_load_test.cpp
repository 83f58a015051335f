// Replays load patterns against the dispatcher in virtual time, beside a
// perfect scheduler that knows the state of every upstream. Bounds are the
// goals of the users for the worst load.

#include "../../bench/coordination/dispatch_model.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::bench;

/// Work served in target, of what a perfect scheduler serves in target.
constexpr double least_of_perfect = 0.9;
/// Time until a request is refused that will not be served.
constexpr double refusal_limit_ms = 50;
/// Share of the sound upstreams that may be held at any time.
constexpr double most_held = 0.05;
/// Share of the requests that must not repeat which may meet a failing one.
constexpr double most_to_failing = 0.02;
/// Share of the offered requests that is served again so long after a start.
constexpr double served_after_start = 0.95;
constexpr auto back_after_start = 1s;

struct fleet_size
{
    std::size_t hosts;
    std::size_t upstreams;
};

std::ostream& operator<<(std::ostream& out, const fleet_size& it)
{
    return out << it.hosts << " hosts, " << it.upstreams << " upstreams";
}

class dispatch_load : public ::testing::TestWithParam<fleet_size>
{
protected:
    template <placement Placement>
    static dispatch_outcome run(load_pattern pattern)
    {
        dispatch_options o;
        o.pattern = pattern;
        o.hosts = GetParam().hosts;
        o.upstreams = GetParam().upstreams;
        return dispatch_model<Placement>(o).run();
    }

    static void expect_near_perfect(load_pattern pattern)
    {
        EXPECT_GE(run<queue_placement>(pattern).in_target_share(),
                  least_of_perfect *
                      run<perfect_placement>(pattern).in_target_share());
    }
};

TEST_P(dispatch_load, a_burst_costs_what_could_be_served_in_time)
{
    expect_near_perfect(load_pattern::burst);
    expect_near_perfect(load_pattern::eager_callers);
}

// Guards against requests that wait although others keep overtaking them until
// their deadline: the more urgent ones, and those that can meet their target.
TEST_P(dispatch_load, refused_requests_wait_first)
{
    for (const auto pattern :
         {load_pattern::burst, load_pattern::eager_callers}) {
        const auto out = run<queue_placement>(pattern);
        EXPECT_FALSE(out.refusals_ms.empty());
        EXPECT_LE(percentile(out.refusals_ms, 0.5), refusal_limit_ms);
    }
}

// Guards against refusals of what could be served.
TEST_P(dispatch_load, requests_are_refused_below_capacity)
{
    for (const auto pattern :
         {load_pattern::calm, load_pattern::near_capacity,
          load_pattern::leaving_callers, load_pattern::dispatcher_lost}) {
        EXPECT_TRUE(run<queue_placement>(pattern).refusals_ms.empty());
    }
}

TEST_P(dispatch_load, slow_or_cold_upstreams_cost_requests)
{
    expect_near_perfect(load_pattern::slow_upstreams);
    expect_near_perfect(load_pattern::release);
}

TEST_P(dispatch_load, spells_hold_sound_upstreams_or_cost_requests)
{
    for (const auto pattern :
         {load_pattern::failing_spells, load_pattern::reset_spells}) {
        const auto out = run<queue_placement>(pattern);
        EXPECT_LT(out.held_max, most_held);
        EXPECT_LE(out.failing_share(), most_to_failing);
    }
}

TEST_P(dispatch_load, requests_fail_long_after_a_start_of_all_hosts)
{
    const auto out = run<queue_placement>(load_pattern::hosts_lost);
    const auto from = out.hosts_ready + back_after_start;
    double offered = 0;
    double served = 0;
    for (std::size_t n = 0; n < out.spans.size(); ++n) {
        if (n * span_length >= from && n * span_length < from + 1s) {
            offered += static_cast<double>(out.spans[n].offered);
            served += static_cast<double>(out.spans[n].served);
        }
    }
    EXPECT_GE(served, served_after_start * offered);
    EXPECT_GT(offered, 0);
}

INSTANTIATE_TEST_SUITE_P(load, dispatch_load,
                         ::testing::Values(fleet_size{41, 20},
                                           fleet_size{185, 106}));

} // namespace
