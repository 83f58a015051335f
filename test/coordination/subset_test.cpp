// Guards against unbalanced subsets and against servers with too many hosts or
// connections.

#include <oriolegrade/coordination/subset.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <set>

namespace {

using namespace oriolegrade;
using coordination::subset_host;

state::service_spec service_of(std::uint32_t servers, std::uint32_t centres,
                               std::uint32_t connections)
{
    state::service_spec spec;
    for (std::uint32_t i = 0; i < servers; ++i) {
        spec.upstreams.push_back({{0x0a000000U + i, 80},
                                  "dc" + std::to_string(i % centres),
                                  4,
                                  connections});
    }
    return spec;
}

std::vector<subset_host> hosts_of(std::size_t count, std::size_t centres)
{
    std::vector<subset_host> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back(
            {"host" + std::to_string(i), "dc" + std::to_string(i % centres)});
    }
    return hosts;
}

// Guards against uneven subsets and connections above a server's limit for
// any size of fleet and service.
RC_GTEST_PROP(subset, is_balanced_and_within_connections, ())
{
    const auto servers = *rc::gen::inRange(1U, 30U);
    const auto centres = *rc::gen::inRange(1U, 6U);
    const auto spec = service_of(servers, centres, 400);
    const auto hosts = hosts_of(*rc::gen::inRange(1U, 120U), centres);
    const auto out = assign_subsets(spec, hosts, {});
    const auto size = coordination::subset_size(spec, hosts.size(), {});
    for (const auto& subset : out.servers_of_host) {
        RC_ASSERT(subset.size() == size);
        RC_ASSERT(std::set<std::size_t>(subset.begin(), subset.end()).size() ==
                  size);
    }
    const auto [least, most] = std::minmax_element(out.hosts_of_server.begin(),
                                                   out.hosts_of_server.end());
    const double mean = static_cast<double>(hosts.size() * size) / servers;
    RC_ASSERT(static_cast<double>(*most) <= 1.2 * mean + 2);
    RC_ASSERT(static_cast<double>(*least) >= 0.8 * mean - 2);
    for (std::size_t s = 0; s < servers; ++s) {
        RC_ASSERT(out.hosts_of_server[s] * out.connections_of_server[s] <= 400);
    }
}

// Guards against rounded quotas whose spare capacity accumulates on one server.
// In this case one server had 3 of 9 hosts, with a mean of 6.3.
TEST(subset, spare_quota_is_spread)
{
    const auto out = assign_subsets(service_of(23, 2, 400), hosts_of(9, 2), {});
    const auto [least, most] = std::minmax_element(out.hosts_of_server.begin(),
                                                   out.hosts_of_server.end());
    EXPECT_LE(*most - *least, 1U);
}

// Guards against subsets that do not fit the two fleet sizes: 41 hosts with 10
// servers, and 810 hosts with 19 servers, each with 400 connections and at
// least one warm connection per host.
TEST(subset, fits_both_fleet_sizes)
{
    for (const auto& [count, servers, centres] :
         {std::array<std::uint32_t, 3>{41, 10, 4}, {810, 19, 5}}) {
        const auto spec = service_of(servers, centres, 400);
        const auto hosts = hosts_of(count, centres);
        const auto out = assign_subsets(spec, hosts, {});
        const auto [least, most] = std::minmax_element(
            out.hosts_of_server.begin(), out.hosts_of_server.end());
        EXPECT_LE(static_cast<double>(*most), 1.1 * *least);
        for (std::size_t s = 0; s < servers; ++s) {
            EXPECT_GE(out.connections_of_server[s], 1U);
            EXPECT_LE(out.hosts_of_server[s] * out.connections_of_server[s],
                      400U);
        }
        for (std::size_t h = 0; h < hosts.size(); ++h) {
            std::set<std::string> used;
            for (const auto s : out.servers_of_host[h]) {
                used.insert(spec.upstreams[s].data_centre);
            }
            EXPECT_GT(used.size(), 1U) << h;
        }
    }
}

// Guards against the loss of one host changing the connections of the whole
// fleet.
TEST(subset, loss_of_a_host_moves_few_connections)
{
    const auto spec = service_of(19, 5, 400);
    auto hosts = hosts_of(810, 5);
    const auto before = assign_subsets(spec, hosts, {});
    hosts.pop_back();
    const auto after = assign_subsets(spec, hosts, {});
    std::size_t moved = 0;
    std::size_t all = 0;
    for (std::size_t h = 0; h < hosts.size(); ++h) {
        for (const auto s : after.servers_of_host[h]) {
            const auto& old = before.servers_of_host[h];
            moved += std::find(old.begin(), old.end(), s) == old.end() ? 1 : 0;
            ++all;
        }
    }
    EXPECT_LT(moved * 20, all);
}

// Guards against a host without upstreams after its whole subset was ejected.
TEST(subset, widens_when_its_servers_are_out)
{
    const auto spec = service_of(19, 5, 400);
    const auto hosts = hosts_of(810, 5);
    const auto out = assign_subsets(spec, hosts, {});
    std::vector<state::upstream_standing> standings;
    for (const auto s : out.servers_of_host[0]) {
        standings.push_back({spec.upstreams[s].address,
                             state::upstream_state::ejected, 0, false});
    }
    const auto members = subset_of_host(spec, hosts, out, 0, standings, {});
    EXPECT_EQ(members.size(), out.servers_of_host[0].size() + 3);
}

} // namespace
