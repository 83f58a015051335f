// SHA-256 digests of lists of text fields.

#ifndef ORIOLEGRADE_STATE_DIGEST_HPP
#define ORIOLEGRADE_STATE_DIGEST_HPP

#include <oriolegrade/state/identifier.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <initializer_list>
#include <string_view>

namespace oriolegrade::state {

struct digest256
{
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const digest256&) const = default;
};

struct digest256_hash
{
    std::size_t operator()(const digest256& it) const
    {
        std::size_t head = 0;
        std::memcpy(&head, it.bytes.data(), sizeof head);
        return head;
    }
};

/// Digest of the fields. Each is hashed with its length, so that a byte that
/// moves from one field to the next changes the digest.
digest256 digest_of(std::initializer_list<std::string_view> fields);

/// First 128 bits of digest_of().
identifier short_digest_of(std::initializer_list<std::string_view> fields);

} // namespace oriolegrade::state

#endif
