// State machine for the ejection of an upstream and its return to service:
// ejected, probing, trial, ramping, in service. Each failed return raises the
// requirements of the next one.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_LIFECYCLE_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_LIFECYCLE_HPP

#include <oriolegrade/coordination/health_event.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/state/upstream_state.hpp>

#include <cstdint>
#include <optional>

namespace oriolegrade::coordination {

/// Hold-down after the first ejection; doubles with each flap level.
inline constexpr state::duration base_hold_down = std::chrono::seconds(2);
inline constexpr std::uint32_t max_flap_level = 6;
/// Time in service after which the flap level falls by one.
inline constexpr state::duration flap_decay_interval = std::chrono::minutes(2);
/// Probes and trial requests needed at flap level 0.
inline constexpr std::uint32_t base_probes_required = 2;
inline constexpr std::uint32_t base_trial_successes = 10;
/// Rounds of failed probes after which the trial starts nevertheless. A health
/// endpoint that wrongly reports unhealthy must not keep capacity out of
/// service.
inline constexpr std::uint32_t max_failed_probe_rounds = 5;
/// A trial without failures ends after this time even with few requests.
inline constexpr state::duration max_trial_duration = std::chrono::seconds(60);
inline constexpr state::duration probe_interval =
    std::chrono::milliseconds(200);
/// Long enough for cold caches to fill.
inline constexpr state::duration ramp_duration = std::chrono::seconds(10);
inline constexpr int ramp_steps = 10;
inline constexpr double trial_weight = 0.05;

/// State machine of one upstream at its collector.
class upstream_lifecycle
{
public:
    state::upstream_state state() const
    {
        return state_;
    }
    /// Load relative to a healthy upstream, 0 to 1.
    double weight(state::time_point now) const;
    std::uint32_t flap_level() const
    {
        return flap_level_;
    }

    /// Takes the upstream out of service. No effect when it already is.
    std::optional<health_event> eject(state::time_point now);

    /// True when no probe was started within `interval`.
    bool probe_due(state::time_point now, state::duration interval) const;
    void probe_started(state::time_point now);
    /// Adds the result of a probe. Ignored in states other than probing.
    std::optional<health_event> probe_result(bool healthy,
                                             state::time_point now);
    /// Adds evidence of requests during the trial. Ignored in other states.
    std::optional<health_event>
    trial_result(const state::evidence_counts& counts, state::time_point now);

    /// Applies time-based transitions: end of hold-down, trial and ramp, and
    /// decay of the flap level.
    std::optional<health_event> advance(state::time_point now);

    std::optional<health_event> leave(state::time_point now);
    /// A leaving upstream has returned. It ramps up, because its caches are
    /// cold.
    std::optional<health_event> rejoin(state::time_point now);

private:
    health_event transition_to(state::upstream_state next,
                               health_event_kind kind, state::time_point now);
    health_event start_ejection(state::time_point now);
    state::duration hold_down() const;
    std::uint32_t trial_successes_required() const
    {
        return base_trial_successes << flap_level_;
    }

    state::upstream_state state_ = state::upstream_state::in_service;
    /// Start of the current state.
    state::time_point state_entered_{};
    state::time_point last_probe_{};
    /// Last change of the flap level.
    state::time_point flap_level_changed_{};
    /// Number of recent ejections minus one; at most max_flap_level.
    std::uint32_t flap_level_ = 0;
    bool ejected_before_ = false;
    std::uint32_t probes_passed_ = 0;
    std::uint32_t probe_rounds_failed_ = 0;
    state::evidence_counts trial_;
};

} // namespace oriolegrade::coordination

#endif
