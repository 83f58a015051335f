// A gateway process: followers of the store, dispatcher and workers, from
// the start to the graceful end.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_HPP

#include <oriolegrade/coordination/host_seed.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/gateway/dispatch_server.hpp>
#include <oriolegrade/transport/gateway/gateway_worker.hpp>
#include <oriolegrade/transport/gateway/host_call.hpp>
#include <oriolegrade/transport/gateway/member_directory.hpp>
#include <oriolegrade/transport/gateway/peer_source.hpp>
#include <oriolegrade/transport/gateway/quota_client.hpp>
#include <oriolegrade/transport/gateway/registry_follower.hpp>
#include <oriolegrade/transport/gateway/relayed_source.hpp>
#include <oriolegrade/transport/gateway/rules_client.hpp>
#include <oriolegrade/transport/gateway/rules_follower.hpp>
#include <oriolegrade/transport/http_server.hpp>
#include <oriolegrade/transport/stop_signal.hpp>
#include <oriolegrade/transport/worker_thread.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace oriolegrade::transport {

/// Answers the balancer's readiness check and serves the metrics.
inline http_answer ready_answer(const gateway_shared& shared,
                                const http_request& request)
{
    if (request.target() == "/metrics") {
        return text_answer(200, shared.metrics.to_text());
    }
    const bool ready = shared.configured && !shared.stopping;
    return text_answer(ready ? 200 : 503, "");
}

/// A worker with its way to the control thread.
template <gateway_dialect Dialect>
class placed_worker
{
public:
    placed_worker(boost::asio::io_context& ioc, gateway_shared& shared,
                  boost::asio::io_context& control, dispatch_router& router,
                  std::atomic<std::uint64_t>& numbers,
                  rules_client::refresh_call refresh, quota_service& quotas)
        : places_(ioc, control, router, numbers)
        , rules_(ioc, control, std::move(refresh))
        , quotas_(ioc, control, shared.quotas, quotas)
        , worker_(ioc, shared, places_, rules_, quotas_)
    {}

    void close_listener()
    {
        worker_.close_listener();
        worker_.close_idle();
        worker_.drain();
    }

private:
    placement_client places_;
    rules_client rules_;
    quota_client quotas_;
    gateway_worker<Dialect, placement_client, rules_client, quota_client>
        worker_;
};

/// Wires the parts of one process. Lives on the control thread until the
/// process ends.
template <traffic_source Source, gateway_dialect Dialect>
class gateway
{
public:
    gateway(boost::asio::io_context& ioc, gateway_options options,
            Source& source)
        : ioc_(ioc)
        , shared_(std::move(options))
        , source_(source)
        , peer_source_(ioc)
        , relayed_(source, peer_source_)
        , registry_(relayed_)
        , rules_(shared_, relayed_)
        , members_(source, shared_.options.self, is_seed(shared_.options))
        , service_({shared_.options.budget, 1,
                    coordination::host_seed(shared_.options.self.name)},
                   view())
        , router_(ioc, shared_, service_)
        , quotas_(ioc, shared_.options.self, shared_.quotas,
                  shared_.options.quota_window, shared_.options.quota_allowance)
        , server_(ioc, shared_, service_)
        , ready_(ioc, shared_.options.ready_listen,
                 [this](const http_request& request) {
                     return ready_answer(shared_, request);
                 })
    {
        connect();
    }

    void start()
    {
        for (unsigned n = 0; n < shared_.options.threads; ++n) {
            workers_.push_back(std::make_unique<thread_type>(
                [this](boost::asio::io_context& ioc) {
                    return std::make_unique<placed_worker<Dialect>>(
                        ioc, shared_, ioc_, router_, numbers_,
                        [this](std::function<void()> done) {
                            rules_.refresh(std::move(done));
                        },
                        quotas_);
                }));
        }
        spawn_fiber([this] { rules_.run(); });
        spawn_fiber([this] { rules_.run_peers(); });
        spawn_fiber([this] { rules_.run_notices(); });
        spawn_fiber([this] { members_.run(); });
        spawn_fiber([this] { registry_.run(); });
        spawn_fiber([this] { service_.run(); });
        spawn_fiber([this] { router_.run(); });
        spawn_fiber([this] { router_.keep_links(); });
        spawn_fiber([this] { quotas_.run(); });
    }

