// Decoded configuration records, which operators publish for services, routes
// and workspaces.

#ifndef ORIOLEGRADE_STATE_RECORD_TYPE_HPP
#define ORIOLEGRADE_STATE_RECORD_TYPE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/health_profile.hpp>
#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/request_class.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolegrade::state {

enum class record_kind : std::uint8_t
{
    service,
    route,
    workspace,
};

template <>
struct enum_names<record_kind>
{
    static constexpr std::array<std::string_view, 3> value{"service", "route",
                                                           "workspace"};
};

/// Identity of a configuration entry. Schema versions of one name are separate
/// entries that can be in force at the same time.
struct record_key
{
    record_kind kind = record_kind::service;
    std::string name;
    std::uint32_t schema_version = 1;

    auto operator<=>(const record_key&) const = default;
};

/// One server of a service.
struct upstream_spec
{
    endpoint address;
    std::string data_centre;
    /// Requests that the server runs concurrently; at least 1.
    std::uint32_t slots = 1;
    /// Connections that the server accepts from all hosts together.
    std::uint32_t max_connections = 1;

    bool operator==(const upstream_spec&) const = default;
};

/// A service with its upstreams, as one schema version describes it.
struct service_spec
{
    /// Addresses are unique.
    std::vector<upstream_spec> upstreams;
    /// Minimum capacity to keep in service, in slots; at most the sum of all
    /// upstreams' slots.
    std::uint32_t floor_slots = 0;
    health_costs costs;
    /// Schema version 1 only, as published; floor_slots and costs are derived
    /// from them.
    std::optional<std::uint32_t> floor_percent = std::nullopt;
    std::optional<health_profile> profile = std::nullopt;

    bool operator==(const service_spec&) const = default;
};

/// Handling of the requests that match a path and method.
struct route_spec
{
    /// Begins with '/'; matches whole path segments.
    std::string path_prefix;
    /// Upper-case HTTP methods; at least one.
    std::vector<std::string> methods;
    std::string service;
    request_class request = request_class::non_idempotent;
    duration deadline{};
    std::uint64_t max_request_bytes = 0;
    std::uint64_t max_response_bytes = 0;
    /// Attempts including the first; 1 for a non-idempotent route.
    std::uint32_t max_attempts = 1;
    bool hedge = false;
    priority order = priority::normal;
    /// A non-idempotent request with neither token nor key gets one attempt.
    bool allow_unkeyed = false;

    bool operator==(const route_spec&) const = default;
};

/// Limits of one workspace.
struct workspace_spec
{
    double requests_per_second = 0;
    std::uint32_t burst = 0;
    std::uint32_t max_concurrent = 0;

    bool operator==(const workspace_spec&) const = default;
};

using record_body = std::variant<service_spec, route_spec, workspace_spec>;

/// A published change of one entry.
struct record
{
    record_key key;
    /// Revision that the change is based on; 0 creates the entry.
    std::uint64_t base_revision = 0;
    /// Unique; identifies the record in the log.
    identifier change_id;
    std::string operator_name;
    record_body body;

    bool operator==(const record&) const = default;
};

} // namespace oriolegrade::state

#endif
