// Network endpoint of a host or upstream: an IPv4 address and a port.

#ifndef ORIOLEGRADE_STATE_ENDPOINT_HPP
#define ORIOLEGRADE_STATE_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::state {

/// IPv4 address and TCP or UDP port. Port 0 is never valid on the wire.
struct endpoint
{
    /// Address in host byte order.
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Formats the endpoint as `a.b.c.d:port`.
std::string to_string(const endpoint& ep);

/// Parses the output of to_string(); empty for host names, port 0 and any other
/// text.
std::optional<endpoint> endpoint_from_string(std::string_view text);

struct endpoint_hash
{
    std::size_t operator()(const endpoint& ep) const
    {
        const auto n =
            (static_cast<std::uint64_t>(ep.address) << 16U) | ep.port;
        return static_cast<std::size_t>(n * 0x9e3779b97f4a7c15);
    }
};

} // namespace oriolegrade::state

#endif
