// Random 128-bit identifiers: process incarnations, change ids and claim
// nonces.

#ifndef ORIOLEGRADE_STATE_IDENTIFIER_HPP
#define ORIOLEGRADE_STATE_IDENTIFIER_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::state {

/// 128-bit identifier. The all-zero value means "none".
struct identifier
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const identifier&) const = default;
    explicit operator bool() const
    {
        return high != 0 || low != 0;
    }
};

/// Formats the identifier as 32 lower-case hexadecimal digits.
std::string to_string(const identifier& id);

/// Parses the output of to_string(); empty for any other text.
std::optional<identifier> identifier_from_string(std::string_view text);

/// Generates an identifier with OpenSSL's cryptographic random generator.
identifier random_identifier();

struct identifier_hash
{
    std::size_t operator()(const identifier& id) const
    {
        return static_cast<std::size_t>(id.high ^
                                        (id.low * 0x9e3779b97f4a7c15));
    }
};

} // namespace oriolegrade::state

#endif
