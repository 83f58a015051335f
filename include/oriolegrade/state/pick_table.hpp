// Input of the picker on the path of a request: one immutable table per service
// entry, published through an rcu_cell.

#ifndef ORIOLEGRADE_STATE_PICK_TABLE_HPP
#define ORIOLEGRADE_STATE_PICK_TABLE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/rcu_cell.hpp>
#include <oriolegrade/state/record_type.hpp>
#include <oriolegrade/state/upstream_load.hpp>
#include <oriolegrade/state/upstream_state.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::state {

/// Upstream that this host may use, as selected by the subset rule.
struct subset_member
{
    /// Index into service_spec::upstreams.
    std::size_t index = 0;
    /// Connections that this host may hold to the upstream.
    std::uint32_t max_connections = 1;
    /// In the data centre of this host.
    bool same_data_centre = false;
};

/// One upstream in a pick table.
struct pick_candidate
{
    endpoint address;
    std::shared_ptr<upstream_load> load;
    std::uint32_t slots = 1;
    std::string data_centre;
    /// Share of a healthy upstream's load; an upstream with 0 receives nothing.
    double weight = 1.0;
    /// Receives a small number of requests, idempotent ones only.
    bool trial = false;
    bool kept_by_floor = false;
    /// Connections that this host may hold.
    std::uint32_t max_connections = 1;
    /// In the data centre of this host.
    bool same_data_centre = false;
};

/// Candidates of one service entry. Immutable except for the shared loads.
struct pick_table
{
    std::vector<pick_candidate> candidates;
    std::shared_ptr<service_load> service;
};

using pick_table_cell = rcu_cell<pick_table>;

/// Load objects by address. An object lives as long as a table refers to it, so
/// a rebuild keeps the counts of requests in flight. Used by the control thread
/// only.
class upstream_load_registry
{
public:
    std::shared_ptr<upstream_load> load_of(const endpoint& address);

    /// Removes entries that no table refers to.
    void prune();

    std::size_t size() const
    {
        return loads_.size();
    }

private:
    std::unordered_map<endpoint, std::weak_ptr<upstream_load>, endpoint_hash>
        loads_;
};

/// Builds the table of a service for this host.
/// @param standings states of upstreams; without one an upstream is in service
/// @param members subset of this host
/// @param previous table that this one replaces, or null
std::shared_ptr<const pick_table>
build_pick_table(const service_spec& spec,
                 std::span<const upstream_standing> standings,
                 std::span<const subset_member> members,
                 upstream_load_registry& loads, const pick_table* previous);

} // namespace oriolegrade::state

#endif
