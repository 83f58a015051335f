// Conversion of configuration entries from and to protobuf.

#include "entry_message.hpp"

#include <oriolegrade/protocol/record_json.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace oriolegrade::protocol {

namespace {

void write_body(const state::service_spec& from, wire::config_entry& entry)
{
    auto& to = *entry.mutable_service();
    for (const auto& it : from.upstreams) {
        auto& upstream = *to.add_upstreams();
        upstream.set_endpoint(packed(it.address));
        upstream.set_data_centre(it.data_centre);
        upstream.set_slots(it.slots);
        upstream.set_max_connections(it.max_connections);
    }
    to.set_floor_slots(from.floor_slots);
    to.set_false_ejection_cost(from.costs.false_ejection);
    to.set_detection_second_cost(from.costs.detection_second);
    if (from.floor_percent) {
        to.set_floor_percent(*from.floor_percent);
    }
    if (from.profile) {
        to.set_health_profile(
            static_cast<std::uint32_t>(index_of(*from.profile)));
    }
}

void write_body(const state::route_spec& from, wire::config_entry& entry)
{
    auto& to = *entry.mutable_route();
    to.set_path_prefix(from.path_prefix);
    for (const auto& it : from.methods) {
        to.add_methods(it);
    }
    to.set_service(from.service);
    to.set_request_class(static_cast<std::uint32_t>(index_of(from.request)));
    to.set_deadline_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(from.deadline)
            .count()));
    to.set_max_request_bytes(from.max_request_bytes);
    to.set_max_response_bytes(from.max_response_bytes);
    to.set_max_attempts(from.max_attempts);
    to.set_hedge(from.hedge);
    to.set_priority(static_cast<std::uint32_t>(index_of(from.order)));
    to.set_allow_unkeyed(from.allow_unkeyed);
}

void write_body(const state::workspace_spec& from, wire::config_entry& entry)
{
    auto& to = *entry.mutable_workspace();
    to.set_requests_per_second(from.requests_per_second);
    to.set_burst(from.burst);
    to.set_max_concurrent(from.max_concurrent);
}

bool is_cost(double cost)
{
    return std::isfinite(cost) && cost > 0 && cost <= max_cost;
}

state::upstream_spec read_upstream(const wire::upstream_body& from,
                                   const message_check& check)
{
    state::upstream_spec to;
    to.address = check.endpoint(from.endpoint(), "endpoint");
    to.data_centre = from.data_centre();
    check.require_name(to.data_centre, "data_centre");
    to.slots = from.slots();
    check.require(to.slots >= 1 && to.slots <= max_slots, "slots",
                  "is out of range");
    to.max_connections = from.max_connections();
    check.require(to.max_connections >= 1 &&
                      to.max_connections <= max_connections_per_upstream,
                  "max_connections", "is out of range");
    return to;
}

std::vector<state::upstream_spec> read_upstreams(const wire::service_body& from,
                                                 const message_check& check)
{
    std::vector<state::upstream_spec> to;
    const auto count = static_cast<std::size_t>(from.upstreams_size());
    if (!check.require(count >= 1 && count <= max_upstreams, "upstreams",
                       "number of upstreams is out of range")) {
        return to;
    }
    to.reserve(count);
    std::set<state::endpoint> addresses;
    for (const auto& it : from.upstreams()) {
        const auto place = check.below("upstreams").below(to.size());
        to.push_back(read_upstream(it, place));
        place.require(addresses.insert(to.back().address).second, "endpoint",
                      "is the address of an earlier upstream");
    }
    return to;
}

state::service_spec read_body(const wire::service_body& from,
                              const message_check& check)
{
    state::service_spec to;
    to.upstreams = read_upstreams(from, check);
    to.floor_slots = from.floor_slots();
    std::uint64_t capacity = 0;
    for (const auto& it : to.upstreams) {
        capacity += it.slots;
    }
    check.require(to.floor_slots <= capacity, "floor_slots",
                  "is above the capacity");
    to.costs = {from.false_ejection_cost(), from.detection_second_cost()};
    check.require(is_cost(to.costs.false_ejection), "false_ejection_cost",
                  "is out of range");
    check.require(is_cost(to.costs.detection_second), "detection_second_cost",
                  "is out of range");
    if (from.has_floor_percent()) {
        to.floor_percent = from.floor_percent();
        check.require(from.floor_percent() <= 100, "floor_percent",
                      "is above 100");
    }
    if (from.has_health_profile()) {
        to.profile = check.enumerator<state::health_profile>(
            from.health_profile(), "health_profile");
    }
    return to;
}

bool is_printable(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f';
    });
}

