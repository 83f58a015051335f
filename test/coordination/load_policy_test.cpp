// Guards against extra attempts and requests that increase an overload.

#include <oriolegrade/coordination/concurrency_limit.hpp>
#include <oriolegrade/coordination/deadline.hpp>
#include <oriolegrade/coordination/hedge_policy.hpp>
#include <oriolegrade/coordination/retry_budget.hpp>

#include <fakes/seeded_random.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::coordination;
using namespace std::chrono_literals;
using state::request_class;

constexpr state::time_point now{10s};

// Guards against retries that multiply the load when every request fails.
RC_GTEST_PROP(retry_budget, bounds_the_share_of_retries, ())
{
    retry_budget budget;
    const auto requests = *rc::gen::inRange(0, 5000);
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
        budget.deposit();
        retries += budget.try_take(attempt_kind::retry) ? 1 : 0;
    }
    RC_ASSERT(retries <= requests / 10 + 20);
}

// Guards against threads that together take more tokens than the budget holds.
TEST(retry_budget, holds_across_threads)
{
    retry_budget budget({0, 1000, 20});
    std::atomic<int> taken{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < 1000; ++i) {
                taken += budget.try_take(attempt_kind::retry) ? 1 : 0;
            }
        });
    }
    for (auto& t : threads) {
        t.join();
    }
    EXPECT_LE(taken, 1000);
    EXPECT_GE(taken, 990);
}

// Guards against extra attempts of any kind while the fleet sheds.
TEST(retry_budget, stops_at_overload)
{
    retry_budget budget;
    budget.set_shed_level(50);
    for (const auto kind :
         {attempt_kind::retry, attempt_kind::hedge, attempt_kind::redirect}) {
        EXPECT_EQ(budget.try_take(kind).error(), budget_refusal::overloaded);
    }
    budget.set_shed_level(0);
    EXPECT_TRUE(budget.try_take(attempt_kind::hedge));
}

// Guards against a hedge that runs a non-idempotent request twice, and against
// hedges beyond the budget.
TEST(hedge_policy, hedges_only_idempotent_requests_within_the_budget)
{
    hedge_policy policy;
    retry_budget budget({0, 1, 20});
    EXPECT_EQ(policy.delay(request_class::idempotent).error(),
              hedge_refusal::no_estimate);
    for (int i = 0; i < 1000; ++i) {
        policy.add_latency(10ms);
    }
    EXPECT_EQ(policy.delay(request_class::non_idempotent).error(),
              hedge_refusal::not_idempotent);
    EXPECT_EQ(policy.start(request_class::non_idempotent, budget).error(),
              hedge_refusal::not_idempotent);
    EXPECT_TRUE(policy.delay(request_class::idempotent));
    EXPECT_TRUE(policy.start(request_class::idempotent, budget));
    EXPECT_EQ(policy.start(request_class::idempotent, budget).error(),
              hedge_refusal::budget);
}

// Guards against an estimate so low that most requests are hedged, and one so
// high that none is.
RC_GTEST_PROP(hedge_policy, delay_is_near_the_percentile, (std::uint64_t seed))
{
    fakes::seeded_random random{seed};
    percentile_estimate estimate(0.95);
    int above = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto sample = state::duration(
            static_cast<std::int64_t>(random.next() % 50'000'000) + 1'000'000);
        if (i >= 10000) {
            above += sample > estimate.value() ? 1 : 0;
        }
        estimate.add(sample);
    }
    RC_ASSERT(above > 10000 * 0.03);
    RC_ASSERT(above < 10000 * 0.07);
}

// Guards against requests sent when too little time is left for an answer, and
// against a next hop with a later deadline than this one.
RC_GTEST_PROP(deadline, shrinks_and_refuses_late_work, ())
{
    const auto span = state::duration(*rc::gen::inRange(-1000, 1000) * 1ms);
    const auto fastest = state::duration(*rc::gen::inRange(0, 1000) * 1ms);
    const auto d = deadline::for_request(now, 500ms, span);
    RC_ASSERT(d.remaining(now) <= 500ms);
    RC_ASSERT(d.for_next_hop(2ms).at() < d.at());
    RC_ASSERT(d.milliseconds(now) * 1ms <= d.remaining(now));
    const auto got = d.check(now, fastest);
    RC_ASSERT(got.has_value() == (span > 0ms && std::min<state::duration>(
                                                    span, 500ms) >= fastest));
    if (span <= 0ms) {
        RC_ASSERT(got.error() == deadline_refusal::expired);
    }
}

// Guards against a limit that grows while requests queue, that collapses on one
// burst of sheds, or that excludes an upstream permanently.
TEST(concurrency_limit, follows_the_upstream_and_keeps_one)
{
    state::upstream_load load;
    concurrency_limit limit;
    auto at = now;
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(load.try_begin());
    }
    for (int i = 0; i < 100; ++i) {
        limit.on_answer(load, 25ms, at += 25ms);
    }
    const auto grown = limit.limit();
    EXPECT_GT(grown, 4U);
    for (int i = 0; i < 10; ++i) {
        limit.on_shed(load, at);
    }
    EXPECT_LT(limit.limit(), grown);
    EXPECT_GE(limit.limit(), grown / 2);
    for (int i = 0; i < 1000; ++i) {
        limit.on_answer(load, 200ms, at += 200ms);
        EXPECT_GE(load.limit(), 1U);
    }
}

} // namespace
