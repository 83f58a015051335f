// Token: grants the right to run one non-idempotent request, within one process
// incarnation.

#ifndef ORIOLEGRADE_STATE_TOKEN_HPP
#define ORIOLEGRADE_STATE_TOKEN_HPP

#include <oriolegrade/state/identifier.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::state {

using token_mac = std::array<std::uint8_t, 16>;

struct token
{
    /// Incarnation that may run the request; after a hand-over, its successor
    /// may instead.
    identifier incarnation;
    std::uint64_t sequence = 0;
    /// Expiry in milliseconds since the start of the incarnation, on its own
    /// clock.
    std::uint64_t expires_ms = 0;
    /// Digest of caller and route.
    identifier binding;
    token_mac mac{};

    bool operator==(const token&) const = default;
};

/// 66 bytes in base64url without padding.
inline constexpr std::size_t token_text_size = 88;
/// Size of the part of a token that the MAC covers.
inline constexpr std::size_t token_signed_size = 50;

/// The bytes of a token that the MAC covers.
std::array<std::uint8_t, token_signed_size> signed_bytes(const token& it);

std::string to_string(const token& it);

/// Parses the output of to_string(); empty for any other text.
std::optional<token> token_from_string(std::string_view text);

/// Digest that binds a token to a caller and a route.
identifier token_binding(std::string_view caller, std::string_view route);

} // namespace oriolegrade::state

#endif