void check_route(const state::route_spec& route, const message_check& check)
{
    check.require(is_printable(route.path_prefix) &&
                      route.path_prefix.front() == '/' &&
                      route.path_prefix.size() <= max_path_bytes,
                  "path_prefix", "is no path");
    check.require(!route.methods.empty() &&
                      std::all_of(route.methods.begin(), route.methods.end(),
                                  is_printable),
                  "methods", "is empty or has an invalid method");
    check.require_name(route.service, "service");
    check.require(route.max_request_bytes <= max_body_bytes,
                  "max_request_bytes", "is out of range");
    check.require(route.max_response_bytes <= max_body_bytes,
                  "max_response_bytes", "is out of range");
    const bool idempotent = route.request == state::request_class::idempotent;
    const bool runs_once =
        route.request == state::request_class::non_idempotent;
    check.require(route.max_attempts >= 1 &&
                      route.max_attempts <=
                          (runs_once ? 1 : max_attempts_per_request),
                  "max_attempts", "is out of range for the request class");
    check.require(!route.hedge || idempotent, "hedge",
                  "needs an idempotent route");
}

state::route_spec read_body(const wire::route_body& from,
                            const message_check& check)
{
    state::route_spec to;
    to.path_prefix = from.path_prefix();
    to.methods.assign(from.methods().begin(), from.methods().end());
    to.service = from.service();
    to.request = check.enumerator<state::request_class>(from.request_class(),
                                                        "request_class");
    const auto longest = static_cast<std::uint64_t>(max_deadline.count());
    if (check.require(from.deadline_ms() >= 1 && from.deadline_ms() <= longest,
                      "deadline_ms", "is out of range")) {
        to.deadline = std::chrono::milliseconds(from.deadline_ms());
    }
    to.max_request_bytes = from.max_request_bytes();
    to.max_response_bytes = from.max_response_bytes();
    to.max_attempts = from.max_attempts();
    to.hedge = from.hedge();
    to.order = check.enumerator<state::priority>(from.priority(), "priority");
    to.allow_unkeyed = from.allow_unkeyed();
    check_route(to, check);
    return to;
}

state::workspace_spec read_body(const wire::workspace_body& from,
                                const message_check& check)
{
    const double rate = from.requests_per_second();
    check.require(std::isfinite(rate) && rate > 0 &&
                      rate <= max_requests_per_second,
                  "requests_per_second", "is out of range");
    check.require(from.burst() >= 1 && from.burst() <= max_workspace_limit,
                  "burst", "is out of range");
    check.require(from.max_concurrent() >= 1 &&
                      from.max_concurrent() <= max_workspace_limit,
                  "max_concurrent", "is out of range");
    return {rate, from.burst(), from.max_concurrent()};
}

std::optional<state::record_kind> kind_of(const wire::config_entry& from)
{
    switch (from.body_case()) {
    case wire::config_entry::kService:
        return state::record_kind::service;
    case wire::config_entry::kRoute:
        return state::record_kind::route;
    case wire::config_entry::kWorkspace:
        return state::record_kind::workspace;
    case wire::config_entry::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

state::record_body read_any_body(const wire::config_entry& from,
                                 const message_check& check)
{
    switch (from.body_case()) {
    case wire::config_entry::kService:
        return read_body(from.service(), check.below("service"));
    case wire::config_entry::kRoute:
        return read_body(from.route(), check.below("route"));
    case wire::config_entry::kWorkspace:
        return read_body(from.workspace(), check.below("workspace"));
    case wire::config_entry::BODY_NOT_SET:
        check.require(false, "body", "is missing");
        break;
    }
    return {};
}

} // namespace

void to_wire(const state::entry& from, wire::config_entry& to)
{
    to.set_name(from.key.name);
    to.set_schema_version(from.key.schema_version);
    to.set_revision(from.revision);
    to.set_offset(from.offset);
    to.set_change_id_high(from.change_id.high);
    to.set_change_id_low(from.change_id.low);
    to.set_operator_name(from.operator_name);
    std::visit([&](const auto& body) { write_body(body, to); }, from.body);
}

bool is_of_later_version(const wire::config_entry& from)
{
    const auto kind = kind_of(from);
    return kind && from.schema_version() >= 1 &&
           !is_known_schema_version(*kind, from.schema_version());
}

state::entry_ptr from_wire(const wire::config_entry& from,
                           const message_check& check)
{
    auto to = std::make_shared<state::entry>();
    to->key.name = from.name();
    check.require_name(to->key.name, "name");
    to->key.schema_version = from.schema_version();
    to->key.kind = kind_of(from).value_or(state::record_kind::service);
    to->body = read_any_body(from, check);
    check.require(is_known_schema_version(to->key.kind, to->key.schema_version),
                  "schema_version", "is unknown");
    to->revision = from.revision();
    check.require(to->revision >= 1, "revision", "must be at least 1");
    to->offset = from.offset();
    to->change_id = {from.change_id_high(), from.change_id_low()};
    check.require(static_cast<bool>(to->change_id), "change_id", "is missing");
    to->operator_name = from.operator_name();
    check.require_name(to->operator_name, "operator_name");
    return to;
}

} // namespace oriolegrade::protocol
