// Cost of evidence and verdicts at one agent of the largest fleet: CPU time
// of its thread, and bytes on its connections to other hosts with the headers
// of TCP and IP. The other hosts are stand-ins on a second thread that take
// evidence, and send it as often as the average host receives it.

#include <oriolegrade/protocol/health_datagram.hpp>
#include <oriolegrade/protocol/health_messages.hpp>
#include <oriolegrade/transport/agent_health.hpp>
#include <oriolegrade/transport/entry_health.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>
#include <oriolegrade/transport/stop_signal.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <benchmark/benchmark.h>
#include <boost/asio/ip/udp.hpp>
#include <boost/fiber/operations.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>
#include <ctime>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using boost::this_fiber::sleep_until;
using steady = std::chrono::steady_clock;
using udp = boost::asio::ip::udp;

constexpr std::uint32_t first_address = 0x7f010001;
constexpr std::size_t fleet_hosts = 810;
constexpr std::size_t upstreams_per_service = 19;
constexpr double requests_per_second = 69;
constexpr double failure_share = 0.005;
/// Requests that the entry's evidence is gathered from.
constexpr auto entry_interval = 100ms;
/// IPv4, TCP and its time stamps.
constexpr std::uint64_t tcp_header_bytes = 52;
/// IPv4 and UDP.
constexpr std::uint64_t udp_header_bytes = 28;
/// With streams only, long enough that most connections are open.
constexpr std::chrono::seconds warm_up{32};
constexpr std::chrono::seconds measured{25};

std::string service_name(std::size_t n)
{
    return "service-" + std::to_string(n);
}

state::endpoint upstream(std::size_t service, std::size_t n)
{
    return {static_cast<std::uint32_t>(0x0a000000 + service * 256 + n), 8080};
}

state::configuration_ptr make_configuration(std::size_t services)
{
    state::configuration conf;
    for (std::size_t s = 0; s < services; ++s) {
        state::service_spec spec;
        for (std::size_t n = 0; n < upstreams_per_service; ++n) {
            spec.upstreams.push_back({upstream(s, n), "dc", 4, 400});
        }
        state::entry entry;
        entry.key = {state::record_kind::service, service_name(s), 1};
        entry.body = spec;
        conf.put(std::make_shared<const state::entry>(entry));
    }
    return std::make_shared<const state::configuration>(std::move(conf));
}

double thread_cpu()
{
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) +
           static_cast<double>(ts.tv_nsec) / 1e9;
}

/// The kernel's structure goes on where the C library's ends.
struct counted_tcp_info
{
    tcp_info base;
    std::uint64_t pacing_rate;
    std::uint64_t max_pacing_rate;
    std::uint64_t bytes_acked;
    std::uint64_t bytes_received;
    std::uint32_t segs_out;
    std::uint32_t segs_in;
};

static_assert(sizeof(tcp_info) == 104);

/// Counts both directions of the connections accepted on some ports, those
/// that end meanwhile included.
class traffic_meter
{
public:
    explicit traffic_meter(std::set<std::uint16_t> ports)
        : ports_(std::move(ports))
        , thread_([this] { run(); })
    {}
    ~traffic_meter()
    {
        over_ = true;
        thread_.join();
    }

    std::uint64_t bytes()
    {
        const std::lock_guard lock(mutex_);
        std::uint64_t sum = 0;
        for (const auto& [ends, n] : bytes_) {
            sum += n;
        }
        return sum;
    }
    std::size_t connections() const
    {
        return connections_;
    }

private:
    void run()
    {
        while (!over_) {
            sample();
            std::this_thread::sleep_for(300ms);
        }
    }

    void sample()
    {
        const std::lock_guard lock(mutex_);
        std::size_t count = 0;
        for (int fd = 3; fd < 4096; ++fd) {
            count += sample_one(fd) ? 1 : 0;
        }
        connections_ = count;
    }

