// Readers of record bodies with the rules of each kind.

#include "record_body_decode.hpp"

#include <oriolegrade/protocol/record_json.hpp>

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <set>

namespace oriolegrade::protocol {

using state::finding_code;

namespace {

/// Methods that a route may have. CONNECT and TRACE are never forwarded.
constexpr std::array<std::string_view, 7> known_methods{
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

constexpr std::uint32_t percent_max = 100;

state::upstream_spec read_upstream(const boost::json::value& value,
                                   const std::string& place,
                                   state::findings& out)
{
    json_object_reader in(value, place, out);
    state::upstream_spec spec;
    spec.address = in.endpoint("address");
    spec.data_centre = in.name("data_centre");
    spec.slots = static_cast<std::uint32_t>(in.number("slots", {1, max_slots}));
    spec.max_connections = static_cast<std::uint32_t>(
        in.number("max_connections", {1, max_connections_per_upstream}));
    in.finish();
    return spec;
}

std::vector<state::upstream_spec> read_upstreams(json_object_reader& in,
                                                 state::findings& out)
{
    std::vector<state::upstream_spec> specs;
    const auto* array = in.list("upstreams", {1, max_upstreams});
    if (!array || array->size() > max_upstreams) {
        return specs;
    }
    const auto parent = member_place(in.place(), "upstreams");
    std::set<state::endpoint> addresses;
    for (const auto& it : *array) {
        const auto place = element_place(parent, specs.size());
        specs.push_back(read_upstream(it, place, out));
        const auto& address = specs.back().address;
        if (address.port != 0 && !addresses.insert(address).second) {
            report(out, finding_code::duplicate, member_place(place, "address"),
                   to_string(address) + " is the address of an earlier "
                                        "upstream");
        }
    }
    return specs;
}

std::uint64_t capacity(const std::vector<state::upstream_spec>& upstreams)
{
    std::uint64_t sum = 0;
    for (const auto& it : upstreams) {
        sum += it.slots;
    }
    return sum;
}

void read_floor_slots(json_object_reader& in, state::service_spec& spec)
{
    const auto all = capacity(spec.upstreams);
    const auto floor =
        in.number("floor_slots", {0, std::uint64_t{max_upstreams} * max_slots});
    spec.floor_slots = static_cast<std::uint32_t>(floor);
    if (floor > all && !spec.upstreams.empty()) {
        in.add(finding_code::conflict, "floor_slots",
               "floor of " + std::to_string(floor) +
                   " slots is above the capacity of " + std::to_string(all));
    }
}

state::health_costs read_costs(json_object_reader& in, state::findings& out)
{
    state::health_costs costs;
    const auto* value = in.member("costs", false);
    if (!value) {
        return costs;
    }
    json_object_reader costs_in(*value, member_place(in.place(), "costs"), out);
    costs.false_ejection = costs_in.real("false_ejection", {0, max_cost});
    costs.detection_second = costs_in.real("detection_second", {0, max_cost});
    costs_in.finish();
    return costs;
}

bool is_hex_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
           (c >= 'A' && c <= 'F');
}

bool has_valid_escapes(std::string_view path)
{
    for (std::size_t n = 0; n < path.size(); ++n) {
        if (path[n] == '%' &&
            (n + 2 >= path.size() || !is_hex_digit(path[n + 1]) ||
             !is_hex_digit(path[n + 2]))) {
            return false;
        }
    }
    return true;
}

/// Why a prefix can never match a request's path; empty when it can.
std::string_view path_error(std::string_view path)
{
    if (path.front() != '/') {
        return "must begin with '/'";
    }
    if (path.size() > 1 && path.back() == '/') {
        return "must not end with '/', since it matches whole segments";
    }
    if (path.find_first_of("?#\"<>\\^`{|}") != std::string_view::npos) {
        return "has a character that no path has";
    }
    if (!has_valid_escapes(path)) {
        return "has '%' without two hexadecimal digits";
    }
    const auto closed = std::string(path) + "/";
    for (const std::string_view part : {"//", "/./", "/../"}) {
        if (path != "/" && closed.find(part) != std::string::npos) {
            return "has an empty or dot segment";
        }
    }
    return {};
}

std::string read_path(json_object_reader& in)
{
    auto path =
        in.text("path_prefix", text_form::printable, {1, max_path_bytes});
    if (path.empty() || path.size() > max_path_bytes) {
        return path;
    }
    const auto error = path_error(path);
    if (!error.empty()) {
        in.add(finding_code::out_of_range, "path_prefix", std::string(error));
    }
    return path;
}

std::vector<std::string> read_methods(json_object_reader& in,
                                      state::findings& out)
{
    std::vector<std::string> methods;
    const auto* array = in.list("methods", {1, known_methods.size()});
    if (!array || array->size() > known_methods.size()) {
        return methods;
    }
    const auto parent = member_place(in.place(), "methods");
    for (std::size_t n = 0; n < array->size(); ++n) {
        const auto place = element_place(parent, n);
        const auto text = element_text((*array)[n], place, out);
        if (!text) {
            continue;
        }
        if (std::find(known_methods.begin(), known_methods.end(), *text) ==
            known_methods.end()) {
            report(out, finding_code::unknown_name, place,
                   "must be GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
        } else if (std::find(methods.begin(), methods.end(), *text) !=
                   methods.end()) {
            report(out, finding_code::duplicate, place,
                   *text + " is listed before");
        }
        methods.push_back(*text);
    }
    return methods;
}

/// Rules that keep a request from running twice.
void check_repetition(json_object_reader& in, const state::route_spec& spec)
{
    const bool non_idempotent =
        spec.request == state::request_class::non_idempotent;
    if (non_idempotent && spec.max_attempts > 1) {
        in.add(finding_code::conflict, "max_attempts",
               "must be 1, since the route is non_idempotent");
    }
    // A hedge runs beside the first attempt, so deduplication by the upstream
    // is not enough: it needs the first request to be known already.
    if (spec.hedge && spec.request != state::request_class::idempotent) {
        in.add(finding_code::conflict, "hedge",
               "needs an idempotent route, and this one is " +
                   std::string(name_of(spec.request)));
    }
    if (spec.allow_unkeyed && !non_idempotent) {
        in.add(finding_code::conflict, "allow_unkeyed",
               "has a meaning on a non_idempotent route only");
    }
}

} // namespace

std::uint32_t floor_from_percent(const std::vector<state::upstream_spec>& all,
                                 std::uint32_t percent)
{
    const std::size_t count =
        (all.size() * std::size_t{percent} + percent_max - 1) / percent_max;
    std::vector<std::uint32_t> slots;
    slots.reserve(all.size());
    for (const auto& it : all) {
        slots.push_back(it.slots);
    }
    std::sort(slots.begin(), slots.end(), std::greater<>());
    const auto end = slots.begin() +
                     static_cast<std::ptrdiff_t>(std::min(count, slots.size()));
    return std::accumulate(slots.begin(), end, std::uint32_t{0});
}

state::service_spec read_service(json_object_reader& in, std::uint32_t version,
                                 state::findings& out)
{
    state::service_spec spec;
    spec.upstreams = read_upstreams(in, out);
    if (version != 1) {
        read_floor_slots(in, spec);
        spec.costs = read_costs(in, out);
        return spec;
    }
    spec.floor_percent = static_cast<std::uint32_t>(
        in.number("floor_percent", {0, percent_max}));
    spec.floor_slots = floor_from_percent(spec.upstreams, *spec.floor_percent);
    spec.profile = in.enumerator<state::health_profile>("health_profile");
    spec.costs = state::profile_costs[index_of(*spec.profile)];
    return spec;
}

state::route_spec read_route(json_object_reader& in, state::findings& out)
{
    state::route_spec spec;
    spec.path_prefix = read_path(in);
    spec.methods = read_methods(in, out);
    spec.service = in.name("service");
    const auto before = out.items().size();
    spec.request = in.enumerator<state::request_class>("request_class");
    const bool class_known = out.items().size() == before;
    spec.deadline = std::chrono::milliseconds(in.number(
        "deadline_ms", {1, static_cast<std::uint64_t>(max_deadline.count())}));
    spec.max_request_bytes = in.number("max_request_bytes", {0, max_body_bytes},
                                       default_request_bytes);
    spec.max_response_bytes = in.number(
        "max_response_bytes", {1, max_body_bytes}, default_response_bytes);
    spec.max_attempts = static_cast<std::uint32_t>(
        in.number("max_attempts", {1, max_attempts_per_request}, 1));
    spec.hedge = in.flag("hedge", false);
    spec.order =
        in.enumerator<state::priority>("priority", state::priority::normal);
    spec.allow_unkeyed = in.flag("allow_unkeyed", false);
    if (class_known) {
        check_repetition(in, spec);
    }
    return spec;
}

state::workspace_spec read_workspace(json_object_reader& in)
{
    state::workspace_spec spec;
    spec.requests_per_second =
        in.real("requests_per_second", {0, max_requests_per_second});
    spec.burst = static_cast<std::uint32_t>(
        in.number("burst", {1, max_workspace_limit}));
    spec.max_concurrent = static_cast<std::uint32_t>(
        in.number("max_concurrent", {1, max_workspace_limit}));
    return spec;
}

} // namespace oriolegrade::protocol
