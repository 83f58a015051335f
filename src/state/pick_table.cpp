// Builds pick tables from a service and the standings of its upstreams.

#include <oriolegrade/state/pick_table.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::state {

namespace {

/// Standing of an address; in service when none is known.
upstream_standing standing_of(std::span<const upstream_standing> standings,
                              const endpoint& address)
{
    const auto it = std::find_if(
        standings.begin(), standings.end(),
        [&](const upstream_standing& s) { return s.address == address; });
    return it == standings.end() ? upstream_standing{address} : *it;
}

double weight_of(const upstream_standing& s)
{
    switch (s.state) {
    case upstream_state::in_service:
    case upstream_state::ramping:
        return std::clamp(s.weight, 0.0, 1.0);
    case upstream_state::trial:
        return 1.0;
    case upstream_state::probing:
    case upstream_state::ejected:
        // Upstreams kept by the floor must receive requests, so a weight of
        // zero, normal in these states, does not exclude them.
        return s.kept_by_floor ? (s.weight > 0 ? std::min(s.weight, 1.0) : 1.0)
                               : 0.0;
    case upstream_state::leaving:
        return 0.0;
    }
    return 0.0;
}

} // namespace

std::shared_ptr<upstream_load>
upstream_load_registry::load_of(const endpoint& address)
{
    auto& known = loads_[address];
    auto load = known.lock();
    if (!load) {
        load = std::make_shared<upstream_load>();
        known = load;
    }
    return load;
}

void upstream_load_registry::prune()
{
    std::erase_if(loads_, [](const auto& it) { return it.second.expired(); });
}

std::shared_ptr<const pick_table>
build_pick_table(const service_spec& spec,
                 std::span<const upstream_standing> standings,
                 std::span<const subset_member> members,
                 upstream_load_registry& loads, const pick_table* previous)
{
    auto table = std::make_shared<pick_table>();
    table->service =
        previous ? previous->service : std::make_shared<service_load>();
    table->candidates.reserve(members.size());
    for (const auto& member : members) {
        assert(member.index < spec.upstreams.size());
        const auto& up = spec.upstreams[member.index];
        const auto standing = standing_of(standings, up.address);
        table->candidates.push_back(
            {up.address, loads.load_of(up.address), up.slots, up.data_centre,
             weight_of(standing), standing.state == upstream_state::trial,
             standing.kept_by_floor, member.max_connections,
             member.same_data_centre});
    }
    return table;
}

} // namespace oriolegrade::state
