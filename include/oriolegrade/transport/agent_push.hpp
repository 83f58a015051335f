// Log records from the elected readers of a data centre to its other hosts,
// over one long-lived stream each.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_PUSH_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_PUSH_HPP

#include <oriolegrade/transport/agent_configuration.hpp>
#include <oriolegrade/transport/agent_membership.hpp>
#include <oriolegrade/transport/stream_client.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace oriolegrade::transport {

inline constexpr std::string_view push_path = "/push";

/// Bytes of messages, without those of HTTP/2, TCP and IP.
struct push_traffic
{
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    /// Batches that left a gap on this host.
    std::uint64_t gaps = 0;
};

/// Used by the fibers of one thread.
class agent_push
{
public:
    agent_push(boost::asio::io_context& ioc,
               const protocol::agent_settings& settings,
               const agent_membership& membership,
               agent_configuration& configuration);

    /// Elects readers and receivers anew, after the members changed.
    void update();

    /// Passes a batch on to this host's receivers. Without records it
    /// confirms the offset.
    void pass_on(const state::record_batch& batch);

    /// Takes the batches of a reader until it goes away.
    void serve(server_stream& stream);

    std::size_t receiver_count() const
    {
        return receivers_.size();
    }
    const push_traffic& traffic() const
    {
        return traffic_;
    }

private:
    /// A host that this one reads for.
    struct receiver
    {
        receiver(boost::asio::io_context& ioc, const state::endpoint& peer,
                 const std::string& fleet_key)
            : client(ioc, peer, fleet_key, stream_limits())
        {}
        stream_client client;
        std::deque<std::shared_ptr<const std::string>> waiting;
        std::size_t waiting_bytes = 0;
        fiber_signal changed;
        bool stopped = false;
    };
    using receiver_ptr = std::shared_ptr<receiver>;

    std::map<std::string, state::endpoint> elect();
    void add(const std::string& name, const state::endpoint& peer);
    void send_loop(receiver& it);
    void send_waiting(receiver& it);

    boost::asio::io_context& ioc_;
    const protocol::agent_settings& settings_;
    const agent_membership& membership_;
    agent_configuration& configuration_;
    std::map<std::string, receiver_ptr> receivers_;
    push_traffic traffic_;
};

} // namespace oriolegrade::transport

#endif
