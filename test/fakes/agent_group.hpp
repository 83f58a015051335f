// Runs agents and a fake platform on separate loopback addresses, on one
// thread.

#ifndef ORIOLEGRADE_TEST_FAKES_AGENT_GROUP_HPP
#define ORIOLEGRADE_TEST_FAKES_AGENT_GROUP_HPP

#include <oriolegrade/protocol/record_json.hpp>
#include <oriolegrade/transport/agent.hpp>
#include <oriolegrade/transport/http_client.hpp>

#include <fakes/fake_platform.hpp>
#include <fakes/fiber_thread.hpp>

#include <boost/fiber/operations.hpp>

#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace oriolegrade::fakes {

inline constexpr std::string_view group_key = "fleet-key-of-the-tests";
inline constexpr std::string_view group_secret = "secret-of-the-tests";

/// Waits until a condition holds. Returns false if it does not within the
/// limit.
template <class Condition>
bool eventually(Condition holds,
                std::chrono::milliseconds limit = std::chrono::seconds(10))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

inline state::record workspace(const std::string& name,
                               std::uint64_t base_revision)
{
    state::record rec;
    rec.key = {state::record_kind::workspace, name, 1};
    rec.base_revision = base_revision;
    rec.change_id = state::random_identifier();
    rec.operator_name = "ann";
    rec.body = state::workspace_spec{100, 10, 10};
    return rec;
}

/// A group of agents. They run until the process ends, since fibers wait on
/// their sockets.
class agent_group
{
public:
    agent_group()
    {
        static std::uint32_t groups = 0;
        constexpr std::uint32_t loopback = 0x7f000000;
        // Concurrent test programs use different networks.
        network_ =
            loopback +
            ((130U + static_cast<std::uint32_t>(::getpid()) % 100U) << 16U) +
            (groups++ << 8U);
        platform_ = &start_platform(at(0, 9000));
    }

    state::endpoint at(std::uint32_t host, std::uint16_t port) const
    {
        return {network_ + host + 1, port};
    }

    protocol::agent_settings settings(std::uint32_t n,
                                      const std::string& data_centre) const
    {
        protocol::agent_settings out;
        out.name = "host-" + std::to_string(n);
        out.data_centre = data_centre;
        out.feed_listen = at(n, 7000);
        out.peer_listen = at(n, 7001);
        out.gossip_listen = at(n, 7001);
        out.admin_listen = at(n, 7002);
        out.platform = at(0, 9000);
        out.entry_forward_address = at(n, 8081);
        out.fleet_key = group_key;
        out.operators = {{"ann", std::string(group_secret)}};
        out.retention = std::chrono::hours(24);
        out.log_readers = 1;
        for (const auto& it : started_) {
            out.peers.push_back(it);
        }
        return out;
    }

    transport::agent& start(const protocol::agent_settings& settings)
    {
        started_.push_back(settings.gossip_listen);
        auto* agent = new transport::agent(test::fiber_context(), settings);
        agent->start();
        return *agent;
    }
    transport::agent& start(std::uint32_t n, const std::string& data_centre)
    {
        return start(settings(n, data_centre));
    }

    /// Starts another platform, for hosts that use another log.
    static fake_platform& start_platform(const state::endpoint& address)
    {
        return *new fake_platform(test::fiber_context(), address);
    }
    fake_platform& platform()
    {
        return *platform_;
    }

    /// Appends a record directly to the log, bypassing all agents.
    void put(const state::record& rec)
    {
        platform_->store.append("configuration", protocol::encode_record(rec));
    }

private:
    std::uint32_t network_ = 0;
    fake_platform* platform_;
    std::vector<state::endpoint> started_;
};

} // namespace oriolegrade::fakes

#endif