    bool sample_one(int fd)
    {
        const auto own = port_of(fd, getsockname);
        counted_tcp_info info{};
        socklen_t size = sizeof info;
        if (ports_.count(own) == 0 ||
            getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
            info.base.tcpi_state != TCP_ESTABLISHED) {
            return false;
        }
        bytes_[{own, port_of(fd, getpeername)}] =
            info.bytes_acked + info.bytes_received +
            tcp_header_bytes * (info.segs_in + info.segs_out);
        return true;
    }

    template <class Function>
    static std::uint16_t port_of(int fd, Function name)
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        const int result =
            name(fd, reinterpret_cast<sockaddr*>(&address), &size);
        return result == 0 ? ntohs(address.sin_port) : 0;
    }

    const std::set<std::uint16_t> ports_;
    std::mutex mutex_;
    std::map<std::pair<std::uint16_t, std::uint16_t>, std::uint64_t> bytes_;
    std::atomic<std::size_t> connections_ = 0;
    std::atomic<bool> over_ = false;
    std::thread thread_;
};

/// Datagrams of one host, or of all the stand-ins.
struct datagram_port
{
    datagram_port(boost::asio::io_context& ioc, std::uint16_t port)
        : socket(ioc, udp::endpoint(udp::v4(), port))
    {
        socket.non_blocking(true);
    }

    /// Receives until the socket is closed.
    template <class Handler>
    void receive(Handler handle)
    {
        std::array<char, 2048> buf{};
        udp::endpoint from;
        for (;;) {
            boost::system::error_code ec;
            const auto n = socket.async_receive_from(
                boost::asio::buffer(buf), from, transport::fiber_yield(ec));
            if (ec) {
                return;
            }
            handle(std::string_view(buf.data(), n), from);
        }
    }
    void send(const udp::endpoint& to, const std::string& bytes)
    {
        boost::system::error_code ec;
        socket.send_to(boost::asio::buffer(bytes), to, 0, ec);
    }
    void send(const state::endpoint& to, const std::string& bytes)
    {
        send(udp::endpoint(boost::asio::ip::address_v4(to.address), to.port),
             bytes);
    }

    udp::socket socket;
};

transport::agent_health_options options_of(double rate, bool datagrams)
{
    transport::agent_health_options options;
    options.messages_per_second = rate;
    if (!datagrams) {
        // Each message takes a stream, so connections are kept.
        options.collector_streams.ping_interval = 40s;
        options.collector_streams.idle_timeout = 60s;
    }
    return options;
}

/// Evidence of one host in one entry interval, a batch per service.
std::map<std::size_t, state::evidence_batch>
sample(std::mt19937_64& random, std::size_t services, double requests)
{
    std::map<std::size_t, state::evidence_batch> batches;
    std::poisson_distribution<int> count(requests);
    for (int n = count(random); n > 0; --n) {
        const auto s = random() % services;
        auto& batch = batches[s];
        batch.service = service_name(s);
        state::evidence_item item;
        item.upstream = upstream(s, random() % 6);
        item.request = static_cast<state::request_class>(random() % 2);
        const bool bad = std::bernoulli_distribution(failure_share)(random);
        ++item.counts[bad ? state::evidence_kind::failure
                          : state::evidence_kind::success];
        batch.items.push_back(item);
    }
    return batches;
}

/// Collectors and reporters that the measured agent talks to.
struct other_hosts
{
    other_hosts(boost::asio::io_context& ioc,
                boost::asio::ip::tcp::acceptor acceptor,
                const state::endpoint& agent, std::size_t own_services,
                const transport::stream_limits& limits)
        : server(std::move(acceptor), "key", limits,
                 [](transport::server_stream& stream) {
                     (void)stream.read_all(128 * 1024);
                     (void)stream.reply(204, "");
                 })
    {
        server.start();
        for (std::size_t n = 0; n < own_services; ++n) {
            clients.push_back(std::make_unique<transport::stream_client>(
                ioc, agent, "key", limits));
        }
    }

    transport::stream_server server;
    std::vector<std::unique_ptr<transport::stream_client>> clients;
};

