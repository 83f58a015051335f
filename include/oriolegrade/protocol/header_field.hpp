// Names of the HTTP header fields that the system reads and writes.

#ifndef ORIOLEGRADE_PROTOCOL_HEADER_FIELD_HPP
#define ORIOLEGRADE_PROTOCOL_HEADER_FIELD_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace oriolegrade::protocol {

enum class header_field : std::uint8_t
{
    /// On responses made by the system: ran, not-run or unknown.
    outcome,
    /// Idempotency token, on requests and on responses that offer one.
    token,
    /// Request field: the caller wants a token with the response.
    token_request,
    /// Schema version of the service that the caller speaks.
    schema,
    /// Milliseconds left until the request's deadline.
    deadline_ms,
    /// Response field of an upstream: slots in use and in all, `3/4`.
    load,
    /// Response field of an upstream that is about to leave: `1`.
    draining,
    /// Response field of an upstream that refused the request unrun: `1`.
    shed,
    workspace,
    caller,
    /// Key between own processes.
    fleet_key,
    /// Key that the caller chose for a non-idempotent request.
    idempotency_key,
};

/// True for header fields that belong to one connection and are never
/// forwarded (RFC 9110, section 7.6.1).
bool is_hop_by_hop(std::string_view name);

} // namespace oriolegrade::protocol

namespace oriolegrade::state {

template <>
struct enum_names<protocol::header_field>
{
    static constexpr std::array<std::string_view, 12> value{
        "Oriolegrade-Outcome",       "Oriolegrade-Token",
        "Oriolegrade-Token-Request", "Oriolegrade-Schema",
        "Oriolegrade-Deadline-Ms",   "Oriolegrade-Load",
        "Oriolegrade-Draining",      "Oriolegrade-Shed",
        "Oriolegrade-Workspace",     "Oriolegrade-Caller",
        "oriolegrade-fleet-key",     "Idempotency-Key",
    };
};

} // namespace oriolegrade::state

#endif