    /// Returns when the process may end.
    void stop()
    {
        const auto began = std::chrono::steady_clock::now();
        shared_.begin_stop(began);
        const coordination::drain_schedule drain(began, shared_.options.grace);
        event(log_level::info, "gateway_stopping")
            .with("in_flight", shared_.requests_in_flight.load());
        spawn_fiber([this] { members_.leave(); });
        boost::this_fiber::sleep_until(drain.listen_end());
        for (const auto& it : workers_) {
            it->close_listener();
        }
        boost::this_fiber::sleep_until(drain.accept_end());
        constexpr std::chrono::milliseconds check_interval{20};
        while (shared_.requests_in_flight > 0 &&
               std::chrono::steady_clock::now() < drain.process_end()) {
            boost::this_fiber::sleep_for(check_interval);
        }
        event(log_level::info, "gateway_stopped")
            .with("in_flight", shared_.requests_in_flight.load());
    }

private:
    using relayed = relayed_source<Source, peer_source>;
    using thread_type = worker_thread<placed_worker<Dialect>>;

    static bool is_seed(const gateway_options& options)
    {
        const auto& seeds = options.seeds;
        return std::find(seeds.begin(), seeds.end(), options.self.control) !=
               seeds.end();
    }

    register_view view()
    {
        return {[this](state::time_point now) { return registry_.age(now); },
                [this](std::function<void()> done) {
                    registry_.refresh(std::move(done));
                },
                [this] { registry_.touch(); },
                [this] { return rules_.is_fresh(); }, &registry_.registry()};
    }

    void connect()
    {
        rules_.on_rules = [this] {
            const auto rules = shared_.rules.read();
            shared_.metrics.set_workspaces(rules->rules().workspaces);
            quotas_.set_limits(rules->rules());
            service_.update(rules);
            server_.tell_rules_version(rules->rules().version);
            router_.tell_rules_version(rules->rules().version);
            registry_.consider();
        };
        rules_.on_confirmed = [this] {
            server_.tell_rules_version(shared_.rules.read()->rules().version);
        };
        rules_.is_reader = [this] {
            return dispatches();
        };
        server_.document = [this] {
            return rules_.document();
        };
        server_.confirmed_age = [this] {
            return rules_.confirmed_age();
        };
        const auto hear = [this](const std::string& host,
                                 const protocol::rules_notice& it) {
            rules_.heard(host, it.version, it.confirmed_age);
        };
        server_.on_rules = hear;
        router_.on_rules = hear;
        members_.ask_peer = [this] {
            // With the version in force the answer leaves out the document.
            return ask_view({}, shared_.rules.read()->rules().version);
        };
        members_.is_reader = [this] {
            return dispatches();
        };
        members_.is_recorder = [this] {
            const auto rules = shared_.rules.read();
            const auto& services = rules->rules().services;
            const auto first = std::min_element(
                services.begin(), services.end(),
                [](const auto& a, const auto& b) { return a.first < b.first; });
            return members_.is_known() && first != services.end() &&
                   router_.is_primary(first->first);
        };
        rules_.ask_peer = [this](const std::string& host,
                                 std::uint64_t version) {
            return ask_peer(host, version);
        };
        registry_.on_read = [this] {
            service_.update();
        };
        registry_.is_wanted = [this] {
            return dispatches();
        };
        registry_.ask_dispatchers = [this] {
            return ask_dispatchers();
        };
        members_.on_read = [this] {
            quotas_.directory_read(!members_.was_named() &&
                                   !shared_.options.first_start);
        };
        members_.on_members = [this](const auto& members) {
            router_.set_members(members);
            quotas_.set_members(members);
            registry_.consider();
        };
        service_.is_primary = [this](const std::string& service) {
            return members_.is_known() && router_.is_primary(service);
        };
        server_.quotas = &quotas_;
        quotas_.on_holdings = [this](const state::quota_holdings& lent,
                                     double delegated) {
            const auto now = std::chrono::steady_clock::now();
            shared_.metrics.set_quotas(lent, shared_.quotas.holdings(now),
                                       delegated);
        };
        server_.hosts = [this] {
            return members_.members();
        };
        router_.knows_members = [this] {
            return members_.is_known();
        };
        peer_source_.is_wanted = [this] {
            return dispatches();
        };
        peer_source_.some_peer = [this] {
            return some_peer();
        };
        server_.read_source = [this](const state::source_request& request) {
            return request.call == state::source_call::known_upstreams
                       ? registry_.known(std::chrono::steady_clock::now())
                       : read_source(source_, request);
        };
    }

