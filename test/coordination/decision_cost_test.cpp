// Guards the cost of a decision against the number of workspaces in line, in
// processor time.

#include "../../bench/coordination/decision_cost.hpp"

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade::bench;

/// Growth of the cost of a decision from 1 to 2,000 workspaces in line.
constexpr double most_growth = 1.1;

TEST(decision_cost, grows_with_the_number_of_workspaces)
{
    cost_options o;
    o.workspaces = 1;
    const auto one = measure_cost(o);
    o.workspaces = 2000;
    const auto many = measure_cost(o);
    EXPECT_LE(many.arrival_ns, most_growth * one.arrival_ns);
    EXPECT_LE(many.answer_ns, most_growth * one.answer_ns);
}

} // namespace
