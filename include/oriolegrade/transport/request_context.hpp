// What is known about a request once it has been routed.

#ifndef ORIOLEGRADE_TRANSPORT_REQUEST_CONTEXT_HPP
#define ORIOLEGRADE_TRANSPORT_REQUEST_CONTEXT_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <string>

namespace oriolegrade::transport {

struct request_context
{
    protocol::request_head head;
    state::entry_ptr route;
    state::entry_ptr service;
    /// Name that the caller gave, or empty. Not its address: a repeat may
    /// come through another balancer, and must be known as the same request.
    std::string caller;
    state::time_point deadline;

    const state::route_spec& route_spec() const
    {
        return std::get<state::route_spec>(route->body);
    }
    const state::service_spec& service_spec() const
    {
        return std::get<state::service_spec>(service->body);
    }
};

/// What a host knows about earlier attempts before the owner has decided: a
/// request with a token or key may have run in one of them.
inline state::attempt_history
attempt_history_of(const protocol::http_fields& fields)
{
    using protocol::header_field;
    const bool named = fields.find(header_field::token) ||
                       fields.find(header_field::idempotency_key);
    return named ? state::attempt_history::earlier_attempts_possible
                 : state::attempt_history::only_attempt;
}

} // namespace oriolegrade::transport

#endif
