// What becomes of a request before any route is looked up for it.

#ifndef ORIOLEGRADE_PROTOCOL_FORWARDING_HPP
#define ORIOLEGRADE_PROTOCOL_FORWARDING_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/reply_reason.hpp>

#include <optional>

namespace oriolegrade::protocol {

/// Brings a request into the form in which it is routed and forwarded.
/// @return why the host answers it itself; empty when it may be forwarded
std::optional<state::reply_reason> prepare_forwarding(request_head& head);

} // namespace oriolegrade::protocol

#endif
