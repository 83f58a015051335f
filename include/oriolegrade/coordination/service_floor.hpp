// The floor of a service as one pure function: from verdicts, leaving set,
// ramp weights and capacities to what each upstream may receive.

#ifndef ORIOLEGRADE_COORDINATION_SERVICE_FLOOR_HPP
#define ORIOLEGRADE_COORDINATION_SERVICE_FLOOR_HPP

#include <oriolegrade/coordination/health_event.hpp>
#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/state/upstream_state.hpp>

#include <cstdint>
#include <vector>

namespace oriolegrade::coordination {

/// What is known about one upstream before the floor is applied.
struct floor_input
{
    state::endpoint address;
    /// Capacity; an upstream without slots adds nothing.
    std::uint32_t slots = 0;
    /// State of the fleet's verdict; `leaving` when in the leaving set.
    state::upstream_state state = state::upstream_state::in_service;
    /// Share of a healthy upstream's work that the verdict allows, 0 to 1.
    double weight = 1.0;
    /// How unhealthy the upstream is: share of bad requests, 0 to 1.
    double severity = 0;
    /// This host alone avoids the upstream.
    bool avoided = false;
};

struct floor_result
{
    /// In the order of the input.
    std::vector<state::upstream_standing> standings;
    /// Slots in service times their weights; trials are not counted.
    double capacity_slots = 0;
    /// False only when all upstreams that do not leave together have less.
    bool floor_met = true;
    /// The host's own avoidance was set aside, because it covered most of the
    /// service: the fault is then likely the host's.
    bool host_suspects_itself = false;
};

/// True when `a` is less fit for service than `b`. A strict weak order by
/// state, severity, and at last address, so that all hosts agree on ties.
bool is_worse(const floor_input& a, const floor_input& b);

/// Weights are rounded down to this fraction, so that sums of capacities are
/// exact and the comparison with the floor needs no tolerance.
inline constexpr double weight_step = 1.0 / 1024;

/// Decides the standings of a service.
///  - Leaving upstreams receive nothing, whatever the floor.
///  - Capacity is at least the floor whenever the others can provide it.
///  - Upstreams come back whole and in the order of is_worse: a worse one
///    never before a better one. A trial that comes back is over: its state
///    becomes probing, and it receives every kind of work.
/// @param floor_slots least capacity to keep in service
floor_result apply_floor(const std::vector<floor_input>& inputs,
                         std::uint32_t floor_slots);

/// Events for what the floor newly keeps or releases.
/// @param before earlier result; upstreams are matched by address
health_events floor_events(const floor_result& before,
                           const floor_result& after, state::time_point now);

} // namespace oriolegrade::coordination

#endif
