// Guards that an exception in a fiber ends one step of its task. Without a
// handler it ended the process and the requests of all callers.

#include "fakes/fiber_thread.hpp"

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/task_fault.hpp>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include <ctime>
#include <new>
#include <stdexcept>
#include <string>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::transport;
using namespace std::chrono_literals;

void fail()
{
    throw std::runtime_error("made by a test");
}

double thread_cpu_seconds()
{
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) +
           static_cast<double>(ts.tv_nsec) / 1e9;
}

TEST(task_fault, of_a_fiber_leaves_the_process)
{
    test::fiber_context();
    spawn_fiber(fail);
    spawn_fiber([] { throw std::bad_alloc(); });
    spawn_fiber([] { throw 1; });
    boost::this_fiber::sleep_for(10ms);
}

// The owner of the fibers waits for their end.
TEST(task_fault, of_a_grouped_fiber_is_its_end)
{
    test::fiber_context();
    fiber_group group;
    group.spawn(fail);
    group.spawn([] { boost::this_fiber::sleep_for(5ms); });
    group.join();
    EXPECT_EQ(group.running(), 0U);
}

// Nothing else tells of the fault.
TEST(task_fault, is_logged_with_the_name_of_the_task)
{
    start_event_log("test", state::log_level::error);
    testing::internal::CaptureStderr();
    EXPECT_FALSE(run_step("some_task", fail));
    EXPECT_TRUE(run_step("some_task", [] {}));
    const auto log = testing::internal::GetCapturedStderr();
    const std::string line =
        "event=task_fault task=some_task error=\"made by a test\"";
    const auto at = log.find(line);
    ASSERT_NE(at, std::string::npos) << log;
    EXPECT_EQ(log.find("event=", at + 1), std::string::npos) << log;
}

TEST(task_fault, ends_one_round_of_a_loop)
{
    test::fiber_context();
    int rounds = 0;
    repeat_while([&] { return rounds < 3; }, "loop", 1ms,
                 [&] {
                     if (++rounds != 3) {
                         fail();
                     }
                 });
    EXPECT_EQ(rounds, 3);
}

// A round that fails before its wait would run again at once, for ever.
TEST(task_fault, of_each_round_keeps_the_pace)
{
    test::fiber_context();
    const auto began = std::chrono::steady_clock::now();
    const auto cpu = thread_cpu_seconds();
    int rounds = 0;
    repeat_while(
        [&] { return std::chrono::steady_clock::now() < began + 300ms; },
        "loop", 20ms,
        [&] {
            ++rounds;
            fail();
        });
    EXPECT_GE(rounds, 2);
    EXPECT_LE(rounds, 15);
    EXPECT_LT(thread_cpu_seconds() - cpu, 0.1);
}

// A round that fails behind its wait has kept the pace already.
TEST(task_fault, behind_the_wait_of_a_round_costs_no_second_wait)
{
    test::fiber_context();
    const auto began = std::chrono::steady_clock::now();
    int rounds = 0;
    repeat_while([&] { return rounds < 4; }, "loop", 200ms,
                 [&] {
                     ++rounds;
                     boost::this_fiber::sleep_for(200ms);
                     fail();
                 });
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1200ms);
}

} // namespace
