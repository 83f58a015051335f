// Guards the time for an answer: one that goes on arriving is read to its end,
// and one that stalls or never ends is given up.

#include <oriolegrade/coordination/answer_limit.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;

constexpr state::time_point start{};
constexpr coordination::answer_limit limit(start + 900ms, 400ms);

TEST(answer_limit, a_part_ends_an_answer_before_its_begin_was_due)
{
    EXPECT_EQ(limit.next_part(start + 100ms), start + 900ms);
}

TEST(answer_limit, an_answer_that_goes_on_arriving_is_given_up)
{
    EXPECT_EQ(limit.next_part(start + 2s), start + 2400ms);
}

TEST(answer_limit, an_answer_without_end_is_read_for_ever)
{
    EXPECT_EQ(limit.next_part(start + 60s),
              start + 900ms + coordination::longest_answer);
}

} // namespace
