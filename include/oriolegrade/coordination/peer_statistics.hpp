// Usual rates of errors and late answers among the upstreams of a service,
// over the last seconds. The baseline moves with load bursts.

#ifndef ORIOLEGRADE_COORDINATION_PEER_STATISTICS_HPP
#define ORIOLEGRADE_COORDINATION_PEER_STATISTICS_HPP

#include <oriolegrade/coordination/sequential_test.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <vector>

namespace oriolegrade::coordination {

/// Time constants of the baseline's windows: the long one sees rare errors, the
/// short one follows the onset of a load burst.
inline constexpr double baseline_seconds = 3.0;
inline constexpr double burst_baseline_seconds = 0.5;

/// Decaying counts of one upstream and class.
class recent_counts
{
public:
    recent_counts() = default;

    /// @param seconds time constant of the decay
    explicit recent_counts(double seconds)
        : seconds_(seconds)
    {}

    void add(const state::evidence_counts& counts, state::time_point now);

    /// Counts decayed to `now`.
    struct view
    {
        double errors = 0;
        double slow = 0;
        double judged = 0;
    };
    view at(state::time_point now) const;

private:
    view counts_;
    state::time_point last_{};
    double seconds_ = baseline_seconds;
};

/// Baseline from the better half of the upstreams: the worse half may be
/// failing without moving it, while a cause that all upstreams share does.
peer_baseline baseline_of(const std::vector<recent_counts::view>& upstreams);

} // namespace oriolegrade::coordination

#endif
