// Guards against faults in the ejection and return of an upstream, and in the
// thresholds and limits on which they depend.

#include <oriolegrade/coordination/latency_baseline.hpp>
#include <oriolegrade/coordination/sequential_test.hpp>
#include <oriolegrade/coordination/upstream_lifecycle.hpp>

#include <gtest/gtest.h>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::upstream_lifecycle;
using state::evidence_kind;
using state::upstream_state;

/// Advances an ejected upstream to its trial and returns the time at which the
/// trial starts.
state::time_point advance_to_trial(upstream_lifecycle& it,
                                   state::time_point now, bool probes_healthy)
{
    while (it.state() != upstream_state::trial) {
        now += 100ms;
        it.advance(now);
        it.probe_result(probes_healthy, now);
    }
    return now;
}

// Guards against a flapping upstream whose returns to service do not become
// harder.
TEST(upstream_lifecycle, each_return_takes_longer_until_stable)
{
    upstream_lifecycle it;
    state::time_point now{1000s};
    state::evidence_counts bad;
    bad[evidence_kind::failure] = 50;
    it.eject(now);
    state::duration last{};
    for (int n = 0; n < 4; ++n) {
        const auto begin = now;
        now = advance_to_trial(it, now, true);
        EXPECT_GT(now - begin, last * 3 / 2);
        last = now - begin;
        it.trial_result(bad, now);
        EXPECT_EQ(it.state(), upstream_state::ejected);
    }
    EXPECT_EQ(it.flap_level(), 4U);
    now = advance_to_trial(it, now, true);
    state::evidence_counts good;
    good[evidence_kind::success] = 500;
    it.trial_result(good, now);
    EXPECT_LT(it.weight(now), 0.2);
    it.advance(now += coordination::ramp_duration);
    EXPECT_EQ(it.state(), upstream_state::in_service);
    for (int n = 0; n < 5; ++n) {
        it.advance(now += coordination::flap_decay_interval);
    }
    EXPECT_EQ(it.flap_level(), 0U);
}

// Guards against a permanent loss of capacity when a health endpoint wrongly
// reports unhealthy.
TEST(upstream_lifecycle,
     false_unhealthy_endpoint_delays_but_does_not_prevent_trial)
{
    upstream_lifecycle it;
    it.eject(state::time_point(1000s));
    EXPECT_LT(advance_to_trial(it, state::time_point(1000s), false),
              state::time_point(1060s));
}

// Guards against costs without effect on the thresholds, and against an effect
// in the wrong direction.
TEST(sequential_test, thresholds_follow_costs)
{
    using state::costs_of;
    using state::health_profile;
    const auto high_false_ejection_cost = coordination::derive_thresholds(
        costs_of(health_profile::prairie_rest), 50);
    const auto high_detection_cost =
        coordination::derive_thresholds(costs_of(health_profile::hanbit), 50);
    EXPECT_GT(high_false_ejection_cost.eject, high_detection_cost.eject + 2);
    EXPECT_LT(high_detection_cost.suspect, high_detection_cost.eject);
}

// Guards against a slow upstream that raises the limit for slow requests, and
// against a limit that does not follow a load burst.
TEST(latency_baseline, limit_follows_the_median)
{
    coordination::latency_baseline baseline;
    EXPECT_EQ(baseline.slow_limit(1s), 1s);
    for (int n = 0; n < 300; ++n) {
        baseline.add(n % 5 == 0 ? 2s : 20ms);
    }
    const auto quiet = baseline.slow_limit(1s);
    EXPECT_GT(quiet, 150ms);
    EXPECT_LT(quiet, 300ms);
    for (int n = 0; n < 600; ++n) {
        baseline.add(60ms);
    }
    EXPECT_GT(baseline.slow_limit(1s), 2 * quiet);
}

} // namespace
