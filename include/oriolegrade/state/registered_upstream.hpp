// Upstreams that register themselves, and changes of the registry.

#ifndef ORIOLEGRADE_STATE_REGISTERED_UPSTREAM_HPP
#define ORIOLEGRADE_STATE_REGISTERED_UPSTREAM_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace oriolegrade::state {

enum class registration_state : std::uint8_t
{
    ready,
    draining,
};

template <>
struct enum_names<registration_state>
{
    static constexpr std::array<std::string_view, 2> value{"ready", "draining"};
};

/// Limit for the slots that an upstream may announce: with a false, larger
/// number the dispatcher would send it all requests. The users' upstreams have
/// 3 or 4.
inline constexpr std::uint32_t max_upstream_slots = 1U << 16U;

struct registered_upstream
{
    /// Unique among the upstreams running at the same time. An upstream may
    /// restart under its previous id.
    std::string id;
    std::string service;
    endpoint address;
    std::string data_centre;
    /// Requests that it runs at the same time; 1 to max_upstream_slots.
    std::uint32_t slots = 1;
    registration_state state = registration_state::ready;
    /// Remaining warm-up time when the registration was written.
    duration warmup_left{};
    /// Start of this incarnation, in Unix milliseconds.
    std::uint64_t born = 0;
    /// Increases with each registration of one incarnation.
    std::uint64_t sequence = 0;

    /// Sort key: of two entries with the same id, the later one has the larger
    /// key.
    std::pair<std::uint64_t, std::uint64_t> order() const
    {
        return {born, sequence};
    }
};

enum class registry_change_kind : std::uint8_t
{
    /// The upstream wrote or renewed its entry.
    written,
    /// The entry was removed from the registry.
    removed,
    /// The record cannot be decoded and says nothing about any upstream.
    unreadable,
};

template <>
struct enum_names<registry_change_kind>
{
    static constexpr std::array<std::string_view, 3> value{"written", "removed",
                                                           "unreadable"};
};

struct registry_change
{
    registry_change_kind kind = registry_change_kind::unreadable;
    std::string id;
    /// Set when written.
    std::optional<registered_upstream> entry;
};

} // namespace oriolegrade::state

#endif
