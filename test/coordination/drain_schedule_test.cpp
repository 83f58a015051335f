// Guards what a stopping host takes and how long it lets that run, for short
// and long times between the stop signal and the kill.

#include <oriolegrade/coordination/drain_schedule.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::drain_schedule;

class drain_schedule_at : public ::testing::TestWithParam<std::chrono::seconds>
{
protected:
    const state::time_point began_{100s};
    const state::duration grace_ = GetParam();
    const drain_schedule schedule_{began_, grace_};

    /// Calls a function with each arrival and each time limit of a request.
    template <class Function>
    void for_each_request(Function check) const
    {
        for (auto at = -2000ms; at < grace_; at += 50ms) {
            for (auto limit = 50ms; limit <= 12s; limit += 150ms) {
                const auto arrival = began_ + at;
                check(arrival, arrival + limit);
            }
        }
    }
};

// A host that cuts a request which it took late: its upstream works on it, and
// its caller has time left.
TEST_P(drain_schedule_at, a_late_request_is_cut)
{
    for_each_request([&](auto arrival, auto deadline) {
        const auto limit = schedule_.limit(arrival, deadline);
        if (arrival > began_ + 3s && schedule_.accepts(arrival) && limit) {
            EXPECT_EQ(*limit, deadline);
            EXPECT_LE(*limit, schedule_.run_end());
        }
    });
}

// A host that refuses what it could serve.
TEST_P(drain_schedule_at, a_request_that_fits_is_refused)
{
    for_each_request([&](auto arrival, auto deadline) {
        if (deadline <= schedule_.run_end()) {
            EXPECT_EQ(schedule_.limit(arrival, deadline), deadline);
        }
    });
}

// Most requests end long before their time limit, so one that may be cut is
// taken whatever its limit, but has no time beyond the end of the host.
TEST_P(drain_schedule_at, an_early_request_is_refused_or_outlasts_the_stop)
{
    for_each_request([&](auto arrival, auto deadline) {
        if (arrival <= began_ + std::min<state::duration>(3s, grace_ / 2)) {
            EXPECT_EQ(schedule_.limit(arrival, deadline),
                      std::min(deadline, schedule_.run_end()));
        }
    });
}

// Callers excuse what is cut in the last sixth of the stop, and no sooner.
TEST_P(drain_schedule_at, requests_are_cut_before_the_last_sixth)
{
    EXPECT_GE(schedule_.run_end(), began_ + grace_ * 5 / 6);
    EXPECT_LT(schedule_.run_end(), schedule_.process_end());
    EXPECT_LT(schedule_.process_end(), began_ + grace_);
}

INSTANTIATE_TEST_SUITE_P(graces, drain_schedule_at,
                         ::testing::Values(2s, 6s, 10s, 30s, 120s),
                         [](const auto& it) {
                             return std::to_string(it.param.count()) + "_s";
                         });

} // namespace
