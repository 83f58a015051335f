// Replays the load of one workspace that sends many times its usual against the
// dispatcher in virtual time, beside the same load of requests that name no
// workspace. Bounds are the goals of the users for the worst load.

#include "../../bench/coordination/dispatch_model.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::bench;

constexpr std::size_t workspaces = 74;
/// Served share of the worst tenth of the workspaces, of the mean of all.
constexpr double least_of_worst_tenth = 0.9;
/// Served share of any workspace, of that of all requests. The users count a
/// workspace below it as starved.
constexpr double least_of_any = 0.25;
/// Work served, of what is served when no workspace is named.
constexpr double least_of_unshared = 0.99;

struct full_service
{
    std::size_t hosts;
    std::size_t upstreams;
    /// In loads of the capacity.
    double load;
    /// Load of the hot workspace, in loads of another.
    double hot_factor;
};

std::ostream& operator<<(std::ostream& out, const full_service& it)
{
    return out << it.upstreams << " upstreams, load " << it.load
               << ", hot workspace " << it.hot_factor;
}

class workspace_load : public ::testing::TestWithParam<full_service>
{
protected:
    static dispatch_outcome run(bool hides_workspaces)
    {
        dispatch_options o;
        o.hosts = GetParam().hosts;
        o.upstreams = GetParam().upstreams;
        o.load = GetParam().load;
        o.workspaces = workspaces;
        o.hot_factor = GetParam().hot_factor;
        o.hides_workspaces = hides_workspaces;
        return dispatch_model<queue_placement>(o).run();
    }
};

// Guards against workspaces that pay for what another one sends.
TEST_P(workspace_load, a_hot_workspace_starves_others)
{
    const auto out = run(false);
    const auto shares = out.workspace_shares();
    const auto worst = mean_of_first(shares, workspaces / 10);
    EXPECT_GE(worst, least_of_worst_tenth * mean_of_first(shares, workspaces));
    EXPECT_GE(shares.front(), least_of_any * out.served_share());
}

// Guards against slots that stay free for the sake of fairness.
TEST_P(workspace_load, sharing_costs_work)
{
    EXPECT_GE(run(false).served_work,
              least_of_unshared * run(true).served_work);
}

INSTANTIATE_TEST_SUITE_P(load, workspace_load,
                         ::testing::Values(full_service{41, 20, 1.7, 20},
                                           full_service{41, 20, 3, 20},
                                           full_service{185, 106, 1.7, 20},
                                           full_service{185, 106, 3, 20},
                                           full_service{41, 20, 3, 1000},
                                           full_service{185, 106, 3, 1000}));

} // namespace
