// Cost of the floor and of evidence: time per decision and bytes per upstream.

#include <oriolegrade/coordination/health_collector.hpp>
#include <oriolegrade/coordination/service_floor.hpp>

#include <benchmark/benchmark.h>

namespace {

using namespace oriolegrade;

state::endpoint address_of(std::size_t n)
{
    return {static_cast<std::uint32_t>(0x0a000000 + n), 8080};
}

std::vector<coordination::floor_input> inputs_of(std::size_t count)
{
    std::vector<coordination::floor_input> inputs(count);
    for (std::size_t n = 0; n < count; ++n) {
        inputs[n].address = address_of(n);
        inputs[n].slots = 4;
        if (n % 3 == 0) {
            inputs[n].state = state::upstream_state::ejected;
            inputs[n].severity = static_cast<double>(n % 7) / 7;
        }
    }
    return inputs;
}

/// A third of the service is ejected; the floor needs part of it back.
void apply_floor(benchmark::State& bench)
{
    const auto count = static_cast<std::size_t>(bench.range(0));
    const auto inputs = inputs_of(count);
    const auto floor = static_cast<std::uint32_t>(count * 4 * 8 / 10);
    for (auto _ : bench) {
        benchmark::DoNotOptimize(coordination::apply_floor(inputs, floor));
    }
}
BENCHMARK(apply_floor)->Arg(20)->Arg(200);

state::service_spec service_of(std::size_t count)
{
    state::service_spec service;
    for (std::size_t n = 0; n < count; ++n) {
        service.upstreams.push_back({address_of(n), "dc1", 4, 400});
    }
    return service;
}

/// One host's batch with one item per upstream; time is per batch.
void add_evidence(benchmark::State& bench)
{
    const auto count = static_cast<std::size_t>(bench.range(0));
    coordination::health_collector collector(service_of(count));
    state::evidence_batch batch;
    for (std::size_t n = 0; n < count; ++n) {
        batch.items.push_back({address_of(n), {}, {}});
        batch.items.back().counts[state::evidence_kind::success] = 3;
    }
    state::time_point now(std::chrono::seconds(1000));
    for (auto _ : bench) {
        // 810 hosts, each every 100 ms.
        now += std::chrono::microseconds(123);
        ++batch.sequence;
        batch.host = {0x0b000000U +
                          static_cast<std::uint32_t>(batch.sequence % 810),
                      9090};
        benchmark::DoNotOptimize(collector.add(batch, now));
    }
    bench.SetItemsProcessed(static_cast<std::int64_t>(
        bench.iterations() * static_cast<std::int64_t>(count)));
    bench.counters["bytes_per_upstream"] =
        static_cast<double>(collector.memory_bytes()) /
        static_cast<double>(count);
}
BENCHMARK(add_evidence)->Arg(20)->Arg(200);

/// What time alone decides, every 100 ms.
void advance(benchmark::State& bench)
{
    const auto count = static_cast<std::size_t>(bench.range(0));
    coordination::health_collector collector(service_of(count));
    state::time_point now(std::chrono::seconds(1000));
    for (auto _ : bench) {
        now += std::chrono::milliseconds(100);
        benchmark::DoNotOptimize(collector.advance(now));
    }
}
BENCHMARK(advance)->Arg(20)->Arg(200);

} // namespace

BENCHMARK_MAIN();
