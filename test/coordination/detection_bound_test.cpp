// Bounds on detection times and false ejections, in virtual time with fixed
// seeds. The bounds are the goals of section 8 of the design page.

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

// Sanitizer builds look for other faults and are slower by a factor of ten or
// more, so they run fewer cases. The ordinary build runs them all.
#ifdef ORIOLE_SANITIZED
constexpr unsigned runs = 2;
constexpr double hours_scale = 0.02;
#else
constexpr unsigned runs = 25;
constexpr double hours_scale = 1.0;
#endif

// The slowest detections of a gray failure depend on few requests. With fewer
// runs the 99th percentile would be their maximum, so the number is the same
// in sanitizer builds.
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

// Guards against a failed upstream that keeps receiving requests.
TEST(detection_bound, dead_upstream_prairie_rest)
{
    EXPECT_LE(
        detection_p99(health_profile::prairie_rest, fault_kind::all_fail, runs),
        2.0);
}

// Guards against a failed upstream that keeps receiving requests.
TEST(detection_bound, dead_upstream_hanbit)
{
    EXPECT_LE(detection_p99(health_profile::hanbit, fault_kind::all_fail, runs),
              0.5);
}

// Guards against late detection of an upstream that fails one request in ten.
TEST(detection_bound, tenth_fails_prairie_rest)
{
    EXPECT_LE(detection_p99(health_profile::prairie_rest,
                            fault_kind::tenth_fails, runs),
              10.0);
}

// Guards against late detection of an upstream that fails one request in ten.
TEST(detection_bound, tenth_fails_hanbit)
{
    EXPECT_LE(detection_p99(health_profile::hanbit, fault_kind::tenth_fails,
                            gray_runs),
              3.0);
}

// Guards against ejections caused by background failures and load bursts.
TEST(detection_bound, false_ejections_prairie_rest)
{
    expect_false_ejections(health_profile::prairie_rest, 1000, 1e-3);
}

// Guards against ejections caused by background failures and load bursts.
TEST(detection_bound, false_ejections_hanbit)
{
    expect_false_ejections(health_profile::hanbit, 300, 1e-2);
}

// Guards against fleet-wide ejections caused by a one-way network partition of
// a single host.
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

// Guards against a service below its floor while half of its upstreams fail.
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
