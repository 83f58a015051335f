// Finds the route of a request by host and longest path prefix, and the
// workspace that sent it by its key.

#ifndef ORIOLEGRADE_STATE_ROUTE_INDEX_HPP
#define ORIOLEGRADE_STATE_ROUTE_INDEX_HPP

#include <oriolegrade/state/text_hash.hpp>
#include <oriolegrade/state/traffic_rules.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace oriolegrade::state {

/// Immutable. The cost of a lookup grows with the depth of the path and not
/// with the number of routes.
class route_index
{
public:
    explicit route_index(std::shared_ptr<const traffic_rules> rules);

    /// Route for a request, or null.
    /// @param host value of the Host field, with or without a port
    /// @param path without query
    const traffic_route* find(std::string_view host,
                              std::string_view path) const;

    /// Workspace that holds the key, or null. Allocates nothing.
    const traffic_workspace* find_workspace(std::string_view key) const;

    const traffic_rules& rules() const
    {
        return *rules_;
    }

private:
    std::shared_ptr<const traffic_rules> rules_;
    /// The key is host, line feed and path prefix; neither part contains a
    /// line feed.
    std::unordered_map<std::string, const traffic_route*> by_prefix_;
    text_map<const traffic_workspace*> by_key_;
};

/// Lower-case host without a port.
std::string normalize_host(std::string_view host_field);

/// Chooses the service for one request of a route, at random by weight.
/// @param random uniformly distributed 64-bit number
const std::string& choose_split_service(const traffic_route& route,
                                        std::uint64_t random);

} // namespace oriolegrade::state

#endif
