// Configuration from an agent to the entry on its host, over a long-lived
// stream.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_FEED_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_FEED_HPP

#include <oriolegrade/transport/agent_configuration.hpp>
#include <oriolegrade/transport/stream_server.hpp>

namespace oriolegrade::transport {

inline constexpr std::string_view feed_path = "/feed";

/// Serves one entry until it goes away: updates from its offset on.
void serve_feed(agent_configuration& configuration, server_stream& stream);

} // namespace oriolegrade::transport

#endif
