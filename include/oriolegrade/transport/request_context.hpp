// What is known about a request once it has been routed.

#ifndef ORIOLEGRADE_TRANSPORT_REQUEST_CONTEXT_HPP
#define ORIOLEGRADE_TRANSPORT_REQUEST_CONTEXT_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/configuration.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <string>

namespace oriolegrade::transport {

struct request_context
{
    protocol::request_head head;
    state::entry_ptr route;
    state::entry_ptr service;
    /// Name that the caller gave, or its address.
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

} // namespace oriolegrade::transport

#endif
