// The stream clients of one thread, one per remote endpoint.

#ifndef ORIOLEGRADE_TRANSPORT_STREAM_CLIENT_MAP_HPP
#define ORIOLEGRADE_TRANSPORT_STREAM_CLIENT_MAP_HPP

#include <oriolegrade/transport/stream_client.hpp>

#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oriolegrade::transport {

class stream_client_map
{
public:
    using client_ptr = std::shared_ptr<stream_client>;

    /// @param max_clients beyond it, clients without a connection are dropped
    stream_client_map(boost::asio::io_context& ioc, std::string fleet_key,
                      const stream_limits& limits,
                      std::size_t max_clients = 2048)
        : ioc_(ioc)
        , fleet_key_(std::move(fleet_key))
        , limits_(limits)
        , max_clients_(max_clients)
    {}

    /// Client of an endpoint. Keep the pointer for the length of a call: the
    /// map may drop the client meanwhile.
    client_ptr at(const state::endpoint& peer)
    {
        const auto it = clients_.find(peer);
        if (it != clients_.end()) {
            return it->second;
        }
        // Declared first: destroying a client may wait, and the map must be
        // whole by then.
        std::vector<client_ptr> dropped;
        if (clients_.size() >= max_clients_) {
            take_unused(dropped);
        }
        auto client =
            std::make_shared<stream_client>(ioc_, peer, fleet_key_, limits_);
        clients_.emplace(peer, client);
        return client;
    }

    /// Closes all connections and waits until their fibers have ended.
    void stop()
    {
        const auto stopped = std::exchange(clients_, {});
        for (const auto& entry : stopped) {
            entry.second->stop();
        }
    }

    std::size_t size() const
    {
        return clients_.size();
    }

private:
    void take_unused(std::vector<client_ptr>& out)
    {
        for (auto it = clients_.begin(); it != clients_.end();) {
            const bool unused =
                it->second.use_count() == 1 && !it->second->is_connected();
            if (unused) {
                out.push_back(std::move(it->second));
            }
            it = unused ? clients_.erase(it) : std::next(it);
        }
    }

    boost::asio::io_context& ioc_;
    const std::string fleet_key_;
    const stream_limits limits_;
    const std::size_t max_clients_;
    std::unordered_map<state::endpoint, client_ptr, state::endpoint_hash>
        clients_;
};

} // namespace oriolegrade::transport

#endif
