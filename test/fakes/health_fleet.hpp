// A small fleet of agents and entries on loopback that exchange evidence and
// verdicts. Membership is replaced by a plain vector of live hosts.

#ifndef ORIOLEGRADE_TEST_FAKES_HEALTH_FLEET_HPP
#define ORIOLEGRADE_TEST_FAKES_HEALTH_FLEET_HPP

#include "fakes/fiber_thread.hpp"

#include <oriolegrade/transport/agent_health.hpp>
#include <oriolegrade/transport/entry_health.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <boost/fiber/operations.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolegrade::test {

inline constexpr std::uint32_t loopback_address = 0x7f000001;

inline boost::asio::ip::tcp::acceptor open_loopback(std::uint16_t port = 0)
{
    return std::move(transport::listen_on(
                         fiber_context(),
                         transport::to_tcp({loopback_address, port})))
        .value();
}

inline state::endpoint address_of(const boost::asio::ip::tcp::acceptor& it)
{
    return {loopback_address, it.local_endpoint().port()};
}

/// True when the condition holds within the limit.
template <class Predicate>
bool eventually(std::chrono::milliseconds limit, Predicate holds)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

struct health_fleet
{
    std::vector<state::endpoint> live;
    /// Recipients of datagrams, by address.
    std::map<state::endpoint, transport::agent_health*> agents;
    std::size_t datagrams = 0;
    bool with_datagrams = true;
    state::configuration_ptr configuration;
    /// Kinds of the decisions of all collectors, in order.
    std::vector<coordination::health_event_kind> decisions;
    std::chrono::steady_clock::time_point decided_at;

    void publish(const std::string& service,
                 const std::vector<state::endpoint>& upstreams)
    {
        state::service_spec spec;
        for (const auto& it : upstreams) {
            spec.upstreams.push_back({it, "dc", 3, 400});
        }
        spec.costs = state::costs_of(state::health_profile::hanbit);
        state::entry entry;
        entry.key = {state::record_kind::service, service, 1};
        entry.body = spec;
        auto next = configuration ? *configuration : state::configuration();
        next.put(std::make_shared<const state::entry>(entry));
        configuration =
            std::make_shared<const state::configuration>(std::move(next));
    }
};

/// An agent with its servers. Destroying it simulates a crash.
struct health_agent
{
    health_agent(health_fleet& fleet, boost::asio::ip::tcp::acceptor feed,
                 boost::asio::ip::tcp::acceptor peer,
                 const transport::agent_health_options& options = {})
        : fleet_(fleet)
        , self(address_of(peer))
        , feed_address(address_of(feed))
        , health(fiber_context(), "key", sources_of(fleet, self), options)
        , feed_server(std::move(feed), "key", {},
                      [this](transport::server_stream& stream) {
                          (void)health.serve_own(stream);
                      })
        , peer_server(std::move(peer), "key", {},
                      [this](transport::server_stream& stream) {
                          (void)health.serve_peer(stream);
                      })
    {
        fleet_.agents[self] = &health;
        health.start();
        feed_server.start();
        peer_server.start();
    }
    ~health_agent()
    {
        fleet_.agents.erase(self);
        feed_server.stop(std::chrono::milliseconds(0));
        peer_server.stop(std::chrono::milliseconds(0));
        health.stop();
    }

    static transport::agent_health_sources
    sources_of(health_fleet& fleet, const state::endpoint& self)
    {
        return {self, [&fleet] { return fleet.live; },
                [&fleet] { return fleet.configuration; },
                [&fleet](const coordination::service_event& it,
                         const std::string&) {
                    fleet.decisions.push_back(it.event.kind);
                    fleet.decided_at = std::chrono::steady_clock::now();
                },
                fleet.with_datagrams
                    ? datagram_sender(fleet, self)
                    : decltype(datagram_sender(fleet, self))()};
    }

    /// Returns a sender that delivers synchronously within the process.
    static std::function<void(const state::endpoint&, const std::string&)>
    datagram_sender(health_fleet& fleet, const state::endpoint& self)
    {
        return [&fleet, self](const state::endpoint& to,
                              const std::string& bytes) {
            const auto it = fleet.agents.find(to);
            if (it == fleet.agents.end()) {
                return;
            }
            ++fleet.datagrams;
            const auto reply = it->second->take_datagram(bytes);
            const auto sender = fleet.agents.find(self);
            if (!reply.empty() && sender != fleet.agents.end()) {
                (void)sender->second->take_datagram(reply);
            }
        };
    }

    health_fleet& fleet_;
    state::endpoint self;
    state::endpoint feed_address;
    transport::agent_health health;
    transport::stream_server feed_server;
    transport::stream_server peer_server;
};

/// A host: its agent, its entry, and the verdicts that the entry received.
struct health_host
{
    explicit health_host(health_fleet& fleet,
                         state::duration lifetime = std::chrono::seconds(10),
                         const transport::agent_health_options& options = {})
        : agent(std::make_unique<health_agent>(fleet, open_loopback(),
                                               open_loopback(), options))
        , self(agent->self)
        , entry(
              fiber_context(), agent->feed_address, "key",
              [this](const state::verdict_set& set) {
                  verdicts[set.service] = set.verdicts;
                  received_at = std::chrono::steady_clock::now();
              },
              lifetime)
    {
        fleet.live.push_back(self);
        entry.start();
    }
    ~health_host()
    {
        entry.stop();
    }

    /// Sends evidence of two requests of the given kind for each upstream.
    void send(const std::string& service,
              const std::map<state::endpoint, state::evidence_kind>& seen)
    {
        state::evidence_batch batch;
        batch.service = service;
        for (const auto& [upstream, kind] : seen) {
            state::evidence_item item;
            item.upstream = upstream;
            item.counts[kind] = 2;
            batch.items.push_back(item);
        }
        entry.send(std::move(batch));
    }

    const state::health_verdict* verdict(const std::string& service,
                                         const state::endpoint& upstream) const
    {
        const auto it = verdicts.find(service);
        if (it != verdicts.end()) {
            for (const auto& verdict : it->second) {
                if (verdict.upstream == upstream) {
                    return &verdict;
                }
            }
        }
        return nullptr;
    }

    std::unique_ptr<health_agent> agent;
    state::endpoint self;
    std::map<std::string, std::vector<state::health_verdict>> verdicts;
    std::chrono::steady_clock::time_point received_at;
    transport::entry_health entry;
};

} // namespace oriolegrade::test

#endif
