// The control process of a host: membership, configuration and its servers
// on one thread.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_HPP

#include <oriolegrade/protocol/settings.hpp>
#include <oriolegrade/transport/admin_api.hpp>
#include <oriolegrade/transport/agent_audit.hpp>
#include <oriolegrade/transport/agent_configuration.hpp>
#include <oriolegrade/transport/agent_health.hpp>
#include <oriolegrade/transport/agent_membership.hpp>
#include <oriolegrade/transport/agent_push.hpp>
#include <oriolegrade/transport/agent_snapshots.hpp>
#include <oriolegrade/transport/http_server.hpp>
#include <oriolegrade/transport/stream_server.hpp>

namespace oriolegrade::transport {

/// Used by the fibers of one thread. Its fibers run until the process ends,
/// so it must live as long.
class agent
{
public:
    /// Opens the listeners.
    /// @throws boost::system::system_error when an address is not available
    agent(boost::asio::io_context& ioc,
          const protocol::agent_settings& settings);

    void start();

    /// Announces the end of this host and waits until others have heard it.
    void leave();

    agent_membership& membership()
    {
        return membership_;
    }
    agent_configuration& configuration()
    {
        return configuration_;
    }
    const agent_push& push() const
    {
        return push_;
    }

private:
    void serve_own(server_stream& stream);
    void serve_peer(server_stream& stream);
    void set_handlers();
    void take(const coordination::configuration_change& change);
    void take_members();
    agent_health_sources health_sources();
    void audit_health(const coordination::service_event& event,
                      const std::string& line);
    void audit_end(const state::member_info& member, bool dead);
    void audit_snapshot(state::audit_kind kind,
                        const state::snapshot_summary& what,
                        const std::string& detail);

    protocol::agent_settings settings_;
    agent_membership membership_;
    agent_configuration configuration_;
    agent_audit audit_;
    agent_push push_;
    agent_snapshots snapshots_;
    agent_health health_;
    /// For the entry on this host.
    stream_server own_server_;
    /// For other hosts.
    stream_server peer_server_;
    std::uint64_t members_version_ = 0;
    admin_api api_;
    http_server admin_;
};

} // namespace oriolegrade::transport

#endif
