// Whether a request with an unknown outcome may be resent, and its priority
// under overload.

#ifndef ORIOLEGRADE_STATE_REQUEST_CLASS_HPP
#define ORIOLEGRADE_STATE_REQUEST_CLASS_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::state {

enum class request_class : std::uint8_t
{
    /// May be retried and hedged.
    idempotent,
    /// Runs at most once; requires a token or a key.
    non_idempotent,
    /// The upstream deduplicates by request id, so a retry is safe.
    idempotent_by_upstream,
};

template <>
struct enum_names<request_class>
{
    static constexpr std::array<std::string_view, 3> value{
        "idempotent", "non_idempotent", "idempotent_by_upstream"};
};

enum class priority : std::uint8_t
{
    low,
    normal,
    high,
};

template <>
struct enum_names<priority>
{
    static constexpr std::array<std::string_view, 3> value{"low", "normal",
                                                           "high"};
};

} // namespace oriolegrade::state

#endif
