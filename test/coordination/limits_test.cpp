// Guards against a workspace or caller that exceeds its limit or uses up the
// share of others.

#include <oriolegrade/coordination/caller_limits.hpp>
#include <oriolegrade/coordination/workspace_limits.hpp>

#include "../../bench/coordination/caller_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <thread>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::coordination;
using namespace std::chrono_literals;

constexpr state::time_point start{10s};

// Guards against more admitted requests than rate and burst allow.
RC_GTEST_PROP(workspace_limits, rate_is_bounded, ())
{
    workspace_limits limits(64, 1);
    const state::workspace_spec spec{*rc::gen::inRange(1, 100) * 1.0,
                                     *rc::gen::inRange(1U, 20U), 10};
    int admitted = 0;
    auto now = start;
    for (int i = 0; i < 500; ++i) {
        now += *rc::gen::inRange(0, 50) * 1ms;
        admitted += limits.try_begin("w", spec, now) ? 1 : 0;
    }
    const double seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(admitted <= spec.requests_per_second * seconds + spec.burst + 1);
}

// Guards against concurrency above the limit and against permits that are not
// released.
TEST(workspace_limits, concurrency_is_bounded_and_returned)
{
    workspace_limits limits(64, 1);
    const state::workspace_spec spec{1000, 1000, 2};
    for (int round = 0; round < 3; ++round) {
        const auto a = limits.try_begin("w", spec, start);
        const auto b = limits.try_begin("w", spec, start);
        EXPECT_TRUE(a && b);
        EXPECT_EQ(limits.try_begin("w", spec, start).error(),
                  workspace_refusal::concurrency);
        EXPECT_TRUE(limits.try_begin("other", spec, start));
    }
}

// Guards against refusals at the target number of workspaces, and against a
// table that loses the state of an active workspace.
TEST(workspace_limits, holds_the_target_number_and_reuses_idle_places)
{
    workspace_limits limits(65536, 1);
    const state::workspace_spec spec{1, 1, 1};
    for (int round = 0; round < 3; ++round) {
        const auto now = start + round * 2s;
        for (int i = 0; i < 34000; ++i) {
            const auto name = std::to_string(i);
            ASSERT_TRUE(limits.try_begin(name, spec, now)) << i;
            ASSERT_FALSE(limits.try_begin(name, spec, now)) << i;
        }
    }
}

// Guards against a race between threads that reuse slots, which would allow
// concurrency above the limit of a workspace.
TEST(workspace_limits, concurrency_holds_across_threads)
{
    workspace_limits limits(64, 1);
    const state::workspace_spec spec{1e9, 1000000, 2};
    std::atomic<int> running{0};
    std::atomic<int> max_running{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 20000; ++i) {
                const auto now = start + i * 1us;
                (void)limits.try_begin(std::to_string(t * 100 + i % 80), spec,
                                       now);
                const auto got = limits.try_begin("shared", spec, now);
                if (got) {
                    const int n = ++running;
                    int old = max_running;
                    while (n > old &&
                           !max_running.compare_exchange_weak(old, n)) {
                    }
                    --running;
                }
            }
        });
    }
    for (auto& t : threads) {
        t.join();
    }
    EXPECT_GE(max_running, 1);
    // A workspace that two threads see for the first time at once may hold two
    // slots.
    EXPECT_LE(max_running, 4);
}

// Guards against heavy callers that cause refusals of innocent ones, and
// against heavy callers that exceed their limit. 100,000 callers, 20 of them
// heavy; every innocent caller stays far below the limit.
TEST(caller_limits, one_misbehaving_caller_costs_others_nothing)
{
    caller_limits_options options;
    caller_limits limits(options, 1);
    bench::caller_model_options model;
    model.innocent_most = 20;
    model.heavy = 20;
    model.seconds = 5;
    const auto r = run_callers(model, limits, options.max_per_window);
    EXPECT_EQ(r.innocent_refused, 0U);
    EXPECT_GT(r.innocent, 50000U);
    EXPECT_LE(static_cast<double>(r.heavy_admitted), 1.05 * r.heavy_allowed);
}

// Guards against an undersized table that refuses innocent callers: it may
// undercount and must not overcount.
RC_GTEST_PROP(caller_limits, small_table_refuses_no_innocent,
              (std::uint64_t seed))
{
    caller_limits_options options;
    options.counters = 64;
    options.max_per_window = 10;
    caller_limits limits(options, seed);
    for (int i = 0; i < 5000; ++i) {
        RC_ASSERT(limits.count(std::to_string(i % 1000), start).has_value());
    }
}

} // namespace