    /// True when this host is the first choice for a service in force.
    bool dispatches()
    {
        const auto rules = shared_.rules.read();
        const auto& services = rules->rules().services;
        return members_.is_known() &&
               std::any_of(services.begin(), services.end(),
                           [this](const auto& it) {
                               return router_.is_primary(it.first);
                           });
    }

    /// Register of the first host that dispatches and has a view.
    std::optional<state::registry_read> ask_dispatchers()
    {
        constexpr int most_asked = 4;
        int asked = 0;
        for (const auto& name : router_.other_dispatchers()) {
            if (++asked > most_asked) {
                break;
            }
            auto reply = peer_source_.ask(
                peer_named(name), {state::source_call::known_upstreams, 0});
            if (auto* it = reply ? std::get_if<state::registry_read>(&*reply)
                                 : nullptr) {
                return std::move(*it);
            }
        }
        return std::nullopt;
    }

    /// Address of the named host, or of a random one.
    state::endpoint peer_named(const std::string& name)
    {
        const auto* known = router_.find(name);
        return known != nullptr ? known->control : some_peer();
    }

    state::endpoint some_peer()
    {
        const auto& members = members_.members();
        const auto& seeds = shared_.options.seeds;
        const auto& self = shared_.options.self.control;
        std::vector<state::endpoint> peers;
        for (const auto& it : members) {
            if (it.control != self) {
                peers.push_back(it.control);
            }
        }
        if (peers.empty()) {
            std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(peers),
                         [&](const auto& it) { return it != self; });
        }
        return peers.empty() ? state::endpoint{}
                             : peers[random_() % peers.size()];
    }

    /// Document of another host that is newer than the version; empty when
    /// there is none.
    std::optional<protocol::fleet_view> ask_peer(const std::string& host,
                                                 std::uint64_t version)
    {
        auto told = ask_view(host, version);
        if (!told) {
            return std::nullopt;
        }
        members_.add(told->hosts);
        return told->rules_document.empty() ? std::nullopt : std::move(told);
    }

    /// What another host knows; empty without an answer.
    std::optional<protocol::fleet_view> ask_view(const std::string& host,
                                                 std::uint64_t version)
    {
        const auto peer = peer_named(host);
        constexpr std::chrono::milliseconds limit{500};
        const auto body = call_host(ioc_, peer, fleet_view_path,
                                    std::to_string(version), limit);
        if (!body) {
            return std::nullopt;
        }
        auto told = protocol::decode_fleet_view(*body);
        if (!told) {
            event(log_level::error, "fleet_view_malformed")
                .with("peer", to_string(peer))
                .with("findings", told.error().to_text("view"));
            return std::nullopt;
        }
        return std::move(told.value());
    }

    boost::asio::io_context& ioc_;
    gateway_shared shared_;
    Source& source_;
    peer_source peer_source_;
    relayed relayed_;
    registry_follower<relayed> registry_;
    rules_follower<relayed> rules_;
    member_directory<Source> members_;
    dispatch_service service_;
    dispatch_router router_;
    quota_service quotas_;
    dispatch_server server_;
    http_server ready_;
    std::atomic<std::uint64_t> numbers_{1};
    std::mt19937_64 random_{std::random_device()()};
    std::vector<std::unique_ptr<thread_type>> workers_;
};

} // namespace oriolegrade::transport

#endif
