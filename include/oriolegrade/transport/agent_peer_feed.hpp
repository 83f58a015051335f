// List of hosts from an agent to the entry on its host, over a long-lived
// stream.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_PEER_FEED_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_PEER_FEED_HPP

#include <oriolegrade/transport/agent_membership.hpp>
#include <oriolegrade/transport/stream_server.hpp>

namespace oriolegrade::transport {

/// Serves one entry until it goes away. The incarnations that it announced
/// stay in the claim about this host until an entry announces others, so that
/// a reconnect makes no news.
void serve_peers(agent_membership& membership, server_stream& stream);

} // namespace oriolegrade::transport

#endif
