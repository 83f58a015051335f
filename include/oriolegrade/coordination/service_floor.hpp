// Capacity floor of a service as a pure function: it computes the standing of
// each upstream from verdicts, leaving set, ramp weights and capacities.

#ifndef ORIOLEGRADE_COORDINATION_SERVICE_FLOOR_HPP
#define ORIOLEGRADE_COORDINATION_SERVICE_FLOOR_HPP

#include <oriolegrade/coordination/health_event.hpp>
#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/state/upstream_state.hpp>

#include <cstdint>
#include <vector>

namespace oriolegrade::coordination {

/// Condition of one upstream before the floor is applied.
struct floor_input
{
    state::endpoint address;
    /// Capacity; an upstream without slots adds no capacity.
    std::uint32_t slots = 0;
    /// State according to the fleet's verdict; `leaving` when the upstream is
    /// in the leaving set.
    state::upstream_state state = state::upstream_state::in_service;
    /// Load that the verdict allows, relative to a healthy upstream, 0 to 1.
    double weight = 1.0;
    /// Share of failed and slow requests, 0 to 1.
    double severity = 0;
    /// Only this host avoids the upstream.
    bool avoided = false;
};

struct floor_result
{
    /// In the order of the input.
    std::vector<state::upstream_standing> standings;
    /// Sum of slots times weight; upstreams on trial are not counted.
    double capacity_slots = 0;
    /// False only when the total capacity of the upstreams that are not leaving
    /// is below the floor.
    bool floor_met = true;
    /// The host's own avoidance was ignored because it covered most of the
    /// service, which indicates a fault of the host.
    bool host_suspects_itself = false;
};

/// True when `a` is less fit for service than `b`. A strict weak order by
/// state, severity, weight and finally address, so that all hosts resolve ties
/// in the same way.
bool is_worse(const floor_input& a, const floor_input& b);

/// Weights are rounded down to a multiple of this fraction, so that sums of
/// capacities are exact and the comparison with the floor needs no tolerance.
inline constexpr double weight_step = 1.0 / 1024;

/// Computes the standings of a service.
///  - Leaving upstreams receive nothing, regardless of the floor.
///  - Capacity is at least the floor whenever the others can provide it.
///  - Upstreams are restored with full weight and in the order of is_worse(),
///    the fittest first. Restoring an upstream ends its trial: its state
///    becomes probing, and it receives requests of all classes.
/// @param floor_slots minimum capacity to keep in service
floor_result apply_floor(const std::vector<floor_input>& inputs,
                         std::uint32_t floor_slots);

/// Events for upstreams that the floor newly keeps or releases, and for a host
/// that newly suspects itself.
/// @param before earlier result; upstreams are matched by address
health_events floor_events(const floor_result& before,
                           const floor_result& after, state::time_point now);

} // namespace oriolegrade::coordination

#endif
