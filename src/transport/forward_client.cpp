// One client per peer.

#include <oriolegrade/transport/forward_client.hpp>

namespace oriolegrade::transport {

forward_client::forward_client(boost::asio::io_context& ioc,
                               std::string fleet_key)
    : ioc_(ioc)
    , fleet_key_(std::move(fleet_key))
{}

stream_client& forward_client::to(const state::endpoint& peer)
{
    auto& client = clients_[peer];
    if (!client) {
        client = std::make_unique<stream_client>(ioc_, peer, fleet_key_,
                                                 stream_limits());
    }
    return *client;
}

} // namespace oriolegrade::transport