struct run_result
{
    double cpu = 0;
    double bytes = 0;
    double connections = 0;
    double messages = 0;
};

/// One measurement. The stand-ins' thread feeds the agent until `end`.
struct measurement
{
    measurement(std::size_t service_count, double messages_per_second,
                bool with_datagrams)
        : services(service_count)
        , rate(messages_per_second)
        , datagrams(with_datagrams)
    {}

    void run_agent(boost::asio::io_context& ioc)
    {
        auto feed =
            transport::listen_on(ioc, transport::to_tcp({0x7f000001, 0}));
        auto peer = transport::listen_on(ioc, transport::to_tcp({0, 0}));
        const auto port = peer.value().local_endpoint().port();
        const state::endpoint self{first_address, port};
        const auto standin_port = standin.get_future().get();
        std::vector<state::endpoint> live{self};
        for (std::uint32_t n = 1; n < fleet_hosts; ++n) {
            live.push_back({first_address + n, standin_port});
        }
        auto conf = make_configuration(services);
        const auto options = options_of(rate, datagrams);
        datagram_port wire(ioc, port);
        transport::agent_health_sources sources{
            self, [&] { return live; }, [&] { return conf; }, nullptr, nullptr};
        if (datagrams) {
            sources.send_datagram = [&](const auto& to, const auto& bytes) {
                wire.send(to, bytes);
            };
        }
        transport::agent_health health(ioc, "key", sources, options);
        transport::fiber_group receiver;
        receiver.spawn([&] {
            wire.receive([&](auto bytes, const auto& from) {
                const auto reply = health.take_datagram(bytes);
                if (!reply.empty()) {
                    wire.send(from, reply);
                }
            });
        });
        const auto limits = options.collector_streams;
        transport::stream_server own(
            std::move(feed.value()), "key", {},
            [&](transport::server_stream& s) { (void)health.serve_own(s); });
        transport::stream_server peers(
            std::move(peer.value()), "key", limits,
            [&](transport::server_stream& s) { (void)health.serve_peer(s); });
        health.start();
        own.start();
        peers.start();
        ready.set_value(
            {{0x7f000001, own.port().value()}, {first_address, port}});
        boost::this_fiber::sleep_for(warm_up);
        traffic_meter meter({port, standin_port});
        boost::this_fiber::sleep_for(1s);
        const auto before = take(health, meter);
        boost::this_fiber::sleep_for(measured);
        const auto after = take(health, meter);
        const double seconds = std::chrono::duration<double>(measured).count();
        result = {(after.cpu - before.cpu) / seconds,
                  (after.bytes - before.bytes) / seconds, after.connections,
                  (after.messages - before.messages) / seconds};
        over = true;
        wire.socket.close();
        receiver.join();
        boost::this_fiber::sleep_for(300ms);
        own.stop(0ms);
        peers.stop(0ms);
        health.stop();
    }

    static run_result take(const transport::agent_health& health,
                           traffic_meter& meter)
    {
        const auto& counts = health.counts();
        return {thread_cpu(),
                static_cast<double>(meter.bytes() + counts.datagram_bytes +
                                    udp_header_bytes * counts.datagrams),
                static_cast<double>(meter.connections()),
                static_cast<double>(counts.batches_sent +
                                    counts.batches_collected)};
    }

