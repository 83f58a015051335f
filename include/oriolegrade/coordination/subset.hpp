// Subsetting: assigns each host a subset of a service's servers and a number of
// connections to each. All hosts compute the same assignment from the same
// lists.

#ifndef ORIOLEGRADE_COORDINATION_SUBSET_HPP
#define ORIOLEGRADE_COORDINATION_SUBSET_HPP

#include <oriolegrade/state/pick_table.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace oriolegrade::coordination {

/// A host as input of the assignment. Its name does not change when it
/// restarts, so that a restart moves no connections.
struct subset_host
{
    std::string name;
    std::string data_centre;
};

struct subset_options
{
    /// Number of servers per host that the picker needs.
    std::size_t wanted = 16;
    /// Share of a server's connections that hosts may keep open in advance. The
    /// rest is for hosts that extend their subset and for hosts whose member
    /// lists differ temporarily.
    double warm_share = 0.75;
    /// A host extends its subset while fewer of its servers are in service.
    std::size_t min_in_service = 3;
};

/// Servers of each host, in the order of `hosts`.
struct subset_assignment
{
    std::vector<std::vector<std::size_t>> servers_of_host;
    std::vector<std::size_t> hosts_of_server;
    /// Warm connections per host to each server. Zero when a server has more
    /// hosts than warm connections; hosts then connect on demand.
    std::vector<std::uint32_t> connections_of_server;
};

/// Number of servers per host that allows a warm connection to each of them.
std::size_t subset_size(const state::service_spec& spec, std::size_t hosts,
                        const subset_options& options);

/// Assigns servers to hosts. Pairs are assigned in descending order of a
/// weighted rendezvous score, until a host has its number of servers or a
/// server has its quota of hosts. Adding or removing a host changes few other
/// assignments.
/// @param hosts names are unique
subset_assignment assign_subsets(const state::service_spec& spec,
                                 std::span<const subset_host> hosts,
                                 const subset_options& options);

/// Subset of one host, extended in rendezvous order until
/// `min_in_service` servers are in service.
/// @param host index into the hosts of the assignment
std::vector<state::subset_member>
subset_of_host(const state::service_spec& spec,
               std::span<const subset_host> hosts,
               const subset_assignment& assignment, std::size_t host,
               std::span<const state::upstream_standing> standings,
               const subset_options& options);

} // namespace oriolegrade::coordination

#endif
