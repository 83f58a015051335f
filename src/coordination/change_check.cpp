// Validation of changes against the configuration in force.

#include <oriolegrade/coordination/change_check.hpp>

#include <oriolegrade/coordination/acceptance.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::coordination {

using state::finding_code;

namespace {

void check_base(const state::configuration& conf, const state::record& rec,
                const std::string& pointer, state::findings& out)
{
    const auto a = evaluate(conf, rec);
    if (a.verdict != acceptance_outcome::stale_base) {
        return;
    }
    std::string message = "revision in force is " + std::to_string(a.revision);
    if (!a.winner.empty()) {
        message += ", changed by " + a.winner;
    }
    out.add(finding_code::conflict, pointer + "/base_revision", message);
}

/// Returns another route with the same path prefix and method, or null.
state::entry_ptr conflicting_route(const state::configuration& conf,
                                   const state::record& rec,
                                   const state::route_spec& route,
                                   const std::string& method)
{
    const auto it = conf.find_route(method, route.path_prefix);
    const bool same_path =
        it &&
        std::get<state::route_spec>(it->body).path_prefix == route.path_prefix;
    return same_path && it->key != rec.key ? it : nullptr;
}

void check_route(const state::configuration& conf, const state::record& rec,
                 const std::string& pointer, state::findings& out)
{
    const auto& route = std::get<state::route_spec>(rec.body);
    if (!conf.find_service(route.service, std::nullopt)) {
        out.add(finding_code::unknown_name, pointer + "/body/service",
                "service " + route.service + " does not exist");
    }
    for (std::size_t n = 0; n < route.methods.size(); ++n) {
        if (const auto it =
                conflicting_route(conf, rec, route, route.methods[n])) {
            out.add(finding_code::duplicate,
                    pointer + "/body/methods/" + std::to_string(n),
                    "route " + it->key.name + " already handles " +
                        route.methods[n] + " " + route.path_prefix);
        }
    }
}

} // namespace

state::findings check_changes(const state::configuration& current,
                              const std::vector<state::record>& records,
                              const std::vector<std::string>& pointers)
{
    assert(pointers.size() == records.size());
    state::findings out;
    auto conf = current;
    // Apply services first, so that a file may list a route before its
    // service.
    for (const auto& rec : records) {
        if (rec.key.kind == state::record_kind::service) {
            apply(conf, conf.next_offset(), rec);
        }
    }
    for (std::size_t n = 0; n < records.size(); ++n) {
        const auto& rec = records[n];
        check_base(current, rec, pointers[n], out);
        if (rec.key.kind == state::record_kind::route) {
            check_route(conf, rec, pointers[n], out);
            apply(conf, conf.next_offset(), rec);
        }
    }
    return out;
}

} // namespace oriolegrade::coordination
