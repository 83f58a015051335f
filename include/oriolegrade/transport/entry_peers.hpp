// Peer directory of an entry process: tells the agent which incarnations the
// entry holds, and follows the agent's list of hosts.

#ifndef ORIOLEGRADE_TRANSPORT_ENTRY_PEERS_HPP
#define ORIOLEGRADE_TRANSPORT_ENTRY_PEERS_HPP

#include <oriolegrade/transport/once_shared.hpp>
#include <oriolegrade/transport/service_control.hpp>
#include <oriolegrade/transport/stream_client.hpp>

#include <optional>

namespace oriolegrade::transport {

inline constexpr std::string_view peers_path = "/peers";

/// Runs on the control thread, the only writer of the directory.
class entry_peers
{
public:
    entry_peers(boost::asio::io_context& ioc, once_shared& once,
                service_control& services, const state::endpoint& agent);

    /// Follows the agent for ever; reconnects when it goes away.
    void follow();

    /// Announces the incarnations again, after a hand-over arrived.
    void announce();

private:
    void read_updates();

    once_shared& once_;
    service_control& services_;
    stream_client client_;
    std::optional<client_stream> stream_;
};

} // namespace oriolegrade::transport

#endif
