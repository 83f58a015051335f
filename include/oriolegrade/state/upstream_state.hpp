// Standing of an upstream on a host: what the health decisions say and what
// the picker reads.

#ifndef ORIOLEGRADE_STATE_UPSTREAM_STATE_HPP
#define ORIOLEGRADE_STATE_UPSTREAM_STATE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::state {

enum class upstream_state : std::uint8_t
{
    in_service,
    /// Back in service with a growing share of work.
    ramping,
    /// Receives few requests, idempotent ones only.
    trial,
    /// Receives probes only.
    probing,
    ejected,
    /// Takes no new work; requests in flight finish.
    leaving,
};

template <>
struct enum_names<upstream_state>
{
    static constexpr std::array<std::string_view, 6> value{
        "in_service", "ramping", "trial", "probing", "ejected", "leaving"};
};

/// What one upstream may receive.
struct upstream_standing
{
    endpoint address;
    upstream_state state = upstream_state::in_service;
    /// Share of a healthy upstream's work, from 0 to 1.
    double weight = 1.0;
    /// Judged unfit, but needed to keep the service's floor.
    bool kept_by_floor = false;

    bool operator==(const upstream_standing&) const = default;
};

} // namespace oriolegrade::state

#endif
