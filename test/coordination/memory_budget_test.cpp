// Guards the memory of a host for callers: a crowd does not exceed it, and
// leaves room for callers with small bodies.

#include <oriolegrade/coordination/memory_budget.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <thread>
#include <vector>

namespace {

using namespace oriolegrade;
using coordination::memory_budget;
using coordination::memory_share;

constexpr std::uint64_t mega = 1'000'000;

TEST(memory_budget, one_large_body_does_not_fit_in_calm)
{
    memory_budget budget(16 * mega);
    memory_share one(budget);
    EXPECT_TRUE(one.grow_to(8 * mega));
    EXPECT_FALSE(budget.is_short());
    one.shrink_to(0);
    EXPECT_EQ(budget.used(), 0);
}

// 1,200 bodies of 900 kB, which grow side by side.
TEST(memory_budget, a_crowd_takes_more_than_there_is)
{
    memory_budget budget(16 * mega);
    std::deque<memory_share> crowd;
    for (int n = 0; n < 1200; ++n) {
        crowd.emplace_back(budget);
    }
    for (std::uint64_t size = 8192; size < mega; size *= 2) {
        for (auto& it : crowd) {
            it.grow_to(size);
        }
    }
    EXPECT_LE(budget.used(), 16 * mega);
    EXPECT_GT(budget.refusals(), 0);
    crowd.clear();
    EXPECT_EQ(budget.used(), 0);
    memory_share next(budget);
    EXPECT_TRUE(next.grow_to(mega));
}

// 150 callers in the place of the first ones: their large bodies may use half.
TEST(memory_budget, a_crowd_leaves_no_room_for_a_small_body)
{
    memory_budget budget(16 * mega);
    std::deque<memory_share> crowd;
    for (int n = 0; n < 150; ++n) {
        crowd.emplace_back(budget);
        for (std::uint64_t size = 8192; size < mega; size *= 2) {
            crowd.back().grow_to(size);
        }
    }
    EXPECT_TRUE(budget.is_short());
    memory_share small(budget);
    EXPECT_TRUE(small.grow_to(8192));
}

TEST(memory_budget, threads_lose_or_make_memory)
{
    memory_budget budget(4 * mega);
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&] {
            for (int round = 0; round < 20'000; ++round) {
                memory_share it(budget);
                it.grow_to(300'000);
                it.grow_to(mega);
                it.shrink_to(8192);
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    EXPECT_EQ(budget.used(), 0);
}

TEST(memory_budget, refuses_without_a_limit)
{
    memory_budget budget(0);
    memory_share it(budget);
    EXPECT_TRUE(it.grow_to(1000 * mega));
}

} // namespace
