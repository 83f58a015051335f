// Result of one attempt of a request at one upstream.

#ifndef ORIOLEGRADE_STATE_ATTEMPT_RESULT_HPP
#define ORIOLEGRADE_STATE_ATTEMPT_RESULT_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::state {

enum class attempt_result : std::uint8_t
{
    /// The complete answer was received.
    answered,
    /// No byte of the request was written, for example because the connect
    /// failed.
    not_sent,
    /// The upstream refused the request with its documented shed response.
    shed,
    /// Bytes were written; the connection ended before the answer was complete.
    lost,
    /// Bytes were written; the deadline passed before the answer was complete.
    expired,
    /// The deadline passed before any byte was written.
    expired_unsent,
    /// The caller's own connection failed.
    caller_lost,
    /// A complete answer reported a fault of the upstream; another upstream may
    /// succeed.
    faulted,
};

template <>
struct enum_names<attempt_result>
{
    static constexpr std::array<std::string_view, 8> value{
        "answered", "not_sent",       "shed",        "lost",
        "expired",  "expired_unsent", "caller_lost", "faulted"};
};

} // namespace oriolegrade::state

#endif
