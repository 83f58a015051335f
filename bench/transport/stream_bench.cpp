// Cost of streams between own processes: unary calls over one connection,
// latency at a low load, memory per connection and per open stream.

#include <oriolegrade/transport/stream_client.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <benchmark/benchmark.h>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <fstream>
#include <future>
#include <thread>
#include <unistd.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::transport;
using namespace std::chrono_literals;
using bench_clock = std::chrono::steady_clock;

constexpr std::uint32_t loopback = 0x7f000001;

/// A server on its own thread. "/hold" keeps its stream open until the end.
class server_thread
{
public:
    server_thread()
    {
        auto port = started_.get_future();
        thread_ = std::thread([this] { serve(); });
        port_ = port.get();
    }
    ~server_thread()
    {
        stop_.set_value();
        thread_.join();
    }
    std::uint16_t port() const
    {
        return port_;
    }

private:
    void serve()
    {
        run_fibers([this](boost::asio::io_context& ioc) {
            auto stop = stop_.get_future();
            stream_server server(
                std::move(
                    listen_on(ioc, {boost::asio::ip::address_v4(loopback), 0}))
                    .value(),
                "key", {}, [](server_stream& s) { answer(s); });
            server.start();
            started_.set_value(server.port().value());
            stop.wait();
            server.stop(0ms);
        });
    }

    static void answer(server_stream& s)
    {
        if (s.path() == "/hold") {
            // Returns when the client resets the stream.
            static_cast<void>(s.read_all(1000));
            s.refuse();
            return;
        }
        const auto body = s.read_all(64 * 1024);
        if (body) {
            static_cast<void>(s.reply(200, body.value()));
        }
    }

    std::promise<std::uint16_t> started_;
    boost::fibers::promise<void> stop_;
    std::thread thread_;
    std::uint16_t port_ = 0;
};

double percentile(std::vector<double>& sorted, double p)
{
    return sorted[static_cast<std::size_t>(
        p * static_cast<double>(sorted.size() - 1))];
}

std::size_t resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Argument: calls in flight over the one connection.
void unary_calls(benchmark::State& state)
{
    server_thread server;
    const auto concurrency = static_cast<std::size_t>(state.range(0));
    std::vector<double> micros;
    run_fibers([&](boost::asio::io_context& ioc) {
        stream_client client(ioc, {loopback, server.port()}, "key", {});
        const std::string body(200, 'b');
        bool done = false;
        std::size_t failed = 0;
        const auto call = [&] {
            const auto start = bench_clock::now();
            const auto reply = client.call("/echo", {}, body, 5s);
            failed += reply && reply.value().body == body ? 0 : 1;
            micros.push_back(std::chrono::duration<double, std::micro>(
                                 bench_clock::now() - start)
                                 .count());
        };
        std::vector<boost::fibers::fiber> others;
        for (std::size_t i = 1; i < concurrency; ++i) {
            others.emplace_back([&] {
                while (!done) {
                    call();
                }
            });
        }
        for (auto _ : state) {
            call();
        }
        done = true;
        for (auto& it : others) {
            it.join();
        }
        client.stop();
        if (failed > 0) {
            state.SkipWithError("calls failed");
        }
    });
    state.counters["calls_per_second"] = benchmark::Counter(
        static_cast<double>(micros.size()), benchmark::Counter::kIsRate);
    std::sort(micros.begin(), micros.end());
    state.counters["p50_us"] = percentile(micros, 0.5);
    state.counters["p99_us"] = percentile(micros, 0.99);
}
BENCHMARK(unary_calls)->Arg(1)->Arg(10)->Arg(100)->UseRealTime();

/// Memory of both ends together, which share this process.
void memory(benchmark::State& state)
{
    constexpr std::size_t connections = 200;
    constexpr std::size_t streams = 200;
    server_thread server;
    double per_connection = 0;
    double per_stream = 0;
    for (auto _ : state) {
        run_fibers([&](boost::asio::io_context& ioc) {
            std::vector<std::unique_ptr<stream_client>> clients;
            const auto start = resident_bytes();
            for (std::size_t i = 0; i < connections; ++i) {
                clients.push_back(std::make_unique<stream_client>(
                    ioc, state::endpoint{loopback, server.port()}, "key",
                    stream_limits()));
                clients.back()->call("/echo", {}, "x", 5s).value();
            }
            const auto connected = resident_bytes();
            std::vector<client_stream> held;
            for (std::size_t i = 0; i < 10 * streams; ++i) {
                held.push_back(
                    std::move(clients[i / streams]->open("/hold", {}, 60s))
                        .value());
            }
            boost::this_fiber::sleep_for(200ms);
            const auto open = resident_bytes();
            per_connection = static_cast<double>(connected - start) /
                             static_cast<double>(connections);
            per_stream = static_cast<double>(open - connected) /
                         static_cast<double>(held.size());
            held.clear();
            for (auto& it : clients) {
                it->stop();
            }
        });
    }
    state.counters["bytes_per_connection_both_ends"] = per_connection;
    state.counters["bytes_per_stream_both_ends"] = per_stream;
}
BENCHMARK(memory)->Iterations(1)->UseRealTime()->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
