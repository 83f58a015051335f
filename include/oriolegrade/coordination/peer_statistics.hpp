// Baseline rates of errors and slow responses among the upstreams of a service
// over the last seconds. The baseline follows load bursts.

#ifndef ORIOLEGRADE_COORDINATION_PEER_STATISTICS_HPP
#define ORIOLEGRADE_COORDINATION_PEER_STATISTICS_HPP

#include <oriolegrade/coordination/sequential_test.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <vector>

namespace oriolegrade::coordination {

/// Time constants of the baseline's windows: the long one covers rare errors,
/// the short one follows the onset of a load burst.
inline constexpr double baseline_seconds = 3.0;
inline constexpr double burst_baseline_seconds = 0.5;

/// Decaying counts of requests.
struct signal_counts
{
    double errors = 0;
    double slow = 0;
    double requests = 0;

    void add(const state::evidence_counts& counts);
    void scale(double factor);
};

/// Factor by which counts decay in the time `passed`; 1 when it is negative.
/// @param seconds time constant
double decay_factor(state::duration passed, double seconds);

/// Counts that decay with the time constant of the long window.
class recent_counts
{
public:
    void add(const state::evidence_counts& counts, state::time_point now);
    /// Counts decayed to `now`.
    signal_counts at(state::time_point now) const;

private:
    signal_counts counts_;
    state::time_point last_{};
};

/// Baseline rates over the half of the upstreams with the lower rates. Failures
/// of the other half do not raise it, but a cause common to all upstreams does.
peer_baseline baseline_of(const std::vector<signal_counts>& upstreams);

} // namespace oriolegrade::coordination

#endif
