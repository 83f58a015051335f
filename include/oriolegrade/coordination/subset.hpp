// Which servers of a service a host uses, and how many connections it may
// hold to each. Every host computes the same assignment from the same lists.

#ifndef ORIOLEGRADE_COORDINATION_SUBSET_HPP
#define ORIOLEGRADE_COORDINATION_SUBSET_HPP

#include <oriolegrade/state/pick_table.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace oriolegrade::coordination {

/// A host of the fleet as the assignment sees it. The name stays the same
/// over restarts, so a restart moves no connection.
struct subset_host
{
    std::string name;
    std::string data_centre;
};

struct subset_options
{
    /// Servers per host that suffice for the picker.
    std::size_t wanted = 16;
    /// Part of a server's connections that hosts may keep warm. The rest
    /// serves hosts that widen their subset, and hosts whose member lists
    /// differ for a moment.
    double warm_share = 0.75;
    /// A host widens its subset when fewer servers of it are in service.
    std::size_t min_in_service = 3;
};

/// Servers of every host, in the order of `hosts`.
struct subset_assignment
{
    std::vector<std::vector<std::size_t>> servers_of_host;
    std::vector<std::size_t> hosts_of_server;
    /// Warm connections per host to each server. Zero when more hosts than
    /// connections fall on a server: hosts then connect on demand.
    std::vector<std::uint32_t> connections_of_server;
};

/// Servers per host such that one warm connection each fits.
std::size_t subset_size(const state::service_spec& spec, std::size_t hosts,
                        const subset_options& options);

/// Assigns servers to hosts. Pairs are taken in descending order of a
/// weighted rendezvous score, until a host has its number of servers or a
/// server its share of hosts. A change of one host moves few others.
/// @param hosts names are unique
subset_assignment assign_subsets(const state::service_spec& spec,
                                 std::span<const subset_host> hosts,
                                 const subset_options& options);

/// Subset of one host, widened in rendezvous order until
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
