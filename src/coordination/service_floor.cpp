// Capacity floor of a service.

#include <oriolegrade/coordination/service_floor.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace oriolegrade::coordination {

namespace {

using state::upstream_state;

/// Rank in which upstreams are restored, lowest first. A ramping upstream has
/// passed its trial, so it ranks before an upstream in service that this host
/// avoids.
int rank_of(const floor_input& it)
{
    switch (it.state) {
    case upstream_state::in_service:
        return it.avoided ? 2 : 0;
    case upstream_state::ramping:
        return it.avoided ? 3 : 1;
    case upstream_state::trial:
        return 4;
    case upstream_state::probing:
        return 5;
    case upstream_state::ejected:
        return 6;
    case upstream_state::leaving:
        return 7;
    }
    return 7;
}

bool is_leaving(const floor_input& it)
{
    return it.state == upstream_state::leaving;
}

bool serves(const floor_input& it)
{
    return it.state == upstream_state::in_service ||
           it.state == upstream_state::ramping;
}

/// When a host avoids more than half of the upstreams that the fleet has in
/// service, the fault is likely the host's.
bool avoids_majority(const std::vector<floor_input>& inputs)
{
    std::size_t serving = 0;
    std::size_t avoided = 0;
    for (const auto& it : inputs) {
        if (serves(it)) {
            ++serving;
            avoided += it.avoided ? 1 : 0;
        }
    }
    return 2 * avoided > serving;
}

double rounded_weight(double weight)
{
    if (!(weight > 0)) {
        return 0;
    }
    return std::floor(std::min(weight, 1.0) / weight_step) * weight_step;
}

/// Standing of an upstream before any is restored to meet the floor.
state::upstream_standing initial_standing(const floor_input& it)
{
    state::upstream_standing s{it.address, it.state, 0, false};
    if (it.state == upstream_state::trial || (serves(it) && !it.avoided)) {
        s.weight = rounded_weight(it.weight);
    }
    return s;
}

/// Upstreams on trial receive too few requests to count as capacity.
double capacity_of(const floor_input& it, const state::upstream_standing& s)
{
    return s.state == upstream_state::trial && !s.kept_by_floor
               ? 0
               : s.weight * it.slots;
}

/// Upstreams that may be restored, fittest first.
std::vector<std::size_t>
restore_candidates(const std::vector<floor_input>& inputs,
                   const floor_result& result)
{
    std::vector<std::size_t> order;
    for (std::size_t n = 0; n < inputs.size(); ++n) {
        const auto& it = inputs[n];
        const bool whole = capacity_of(it, result.standings[n]) >= it.slots;
        if (!is_leaving(it) && !whole) {
            order.push_back(n);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return is_worse(inputs[b], inputs[a]);
    });
    return order;
}

void restore_to_floor(const std::vector<floor_input>& inputs,
                      std::uint32_t floor_slots, floor_result& result)
{
    for (const auto n : restore_candidates(inputs, result)) {
        if (result.capacity_slots >= floor_slots) {
            return;
        }
        auto& s = result.standings[n];
        result.capacity_slots -= capacity_of(inputs[n], s);
        s.weight = 1.0;
        s.kept_by_floor = true;
        if (s.state == upstream_state::trial) {
            s.state = upstream_state::probing;
        }
        result.capacity_slots += inputs[n].slots;
    }
}

} // namespace

bool is_worse(const floor_input& a, const floor_input& b)
{
    // Among ramping upstreams the one with the higher weight is fitter.
    return std::make_tuple(rank_of(a), a.severity, -a.weight, a.address) >
           std::make_tuple(rank_of(b), b.severity, -b.weight, b.address);
}

floor_result apply_floor(const std::vector<floor_input>& inputs,
                         std::uint32_t floor_slots)
{
    floor_result result;
    result.host_suspects_itself = avoids_majority(inputs);
    auto effective = inputs;
    if (result.host_suspects_itself) {
        for (auto& it : effective) {
            it.avoided = false;
        }
    }
    result.standings.reserve(effective.size());
    for (const auto& it : effective) {
        result.standings.push_back(initial_standing(it));
        result.capacity_slots += capacity_of(it, result.standings.back());
    }
    if (result.capacity_slots < floor_slots) {
        restore_to_floor(effective, floor_slots, result);
    }
    result.floor_met = result.capacity_slots >= floor_slots;
    return result;
}

health_events floor_events(const floor_result& before,
                           const floor_result& after, state::time_point now)
{
    health_events events;
    const auto kept_before = [&](const state::endpoint& address) {
        return std::any_of(before.standings.begin(), before.standings.end(),
                           [&](const state::upstream_standing& it) {
                               return it.address == address && it.kept_by_floor;
                           });
    };
    const auto add = [&](health_event_kind kind,
                         const state::endpoint& address) {
        health_event event;
        event.kind = kind;
        event.at = now;
        event.upstream = address;
        event.score = after.capacity_slots;
        events.push_back(event);
    };
    for (const auto& it : after.standings) {
        if (it.kept_by_floor != kept_before(it.address)) {
            add(it.kept_by_floor ? health_event_kind::kept_by_floor
                                 : health_event_kind::released_by_floor,
                it.address);
        }
    }
    if (after.host_suspects_itself && !before.host_suspects_itself) {
        add(health_event_kind::host_suspected, {});
    }
    return events;
}

} // namespace oriolegrade::coordination
