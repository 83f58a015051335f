// Sequential test of "failing" against "as its peers" (CUSUM of a
// log-likelihood ratio). Ratios of independent hosts add.

#ifndef ORIOLEGRADE_COORDINATION_SEQUENTIAL_TEST_HPP
#define ORIOLEGRADE_COORDINATION_SEQUENTIAL_TEST_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/health_profile.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::coordination {

/// What the test looks at. Each signal has a test of its own, because a fast
/// failure and a late answer have different usual rates.
enum class health_signal : std::uint8_t
{
    errors,
    latency,
};

/// Usual probability of each signal among the peers of an upstream.
struct peer_baseline
{
    double error_rate = 0;
    double slow_rate = 0;
};

/// Least usual rates that the test assumes. Background failures are 0.5%; a
/// lower assumption would turn ordinary failures into strong evidence. A
/// connection to a live upstream fails far more rarely.
inline constexpr double min_error_rate = 0.005;
inline constexpr double min_slow_rate = 0.01;
inline constexpr double baseline_connect_failure_rate = 0.001;
/// Least rates of a failing upstream: the gray failure to be found fails one
/// request in ten.
inline constexpr double gray_error_rate = 0.1;
inline constexpr double gray_slow_rate = 0.25;

/// Log-likelihood ratio of one request for one signal.
struct request_weights
{
    double bad = 0;
    double good = 0;
    /// Of a connect failure, stronger than another failure.
    double refused = 0;
};

request_weights derive_weights(health_signal signal,
                               const peer_baseline& baseline);

/// Log-likelihood ratio of the counts for one signal. Positive speaks for
/// "failing". Shed requests count for neither side.
double log_likelihood_ratio(health_signal signal,
                            const state::evidence_counts& counts,
                            const request_weights& weights);

struct test_thresholds
{
    /// Ratio at which an upstream is ejected.
    double eject = 0;
    /// Ratio at which probes are worth their cost.
    double suspect = 0;
};

/// Thresholds that balance the cost of false ejections against the cost of
/// late detection.
/// @param requests_per_second what one upstream of the service receives
test_thresholds derive_thresholds(const state::health_costs& costs,
                                  double requests_per_second);

/// Running ratio; never below zero, so evidence from before a fault does not
/// delay its detection.
class sequential_test
{
public:
    void add(double ratio)
    {
        score_ = score_ + ratio > 0 ? score_ + ratio : 0;
    }
    void reset()
    {
        score_ = 0;
    }
    double score() const
    {
        return score_;
    }

private:
    double score_ = 0;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::health_signal>
{
    static constexpr std::array<std::string_view, 2> value{"errors", "latency"};
};

} // namespace oriolegrade::state

#endif
