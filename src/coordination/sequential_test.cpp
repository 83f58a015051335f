// Weights and thresholds of the sequential test.

#include <oriolegrade/coordination/sequential_test.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

using state::evidence_kind;

/// Prior fault rate of one upstream, per second: one fault a week.
constexpr double prior_fault_rate = 1.0 / (7 * 86400);
/// Information per request of a gray upstream (I) times the share of requests
/// that start an excursion of the score (k); both follow from the Bernoulli
/// model of the weights.
constexpr double excursion_factor = 0.01;
/// Bounds that keep the threshold usable with extreme costs or rates.
constexpr double min_threshold = 7.0;
constexpr double max_threshold = 40.0;
/// Range of request rates per second that is used for the threshold. At lower
/// rates too few requests are averaged for a lower threshold.
constexpr double min_request_rate = 30.0;
constexpr double max_request_rate = 1000.0;
/// Low enough that one unexpected failure triggers a few probes.
constexpr double suspect_share = 0.15;
/// Keeps the logarithms finite when nearly all requests to all upstreams fail.
constexpr double max_baseline_rate = 0.95;

/// Rate of a failing upstream when its peers have `baseline_rate`. The factor 3
/// prevents the score of an upstream slightly above a high common rate from
/// drifting upwards.
double failing_rate(double baseline_rate, double gray)
{
    return std::clamp(3 * baseline_rate, gray, (1 + baseline_rate) / 2);
}

request_weights weights_of(double baseline_rate, double gray)
{
    const double failing = failing_rate(baseline_rate, gray);
    const double bad = std::log(failing / baseline_rate);
    return {bad, std::log((1 - failing) / (1 - baseline_rate)), bad};
}

} // namespace

request_weights derive_weights(health_signal signal,
                               const peer_baseline& baseline)
{
    if (signal == health_signal::latency) {
        const double baseline_rate =
            std::clamp(baseline.slow_rate, min_slow_rate, max_baseline_rate);
        return weights_of(baseline_rate, gray_slow_rate);
    }
    const double baseline_rate =
        std::clamp(baseline.error_rate, min_error_rate, max_baseline_rate);
    auto weights = weights_of(baseline_rate, gray_error_rate);
    weights.refused +=
        std::log(std::max(baseline_rate / baseline_connect_failure_rate, 1.0));
    return weights;
}

double log_likelihood_ratio(health_signal signal,
                            const state::evidence_counts& counts,
                            const request_weights& weights)
{
    const double success = counts[evidence_kind::success];
    const double slow = counts[evidence_kind::slow];
    if (signal == health_signal::latency) {
        // Failed requests have no latency of a complete response.
        return slow * weights.bad + success * weights.good;
    }
    return counts[evidence_kind::failure] * weights.bad +
           counts[evidence_kind::connect_failure] * weights.refused +
           (success + slow) * weights.good;
}

// The cost per second of a threshold h is false_ejection * k * r * exp(-h)
// for false ejections plus prior_fault_rate * detection_second * h / (I * r)
// for late detection, with r requests per second, information I per request
// and the share k of requests that start an excursion. Its minimum is at
// h = log(ratio of costs * k * I * r^2 / prior_fault_rate).
test_thresholds derive_thresholds(const state::health_costs& costs,
                                  double requests_per_second)
{
    const double rate =
        std::clamp(requests_per_second, min_request_rate, max_request_rate);
    const double h =
        std::log(costs.false_ejection / costs.detection_second *
                 excursion_factor * rate * rate / prior_fault_rate);
    const double eject = std::clamp(h, min_threshold, max_threshold);
    return {eject, eject * suspect_share};
}

} // namespace oriolegrade::coordination
