// Transitions of the state machine of one upstream.

#include <oriolegrade/coordination/upstream_lifecycle.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

using state::evidence_kind;
using state::upstream_state;

namespace {

std::uint64_t bad_requests(const state::evidence_counts& counts)
{
    return std::uint64_t{counts[evidence_kind::failure]} +
           counts[evidence_kind::slow] + counts[evidence_kind::connect_failure];
}

} // namespace

double upstream_lifecycle::weight(state::time_point now) const
{
    switch (state_) {
    case upstream_state::in_service:
        return 1.0;
    case upstream_state::trial:
        return trial_weight;
    case upstream_state::ramping: {
        // In steps, so that a ramp needs few messages.
        const auto step = (now - state_entered_) * ramp_steps / ramp_duration;
        const auto n = std::clamp<std::int64_t>(step + 1, 1, ramp_steps);
        return static_cast<double>(n) / ramp_steps;
    }
    case upstream_state::probing:
    case upstream_state::ejected:
    case upstream_state::leaving:
        break;
    }
    return 0;
}

std::optional<health_event> upstream_lifecycle::eject(state::time_point now)
{
    switch (state_) {
    case upstream_state::in_service:
    case upstream_state::ramping:
    case upstream_state::trial:
        return start_ejection(now);
    default:
        return std::nullopt;
    }
}

health_event upstream_lifecycle::start_ejection(state::time_point now)
{
    if (ejected_before_) {
        flap_level_ = std::min(flap_level_ + 1, max_flap_level);
    }
    ejected_before_ = true;
    probe_rounds_failed_ = 0;
    flap_level_changed_ = now;
    return transition_to(upstream_state::ejected, health_event_kind::ejected,
                         now);
}

state::duration upstream_lifecycle::hold_down() const
{
    return base_hold_down * (1U << flap_level_);
}

bool upstream_lifecycle::probe_due(state::time_point now,
                                   state::duration interval) const
{
    return now - last_probe_ >= interval;
}

void upstream_lifecycle::probe_started(state::time_point now)
{
    last_probe_ = now;
}

std::optional<health_event>
upstream_lifecycle::probe_result(bool healthy, state::time_point now)
{
    if (state_ != upstream_state::probing) {
        return std::nullopt;
    }
    if (healthy) {
        ++probes_passed_;
    } else if (++probe_rounds_failed_ < max_failed_probe_rounds) {
        // Another hold-down at the same flap level: a failed probe does not
        // count as a failed return.
        state_ = upstream_state::ejected;
        state_entered_ = now;
        return std::nullopt;
    }
    if (healthy && probes_passed_ < base_probes_required + flap_level_) {
        return std::nullopt;
    }
    probe_rounds_failed_ = 0;
    return transition_to(upstream_state::trial, health_event_kind::trial, now);
}

std::optional<health_event>
upstream_lifecycle::trial_result(const state::evidence_counts& counts,
                                 state::time_point now)
{
    if (state_ != upstream_state::trial) {
        return std::nullopt;
    }
    trial_.add(counts);
    const auto needed = trial_successes_required();
    if (bad_requests(trial_) > needed / 20) {
        const auto evidence = trial_;
        auto event = start_ejection(now);
        event.evidence = evidence;
        return event;
    }
    if (trial_[evidence_kind::success] < needed) {
        return std::nullopt;
    }
    const auto evidence = trial_;
    auto event =
        transition_to(upstream_state::ramping, health_event_kind::ramping, now);
    event.evidence = evidence;
    return event;
}

std::optional<health_event> upstream_lifecycle::advance(state::time_point now)
{
    const auto age = now - state_entered_;
    switch (state_) {
    case upstream_state::ejected:
        if (age >= hold_down()) {
            return transition_to(upstream_state::probing,
                                 health_event_kind::probing, now);
        }
        break;
    case upstream_state::trial:
        if (age >= max_trial_duration && bad_requests(trial_) == 0 &&
            trial_[evidence_kind::success] > 0) {
            return transition_to(upstream_state::ramping,
                                 health_event_kind::ramping, now);
        }
        break;
    case upstream_state::ramping:
        if (age >= ramp_duration) {
            flap_level_changed_ = now;
            return transition_to(upstream_state::in_service,
                                 health_event_kind::returned, now);
        }
        break;
    case upstream_state::in_service:
        if (ejected_before_ &&
            now - flap_level_changed_ >= flap_decay_interval) {
            flap_level_changed_ = now;
            ejected_before_ = flap_level_ > 0;
            flap_level_ -= flap_level_ > 0 ? 1 : 0;
        }
        break;
    case upstream_state::probing:
    case upstream_state::leaving:
        break;
    }
    return std::nullopt;
}

std::optional<health_event> upstream_lifecycle::leave(state::time_point now)
{
    if (state_ == upstream_state::leaving) {
        return std::nullopt;
    }
    return transition_to(upstream_state::leaving, health_event_kind::leaving,
                         now);
}

std::optional<health_event> upstream_lifecycle::rejoin(state::time_point now)
{
    if (state_ != upstream_state::leaving) {
        return std::nullopt;
    }
    return transition_to(upstream_state::ramping, health_event_kind::rejoined,
                         now);
}

health_event upstream_lifecycle::transition_to(upstream_state next,
                                               health_event_kind kind,
                                               state::time_point now)
{
    state_ = next;
    state_entered_ = now;
    probes_passed_ = 0;
    trial_ = {};
    health_event event;
    event.kind = kind;
    event.at = now;
    event.flap_level = flap_level_;
    return event;
}

} // namespace oriolegrade::coordination
