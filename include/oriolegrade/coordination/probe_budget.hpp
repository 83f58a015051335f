// Probe budget of a service for the whole fleet: only the service's collector
// requests probes.

#ifndef ORIOLEGRADE_COORDINATION_PROBE_BUDGET_HPP
#define ORIOLEGRADE_COORDINATION_PROBE_BUDGET_HPP

#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <cstdint>

namespace oriolegrade::coordination {

/// Load of one probe on an upstream, in seconds of one slot.
inline constexpr double probe_cost_seconds = 0.025;
/// Share of a service's slots that probes may use.
inline constexpr double probe_slot_share = 0.015;
/// Minimum for small services, in probes per second.
inline constexpr double min_probe_rate = 4.0;
/// Bucket size, in probes. Enough to confirm or refute a suspicion within about
/// a second.
inline constexpr double probe_burst = 40.0;

/// Token bucket of probes.
class probe_budget
{
public:
    /// @param slots total slots of the service
    void set_slots(std::uint64_t slots)
    {
        rate_ =
            std::max(min_probe_rate, static_cast<double>(slots) *
                                         probe_slot_share / probe_cost_seconds);
    }
    /// Takes one probe from the budget; false when it is exhausted.
    bool take(state::time_point now)
    {
        const auto passed = std::chrono::duration<double>(now - last_).count();
        tokens_ =
            std::min(probe_burst, tokens_ + std::max(passed, 0.0) * rate_);
        last_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double rate_ = min_probe_rate;
    double tokens_ = probe_burst;
    state::time_point last_{};
};

} // namespace oriolegrade::coordination

#endif
