// Tables of the sizes that the design plans for.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_SAMPLE_CONFIGURATION_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_SAMPLE_CONFIGURATION_HPP

#include <oriolegrade/state/config_message_type.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::bench {

inline constexpr std::uint32_t planned_routes = 10'000;
inline constexpr std::uint32_t planned_workspaces = 34'000;
inline constexpr std::uint32_t planned_services = 490;
inline constexpr std::uint32_t planned_servers = 9'500;

inline state::service_spec sample_service(std::uint32_t n,
                                          std::uint32_t servers)
{
    state::service_spec spec;
    for (std::uint32_t i = 0; i < servers; ++i) {
        spec.upstreams.push_back({{0x0a000000 + n * 256 + i + 1, 8080},
                                  "region1-dc" + std::to_string(i % 5),
                                  4,
                                  400});
    }
    spec.floor_slots = servers * 2;
    return spec;
}

inline state::route_spec sample_route(std::uint32_t n)
{
    state::route_spec spec;
    spec.path_prefix = "/v1/service-" + std::to_string(n % planned_services) +
                       "/resource-" + std::to_string(n);
    spec.methods = {"GET", "POST"};
    spec.service = "service-" + std::to_string(n % planned_services);
    spec.request = state::request_class::idempotent;
    spec.deadline = std::chrono::seconds(2);
    spec.max_request_bytes = 1 << 20;
    spec.max_response_bytes = 1 << 24;
    spec.max_attempts = 2;
    return spec;
}

inline state::record sample_record(state::record_key key,
                                   state::record_body body, std::uint64_t id)
{
    return {std::move(key), 0, {1, id}, "operator-1", std::move(body)};
}

/// Records that create the planned services and workspaces, and some routes.
inline std::vector<state::record> sample_records(std::uint32_t routes)
{
    std::vector<state::record> out;
    const auto add = [&](state::record_key key, state::record_body body) {
        out.push_back(
            sample_record(std::move(key), std::move(body), out.size() + 1));
    };
    for (std::uint32_t n = 0; n < planned_services; ++n) {
        const auto more = n < planned_servers % planned_services ? 1U : 0U;
        add({state::record_kind::service, "service-" + std::to_string(n), 2},
            sample_service(n, planned_servers / planned_services + more));
    }
    for (std::uint32_t n = 0; n < routes; ++n) {
        add({state::record_kind::route, "route-" + std::to_string(n), 1},
            sample_route(n));
    }
    for (std::uint32_t n = 0; n < planned_workspaces; ++n) {
        add({state::record_kind::workspace, "workspace-" + std::to_string(n),
             1},
            state::workspace_spec{20, 40, 8});
    }
    return out;
}

/// Snapshot with the entries that these records create.
inline state::configuration_snapshot sample_snapshot(std::uint32_t routes)
{
    state::configuration_snapshot out;
    for (auto& rec : sample_records(routes)) {
        out.entries.push_back(std::make_shared<state::entry>(state::entry{
            std::move(rec.key), 1, out.next_offset++, rec.change_id,
            std::move(rec.operator_name), std::move(rec.body)}));
    }
    std::sort(out.entries.begin(), out.entries.end(),
              [](const state::entry_ptr& a, const state::entry_ptr& b) {
                  return a->key < b->key;
              });
    return out;
}

} // namespace oriolegrade::bench

#endif
