// Configuration of an entry process: follows the agent's feed and publishes
// each new configuration to the worker threads.

#ifndef ORIOLEGRADE_TRANSPORT_ENTRY_FEED_HPP
#define ORIOLEGRADE_TRANSPORT_ENTRY_FEED_HPP

#include <oriolegrade/transport/entry_shared.hpp>
#include <oriolegrade/transport/service_control.hpp>
#include <oriolegrade/transport/stream_client.hpp>

namespace oriolegrade::transport {

/// Follows the feed for ever; reconnects when the agent goes away. Runs on
/// the control thread, the only writer of the configuration.
class entry_feed
{
public:
    entry_feed(boost::asio::io_context& ioc, entry_shared& shared,
               service_control& services, const state::endpoint& agent,
               const std::string& fleet_key);

    void follow();

private:
    /// Reads updates until the stream ends.
    void read_updates();
    /// False when the update does not fit and the feed must start again.
    bool take(std::string_view bytes);

    entry_shared& shared_;
    service_control& services_;
    stream_client client_;
    state::configuration_ptr content_;
};

} // namespace oriolegrade::transport

#endif
