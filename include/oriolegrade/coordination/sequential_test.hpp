// Sequential test (CUSUM of a log-likelihood ratio) of the hypothesis that an
// upstream fails against the hypothesis that it behaves like its peers. The
// log-likelihood ratios of independent hosts are additive.

#ifndef ORIOLEGRADE_COORDINATION_SEQUENTIAL_TEST_HPP
#define ORIOLEGRADE_COORDINATION_SEQUENTIAL_TEST_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/health_profile.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::coordination {

/// Signal that a test evaluates. Each signal has its own test, because failures
/// and slow responses have different baseline rates.
enum class health_signal : std::uint8_t
{
    errors,
    latency,
};

/// Probability of each signal among the peers of an upstream.
struct peer_baseline
{
    double error_rate = 0;
    double slow_rate = 0;
};

/// Minimum baseline rates that the test assumes. Background failures are 0.5%;
/// with a lower minimum, ordinary failures would be strong evidence. Connecting
/// to a live upstream fails far more rarely.
inline constexpr double min_error_rate = 0.005;
inline constexpr double min_slow_rate = 0.01;
inline constexpr double baseline_connect_failure_rate = 0.001;
/// Minimum rates of a failing upstream: the gray failure to be detected fails
/// one request in ten.
inline constexpr double gray_error_rate = 0.1;
inline constexpr double gray_slow_rate = 0.25;

/// Log-likelihood ratio of one request for one signal, by its result.
struct request_weights
{
    double bad = 0;
    double good = 0;
    /// For a connect failure, which is stronger evidence than other failures.
    double refused = 0;
};

request_weights derive_weights(health_signal signal,
                               const peer_baseline& baseline);

/// Log-likelihood ratio of the counts for one signal. Positive values indicate
/// a failing upstream. Shed requests are ignored.
double log_likelihood_ratio(health_signal signal,
                            const state::evidence_counts& counts,
                            const request_weights& weights);

struct test_thresholds
{
    /// Score at which an upstream is ejected.
    double eject = 0;
    /// Score from which frequent probes are worth their cost.
    double suspect = 0;
};

/// Thresholds that balance the cost of false ejections against the cost of
/// late detection.
/// @param requests_per_second request rate of one upstream of the service
test_thresholds derive_thresholds(const state::health_costs& costs,
                                  double requests_per_second);

/// Running sum of log-likelihood ratios. It never falls below zero, so that
/// evidence from before a fault does not delay its detection.
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
