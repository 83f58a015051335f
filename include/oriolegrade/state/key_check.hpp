// Decides by its key whether a request is passed, and for which workspace.

#ifndef ORIOLEGRADE_STATE_KEY_CHECK_HPP
#define ORIOLEGRADE_STATE_KEY_CHECK_HPP

#include <oriolegrade/state/route_index.hpp>
#include <oriolegrade/state/traffic_rules.hpp>

#include <cstdint>
#include <string_view>

namespace oriolegrade::state {

/// What the key of a request says of it.
struct key_check
{
    /// False when the request needs a key that is known and has none.
    bool passes = true;
    /// Null for a request of nobody.
    const traffic_workspace* workspace = nullptr;
};

/// Looks the key up once; allocates nothing.
/// @param route of the same rules
/// @param key empty for a request without one
inline key_check check_key(const route_index& index, const traffic_route& route,
                           std::string_view key)
{
    if (!index.rules().requires_keys) {
        return {};
    }
    const auto* workspace = index.find_workspace(key);
    return {workspace != nullptr || route.is_public, workspace};
}

/// Urgency of a request: the workspace goes before the route.
inline std::uint32_t rank_of(const traffic_route& route,
                             const traffic_workspace* workspace)
{
    return workspace != nullptr ? workspace->rank.value_or(route.rank)
                                : route.rank;
}

} // namespace oriolegrade::state

#endif
