// Standing of an upstream on a host: the result of the health decisions, read
// by the picker.

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
    /// Back in service; its weight increases in steps.
    ramping,
    /// Receives only a few requests, all idempotent.
    trial,
    /// Receives probes only.
    probing,
    ejected,
    /// Receives no new requests; requests in flight complete.
    leaving,
};

template <>
struct enum_names<upstream_state>
{
    static constexpr std::array<std::string_view, 6> value{
        "in_service", "ramping", "trial", "probing", "ejected", "leaving"};
};

/// Requests that one upstream may receive.
struct upstream_standing
{
    endpoint address;
    upstream_state state = upstream_state::in_service;
    /// Load relative to a healthy upstream, from 0 to 1.
    double weight = 1.0;
    /// Unfit for service, but needed to keep the service's floor.
    bool kept_by_floor = false;

    bool operator==(const upstream_standing&) const = default;
};

} // namespace oriolegrade::state

#endif
