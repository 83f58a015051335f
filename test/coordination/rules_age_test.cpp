// Guards the use of rules that were replaced, and hosts that go on while
// nothing can be read.

#include <oriolegrade/coordination/rules_age.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::may_serve_by;

constexpr state::time_point start{};

TEST(rules_age, replaced_rules_are_used_beyond_their_bound)
{
    EXPECT_TRUE(may_serve_by(true, start, 1700ms, start + 1700ms));
    EXPECT_FALSE(may_serve_by(true, start, 1700ms, start + 1701ms));
}

TEST(rules_age, a_host_stops_when_nothing_can_be_read)
{
    EXPECT_TRUE(may_serve_by(false, start, 1700ms, start + 1h));
}

TEST(rules_age, a_host_without_a_bound_stops)
{
    EXPECT_TRUE(may_serve_by(true, start, state::duration::max(), start + 1h));
}

} // namespace
