// An agent's membership: drives the gossip state machine with a UDP socket,
// the clock and the platform's host list.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_MEMBERSHIP_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_MEMBERSHIP_HPP

#include <oriolegrade/coordination/membership.hpp>
#include <oriolegrade/protocol/settings.hpp>
#include <oriolegrade/state/peer_directory.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/platform_client.hpp>

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace oriolegrade::transport {

/// Random numbers for decisions that need no secrecy.
class agent_random
{
public:
    std::uint64_t next()
    {
        return engine_();
    }

private:
    std::mt19937_64 engine_{std::random_device()()};
};

static_assert(coordination::random_source<agent_random>);

/// Bytes and datagrams of gossip, without the headers of UDP and IP.
struct gossip_traffic
{
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_datagrams = 0;
    std::uint64_t received_datagrams = 0;
    std::uint64_t refused_datagrams = 0;
};

/// Used by the fibers of one thread.
class agent_membership
{
public:
    /// Called when a member becomes dead or announces its end.
    using end_handler =
        std::function<void(const state::member_info& member, bool dead)>;

    /// @throws boost::system::system_error when the address is not available
    agent_membership(boost::asio::io_context& ioc,
                     const protocol::agent_settings& settings);

    /// Starts the fibers, which run until the process ends.
    void start();

    const coordination::membership& members() const
    {
        return members_;
    }
    const gossip_traffic& traffic() const
    {
        return traffic_;
    }

    void set_incarnations(std::vector<state::identifier> incarnations);
    void set_next_offset(std::uint64_t next_offset);
    void on_end(end_handler handler)
    {
        on_end_ = std::move(handler);
    }

    /// Receives datagrams on the gossip socket that belong to health; returns
    /// the reply to their source, empty for none.
    using datagram_handler = std::function<std::string(std::string_view bytes)>;

    void on_health_datagram(datagram_handler handler)
    {
        on_health_datagram_ = std::move(handler);
    }

    /// Sends bytes of another protocol to the gossip socket of an agent.
    /// @param peer the agent's address for streams; without effect when it is
    ///        not a known host's
    void send_datagram(const state::endpoint& peer, const std::string& bytes);

    /// Called after members may have changed, at most a few times a second.
    void on_refresh(std::function<void()> handler)
    {
        on_refresh_ = std::move(handler);
    }

    /// Tells some members at once that this host is about to stop. They
    /// spread it within their next period.
    void leave();

    /// True for the address of a known or listed host, and for loopback,
    /// where only this machine can come from.
    /// @param address in host byte order
    bool admits(std::uint32_t address) const;

    /// Known hosts that are not dead, this one included, sorted by name.
    const std::vector<state::peer_entry>& peers() const
    {
        return peers_;
    }
    /// Number of changes of peers().
    std::uint64_t peers_version() const
    {
        return peers_version_;
    }
    /// Waits for another version. False when there is none after `limit`.
    bool wait_peers(std::uint64_t known_version, state::duration limit);

private:
    void receive_loop();
    void answer_health(std::string_view bytes,
                       const boost::asio::ip::udp::endpoint& from);
    void tick_loop();
    void host_list_loop();
    void refresh_loop();
    void send(const std::vector<coordination::outgoing_gossip>& messages);
    /// Compares the list of hosts with the one before.
    void refresh_peers();
    void report_ends();

    const protocol::agent_settings& settings_;
    boost::asio::ip::udp::socket socket_;
    platform_client platform_;
    agent_random random_;
    coordination::membership members_;
    gossip_traffic traffic_;
    end_handler on_end_;
    std::function<void()> on_refresh_;
    datagram_handler on_health_datagram_;
    /// Something that peers() depends on may have changed.
    bool dirty_ = true;
    fiber_signal dirtied_;
    std::vector<state::peer_entry> peers_;
    std::uint64_t peers_version_ = 0;
    fiber_signal peers_changed_;
    /// Members whose end was reported, by name, with their incarnation.
    std::map<std::string, std::uint64_t> reported_dead_;
    std::map<std::string, std::uint64_t> reported_leaving_;
};

} // namespace oriolegrade::transport

#endif
