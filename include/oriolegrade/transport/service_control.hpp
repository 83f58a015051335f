// Builds the tables that worker threads pick upstreams from, whenever the
// configuration, the hosts or the standings of upstreams change.

#ifndef ORIOLEGRADE_TRANSPORT_SERVICE_CONTROL_HPP
#define ORIOLEGRADE_TRANSPORT_SERVICE_CONTROL_HPP

#include <oriolegrade/coordination/subset.hpp>
#include <oriolegrade/state/peer_directory.hpp>
#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/service_health.hpp>
#include <oriolegrade/transport/service_table.hpp>

#include <functional>
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

    /// Takes a collector's verdicts into the next table.
    void set_verdicts(state::verdict_set verdicts);

    /// Receives each batch of evidence, in the order of the sequences.
    std::function<void(const state::evidence_batch&)> on_evidence;

    /// Receives each upstream that announced itself that it drains.
    std::function<void(const state::record_key& service,
                       const state::endpoint& upstream)>
        on_drain;

    /// Collects the evidence of all threads and builds the tables that
    /// change by it. To be called every `collect_interval`.
    void collect(state::time_point now);

    /// Collects for ever.
    void run();

    static constexpr std::chrono::milliseconds collect_interval{100};

private:
    struct service
    {
        state::entry_ptr entry;
        /// Computed from the entry and the hosts only.
        coordination::subset_assignment assignment;
        service_health health;
        service_controls_ptr controls;
        service_table_ptr table;
    };

    void assign(service& it);
    /// Builds the table of a service whose assignment or standings changed.
    void build(service& it);
    /// Computes standings anew; true when the table changed.
    bool judge(service& it, state::time_point now);
    void take_evidence(const service_evidence& found, state::time_point now);
    void send_batch(const service& it, std::vector<state::evidence_item> items);
    void send_drain(const state::endpoint& upstream);
    void
    take_leave_event(const std::optional<coordination::health_event>& event);
    /// Lets upstreams back in that gave notice long ago and are still
    /// configured: their next answer tells when they still drain.
    void expire_notices(state::time_point now);
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
    coordination::leaving_set leaving_;
    /// The leaving set changed since the last collection.
    bool leaving_changed_ = false;
    /// Upstreams in leaving_ that the next expiry has to look at.
    std::vector<state::endpoint> draining_;
    const state::identifier incarnation_ = state::random_identifier();
    std::uint64_t evidence_sequence_ = 0;
    state::upstream_load_registry loads_;
    std::unordered_map<state::endpoint, std::weak_ptr<upstream_controls>,
                       state::endpoint_hash>
        controls_;
};

} // namespace oriolegrade::transport

#endif
