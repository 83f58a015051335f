// Dispatchers and an entry on one thread, for tests of the way between them.

#ifndef ORIOLEGRADE_TEST_FAKES_DISPATCH_FLEET_HPP
#define ORIOLEGRADE_TEST_FAKES_DISPATCH_FLEET_HPP

#include "fakes/fiber_thread.hpp"
#include "fakes/held_port.hpp"

#include <oriolegrade/transport/gateway/dispatch_router.hpp>
#include <oriolegrade/transport/gateway/dispatch_server.hpp>

#include <boost/fiber/operations.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace oriolegrade::test {

using namespace std::chrono_literals;

inline constexpr std::uint32_t loopback = 0x7f000001;

/// Register that the test writes, as one host sees it.
struct fake_view
{
    coordination::upstream_registry registry;
    state::duration age = 0s;
    int refreshes = 0;
    /// Number of calls for the age that throw.
    int age_faults = 0;
    /// Reads of the register do not end.
    bool store_silent = false;
    /// Reads of the register end with end_reads().
    bool reading = false;
    std::vector<std::function<void()>> reads;

    void end_reads()
    {
        reading = false;
        age = 0s;
        for (const auto& it : std::exchange(reads, {})) {
            it();
        }
    }

    transport::register_view view()
    {
        return {[this](state::time_point) {
                    if (age_faults > 0) {
                        --age_faults;
                        throw std::runtime_error("made by a test");
                    }
                    return age;
                },
                [this](const std::function<void()>& done) {
                    ++refreshes;
                    if (reading) {
                        reads.push_back(done);
                    } else if (!store_silent) {
                        done();
                    }
                },
                [] {}, [this] { return !store_silent; }, &registry};
    }

    void add(const std::string& id)
    {
        state::registered_upstream it;
        it.id = id;
        it.service = "s";
        it.address = {loopback, 1};
        it.data_centre = "dc1";
        it.slots = 1;
        registry.apply({state::registry_change_kind::written, id, it}, {});
    }
};

inline transport::gateway_options options_of(const std::string& name,
                                             std::uint16_t port)
{
    transport::gateway_options out;
    out.self = {name, "dc1", {loopback, port}, 1000};
    out.budget = {0.2, 100, 10s};
    return out;
}

/// One host: dispatcher, its server and its router.
struct fake_host
{
    fake_host(boost::asio::io_context& ioc, const std::string& name)
        : port(ioc)
        , shared(options_of(name, port.number()))
        , service({shared.options.budget}, own.view())
        , router(ioc, shared, service)
    {
        service.is_primary = [this](const std::string& s) {
            return router.is_primary(s);
        };
        router.on_rules = [this](const std::string&,
                                 const protocol::rules_notice& it) {
            heard = it.version;
            heard_age = it.confirmed_age;
        };
        start_server(ioc);
        transport::spawn_fiber([this] { router.run(); });
        transport::spawn_fiber([this] { service.run(); });
    }

    /// Ends the streams of other hosts, if there are any, and listens anew.
    void start_server(boost::asio::io_context& ioc)
    {
        server.reset();
        server =
            std::make_unique<transport::dispatch_server>(ioc, shared, service);
        server->on_rules = router.on_rules;
        server->confirmed_age = [] {
            return std::optional<state::duration>(20ms);
        };
        server->document = [this] {
            return protocol::fleet_view{shared.rules.read()->rules().document,
                                        {}};
        };
        server->hosts = [] {
            return std::vector<state::host_member>();
        };
    }

    using answer_ptr = std::shared_ptr<std::optional<state::place_answer>>;

    /// Asks for a place; the answer arrives later.
    answer_ptr ask(state::send_kind kind = state::send_kind::first)
    {
        state::place_request request;
        request.service = "s";
        request.route = "r";
        request.kind = kind;
        request.time_left = 5s;
        request.target_left = 1s;
        const auto answer =
            std::make_shared<std::optional<state::place_answer>>();
        router.ask(++last, request,
                   [answer](const state::place_answer& it) { *answer = it; });
        return answer;
    }

    /// Asks for a place and waits for the answer.
    std::optional<state::place_answer>
    place(state::send_kind kind = state::send_kind::first)
    {
        const auto answer = ask(kind);
        const auto until = std::chrono::steady_clock::now() + 1s;
        while (!*answer && std::chrono::steady_clock::now() < until) {
            boost::this_fiber::sleep_for(1ms);
        }
        return *answer;
    }
    void end(std::uint64_t number)
    {
        router.report(number, {state::send_result::answered, 10ms, {}});
        boost::this_fiber::sleep_for(20ms);
    }

    held_port port;
    fake_view own;
    transport::gateway_shared shared;
    transport::dispatch_service service;
    transport::dispatch_router router;
    std::unique_ptr<transport::dispatch_server> server;
    std::uint64_t last = 0;
    std::uint64_t heard = 0;
    std::optional<state::duration> heard_age;
};

inline std::string upstream_of(const std::optional<state::place_answer>& answer)
{
    if (!answer || !std::holds_alternative<state::place>(*answer)) {
        return "";
    }
    return std::get<state::place>(*answer).upstream;
}

/// Dispatchers and an entry; the entry is last in the order for "s".
class fleet
{
public:
    explicit fleet(std::size_t size)
    {
        std::vector<state::host_member> members;
        for (std::size_t n = 0; n < size; ++n) {
            hosts.push_back(std::make_unique<fake_host>(
                fiber_context(), "host-" + std::to_string(n)));
            members.push_back(hosts.back()->shared.options.self);
        }
        coordination::dispatcher_ranking ranking;
        ranking.set_members(members);
        const auto order =
            ranking.candidates("s", size, std::chrono::steady_clock::now());
        for (const auto& it : order) {
            ranked.push_back(
                hosts.at(static_cast<std::size_t>(it.name.back() - '0')).get());
        }
        for (const auto& it : hosts) {
            it->router.set_members(members);
        }
        first().own.add("u-first");
        second().own.add("u-second");
        entry().own.add("u-own");
        if (size > 3) {
            third().own.add("u-third");
        }
    }

    fake_host& first()
    {
        return *ranked.at(0);
    }
    fake_host& second()
    {
        return *ranked.at(1);
    }
    fake_host& entry()
    {
        return *ranked.back();
    }
    /// Its place in the order is 2.
    fake_host& third()
    {
        return *ranked.at(2);
    }

    std::vector<state::host_member> members() const
    {
        std::vector<state::host_member> out;
        for (const auto& it : hosts) {
            out.push_back(it->shared.options.self);
        }
        return out;
    }

    std::vector<std::unique_ptr<fake_host>> hosts;
    std::vector<fake_host*> ranked;
};

/// Kept until the process ends: fibers that wait on sockets refer to it.
inline fleet& make_fleet(std::size_t size = 3)
{
    static std::vector<std::unique_ptr<fleet>> fleets;
    fleets.push_back(std::make_unique<fleet>(size));
    return *fleets.back();
}

} // namespace oriolegrade::test

#endif
