// What the detection experiment varies: services, loads, faults, policies.

#ifndef ORIOLEGRADE_BENCH_DETECTION_EXPERIMENT_TYPES_HPP
#define ORIOLEGRADE_BENCH_DETECTION_EXPERIMENT_TYPES_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/health_profile.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace oriolegrade::detection {

using state::duration;
using state::time_point;
using namespace std::chrono_literals;

enum class fault_kind : std::uint8_t
{
    all_fail,
    tenth_fails,
    class_fails,
    slow_20,
    hangs,
    flaps_5s,
    sheds,
    host_cut,
    half_bad,
    probe_lies,
    load_lags,
};

enum class load_level : std::uint8_t
{
    light,
    today,
    peak,
};

enum class policy_kind : std::uint8_t
{
    oriolegrade,
    consecutive,
    outlier,
    none,
};

/// A service of a deployment. Sizes are those of the design page; answer times
/// are assumptions of this experiment.
struct service_model
{
    std::string_view name;
    state::health_profile profile;
    unsigned servers;
    unsigned slots;
    /// Mean of the exponentially distributed answer time, in milliseconds.
    double answer_ms;
};

inline constexpr std::array<service_model, 8> service_models{{
    {"archive", state::health_profile::prairie_rest, 10, 4, 50},
    {"consent", state::health_profile::prairie_rest, 12, 4, 40},
    {"band_intake", state::health_profile::prairie_rest, 8, 4, 40},
    {"dashboard", state::health_profile::prairie_rest, 8, 4, 30},
    {"catalogue", state::health_profile::hanbit, 7, 3, 20},
    {"booking", state::health_profile::hanbit, 13, 3, 30},
    {"photo", state::health_profile::hanbit, 6, 3, 40},
    {"tracking", state::health_profile::hanbit, 6, 3, 20},
}};

inline constexpr unsigned host_count = 41;
/// Share of the floor in the service's slots.
inline constexpr double floor_share = 0.5;
inline constexpr double background_failure_rate = 0.005;
/// Load bursts: one every 20 s on average, 1.5 s long, at 1.6 times the load.
inline constexpr double burst_every_seconds = 20.0;
inline constexpr double burst_seconds = 1.5;
inline constexpr double burst_factor = 1.6;
/// From a collector's verdict to the hosts: two hops of at most 1.5 ms, the
/// feed to the entry process, and scheduling of small shared hosts.
inline constexpr duration verdict_delay = 30ms;
inline constexpr duration evidence_interval = 100ms;
inline constexpr duration tick = 10ms;
inline constexpr duration request_deadline = 2s;
/// Faults begin after the baselines are warm.
inline constexpr duration warm_up = 25s;
inline constexpr duration observed = 30s;

/// Share of the slots that requests keep busy on average.
constexpr double utilisation(load_level load)
{
    constexpr std::array<double, 3> shares{0.20, 0.50, 0.85};
    return shares[static_cast<std::size_t>(load)];
}

/// Requests per second that one upstream receives.
constexpr double upstream_rate(const service_model& service, load_level load)
{
    return utilisation(load) * service.slots * 1000.0 / service.answer_ms;
}

/// Seeded generator (splitmix64); the same numbers on every platform.
class random_numbers
{
public:
    explicit random_numbers(std::uint64_t seed)
        : state_(seed)
    {}
    std::uint64_t next()
    {
        std::uint64_t n = state_ += 0x9e3779b97f4a7c15;
        n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9;
        n = (n ^ (n >> 27U)) * 0x94d049bb133111eb;
        return n ^ (n >> 31U);
    }
    /// From 0 to 1, 1 excluded.
    double uniform()
    {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }
    unsigned below(unsigned n)
    {
        return static_cast<unsigned>(((next() >> 32U) * n) >> 32U);
    }
    double exponential(double mean)
    {
        return -mean * std::log1p(-uniform());
    }

private:
    std::uint64_t state_;
};

inline duration seconds_of(double s)
{
    return duration(static_cast<std::int64_t>(s * 1e9));
}

inline double in_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace oriolegrade::detection

namespace oriolegrade::state {

template <>
struct enum_names<detection::fault_kind>
{
    static constexpr std::array<std::string_view, 11> value{
        "all fail",  "10% fail", "class fails", "20x slow",
        "hangs",     "flaps 5s", "sheds 80%",   "host cut",
        "half fail", "lies",     "load lags 2s"};
};

template <>
struct enum_names<detection::load_level>
{
    static constexpr std::array<std::string_view, 3> value{"light", "today",
                                                           "peak"};
};

template <>
struct enum_names<detection::policy_kind>
{
    static constexpr std::array<std::string_view, 4> value{
        "oriolegrade", "consecutive", "outlier", "none"};
};

} // namespace oriolegrade::state

#endif
