// Regression bounds of upstream health, in virtual time with fixed seeds. The
// bounds are the goals of section 8 of the design page.

#include "../../bench/detection/experiment.hpp"

#include <gtest/gtest.h>

#if defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
#define ORIOLE_SANITIZED 1
#endif
#endif

namespace {

using namespace oriolegrade;
using namespace oriolegrade::detection;
using state::health_profile;

// Sanitizers look for other faults and cost a factor of ten or more; the
// figures are judged in the ordinary build.
#ifdef ORIOLE_SANITIZED
constexpr unsigned runs = 2;
constexpr double hours_scale = 0.02;
#else
constexpr unsigned runs = 25;
constexpr double hours_scale = 1.0;
#endif

// The tail of a gray failure is decided by few requests; a percentile of
// fewer runs would be their maximum, also under a sanitizer.
constexpr unsigned gray_runs = 100;

double detection_p99(health_profile profile, fault_kind fault, unsigned count)
{
    return run_deployment(policy_kind::oriolegrade, profile, load_level::today,
                          fault, count)
        .percentile(0.99);
}

void expect_false_ejections(health_profile profile, double hours, double bound)
{
    const auto r =
        run_healthy(profile, load_level::today, hours * hours_scale, false);
    EXPECT_LE(static_cast<double>(r.ejections), bound * hours);
}

// Guards against a dead upstream that keeps receiving work.
TEST(detection_bound, dead_upstream_prairie_rest)
{
    EXPECT_LE(
        detection_p99(health_profile::prairie_rest, fault_kind::all_fail, runs),
        2.0);
}

// Guards against a dead upstream that keeps receiving work.
TEST(detection_bound, dead_upstream_hanbit)
{
    EXPECT_LE(detection_p99(health_profile::hanbit, fault_kind::all_fail, runs),
              0.5);
}

// Guards against a gray upstream that hides among healthy ones.
TEST(detection_bound, tenth_fails_prairie_rest)
{
    EXPECT_LE(detection_p99(health_profile::prairie_rest,
                            fault_kind::tenth_fails, runs),
              10.0);
}

// Guards against a gray upstream that hides among healthy ones.
TEST(detection_bound, tenth_fails_hanbit)
{
    EXPECT_LE(detection_p99(health_profile::hanbit, fault_kind::tenth_fails,
                            gray_runs),
              3.0);
}

// Guards against capacity lost to background failures and load bursts.
TEST(detection_bound, false_ejections_prairie_rest)
{
    expect_false_ejections(health_profile::prairie_rest, 1000, 1e-3);
}

// Guards against capacity lost to background failures and load bursts.
TEST(detection_bound, false_ejections_hanbit)
{
    expect_false_ejections(health_profile::hanbit, 300, 1e-2);
}

// Guards against one host's one-way cut ejecting upstreams for all hosts.
TEST(detection_bound, one_cut_host_ejects_nothing)
{
    for (const auto profile :
         {health_profile::prairie_rest, health_profile::hanbit}) {
        const auto r =
            run_deployment(policy_kind::oriolegrade, profile, load_level::today,
                           fault_kind::host_cut, std::min(runs, 10U));
        EXPECT_EQ(r.sum.false_fleet_ejections, 0);
        EXPECT_EQ(
            run_healthy(profile, load_level::today, 50 * hours_scale, true)
                .ejections,
            0U);
    }
}

// Guards against a service below its floor while half of it is bad.
TEST(detection_bound, floor_holds_when_half_is_bad)
{
    for (const auto profile :
         {health_profile::prairie_rest, health_profile::hanbit}) {
        const auto r =
            run_deployment(policy_kind::oriolegrade, profile, load_level::peak,
                           fault_kind::half_bad, std::min(runs, 5U));
        EXPECT_EQ(r.sum.floor_violations, 0U);
    }
}

} // namespace