    void run_others(boost::asio::io_context& ioc)
    {
        auto acceptor =
            std::move(transport::listen_on(ioc, transport::to_tcp({0, 0})))
                .value();
        const auto standin_port = acceptor.local_endpoint().port();
        standin.set_value(standin_port);
        const auto [feed, agent] = ready.get_future().get();
        // Each host reaches about as many collectors as reach it.
        other_hosts others(ioc, std::move(acceptor), agent, services,
                           options_of(rate, datagrams).collector_streams);
        datagram_port wire(ioc, standin_port);
        std::uint64_t told = 0;
        calls.spawn([&] {
            wire.receive([&](auto bytes, const auto&) {
                const auto message =
                    protocol::decode_health_datagram(bytes, "key");
                const auto* set =
                    std::get_if<state::verdict_set>(&message.value());
                told = set != nullptr ? set->sequence : told;
            });
        });
        transport::entry_health entry(ioc, feed, "key", [](const auto&) {});
        entry.start();
        std::mt19937_64 random(7);
        auto next = steady::now();
        const double per_interval =
            requests_per_second *
            std::chrono::duration<double>(entry_interval).count();
        std::uint64_t sequence = 0;
        // The others merge as this host does.
        coordination::evidence_batcher batcher(200ms, rate);
        std::vector<std::uint64_t> known(services);
        while (!over) {
            next += entry_interval;
            for (auto& [s, batch] : sample(random, services, per_interval)) {
                entry.send(std::move(batch));
            }
            // What other hosts send: as much as this host does, each from
            // another host, about a service that falls to this one.
            for (auto& [s, batch] : sample(random, services, per_interval)) {
                batcher.add(batch, next);
            }
            for (auto& batch : batcher.take_due(next)) {
                const auto s = std::stoul(batch.service.substr(8));
                batch.host = {first_address + 1 + static_cast<unsigned>(s),
                              standin_port};
                batch.service = service_name(0);
                batch.incarnation = {1, s + 1};
                batch.sequence = ++sequence;
                for (auto& item : batch.items) {
                    item.upstream.address =
                        upstream(0, 0).address + item.upstream.address % 256;
                }
                if (datagrams && !coordination::has_negative_evidence(batch)) {
                    wire.send(agent,
                              protocol::encode_datagram({batch, told}, "key"));
                    continue;
                }
                spawn_call(*others.clients[s], known[s],
                           protocol::encode(batch));
            }
            sleep_until(next);
        }
        entry.stop();
        wire.socket.close();
        calls.join();
        for (auto& it : others.clients) {
            it->stop();
        }
        others.server.stop(0ms);
    }

    void spawn_call(transport::stream_client& client, std::uint64_t& known,
                    std::string bytes)
    {
        calls.spawn([&client, &known, bytes = std::move(bytes)] {
            const auto reply =
                client.call(transport::collect_path,
                            {{std::string(transport::known_sequence_header),
                              std::to_string(known)}},
                            bytes, 1s);
            if (reply && reply.value().status == 200) {
                const auto set =
                    protocol::decode_verdict_set(reply.value().body);
                known = set ? set.value().sequence : 0;
            }
        });
    }

    std::size_t services;
    double rate;
    bool datagrams;
    std::promise<std::uint16_t> standin;
    std::promise<std::pair<state::endpoint, state::endpoint>> ready;
    std::atomic<bool> over = false;
    run_result result;
    transport::fiber_group calls;
};

void agent_health_cost(benchmark::State& bench)
{
    for (auto _ : bench) {
        measurement run(static_cast<std::size_t>(bench.range(0)),
                        static_cast<double>(bench.range(1)),
                        bench.range(2) != 0);
        std::thread agent([&] {
            transport::run_fibers(
                [&](boost::asio::io_context& ioc) { run.run_agent(ioc); });
        });
        std::thread others([&] {
            transport::run_fibers(
                [&](boost::asio::io_context& ioc) { run.run_others(ioc); });
        });
        agent.join();
        others.join();
        bench.counters["core_percent"] = run.result.cpu * 100;
        bench.counters["bytes_per_second"] = run.result.bytes;
        bench.counters["connections"] = run.result.connections;
        bench.counters["messages_per_second"] = run.result.messages;
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        bench.counters["process_mb"] =
            static_cast<double>(usage.ru_maxrss) / 1024;
    }
}

} // namespace

BENCHMARK(agent_health_cost)
    ->ArgNames({"services", "budget", "datagrams"})
    ->Args({1, 20, 1})
    ->Args({10, 20, 1})
    ->Args({100, 20, 1})
    ->Args({490, 20, 1})
    ->Args({490, 1000, 1})
    ->Args({490, 20, 0})
    ->Args({490, 1000, 0})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

BENCHMARK_MAIN();
