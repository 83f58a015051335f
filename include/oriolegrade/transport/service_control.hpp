// Builds the tables that worker threads pick upstreams from, whenever the
// configuration, the hosts or the standings of upstreams change.

#ifndef ORIOLEGRADE_TRANSPORT_SERVICE_CONTROL_HPP
#define ORIOLEGRADE_TRANSPORT_SERVICE_CONTROL_HPP

#include <oriolegrade/coordination/subset.hpp>
#include <oriolegrade/state/peer_directory.hpp>
#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/service_table.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::transport {

/// Belongs to the control thread.
class service_control
{
public:
    /// @param host name and data centre of this host
    service_control(entry_shared& shared, coordination::subset_host host);

    /// Builds the tables of new and changed services. To be called before
    /// the configuration is published: a request must find the table of the
    /// service that it was routed to.
    void take_configuration(const state::configuration& conf);

    /// Assigns servers anew when the live hosts changed.
    void take_peers(const state::peer_directory& peers);

private:
    struct service
    {
        state::entry_ptr entry;
        /// Computed from the entry and the hosts only.
        coordination::subset_assignment assignment;
        std::vector<state::upstream_standing> standings;
        service_controls_ptr controls;
        service_table_ptr table;
    };

    void assign(service& it);
    /// Builds the table of a service whose assignment or standings changed.
    void build(service& it);
    void publish();
    upstream_controls_ptr controls_of(const state::endpoint& upstream);
    void prune();

    entry_shared& shared_;
    coordination::subset_host host_;
    /// Sorted by name; includes this host.
    std::vector<coordination::subset_host> hosts_;
    std::size_t own_index_ = 0;
    std::unordered_map<state::record_key, service, state::record_key_hash>
        services_;
    state::upstream_load_registry loads_;
    std::unordered_map<state::endpoint, std::weak_ptr<upstream_controls>,
                       state::endpoint_hash>
        controls_;
};

} // namespace oriolegrade::transport

#endif
