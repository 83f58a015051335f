// Cost of configuration on a host: one change, a whole snapshot, and the
// memory of the tables. Targets: a change below 1 ms, an agent below 64 MB.

#include "coordination/sample_configuration.hpp"

#include <oriolegrade/coordination/configuration_state.hpp>
#include <oriolegrade/coordination/feed.hpp>
#include <oriolegrade/coordination/membership.hpp>

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace {

using namespace oriolegrade;

std::size_t heap_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Bytes beyond `before`, or 0 when memory shrank.
std::size_t grown_since(std::size_t before)
{
    return std::max(heap_bytes(), before) - before;
}

/// Applies one route change after another to tables of range(0) routes.
void apply_change(benchmark::State& run)
{
    const auto routes = static_cast<std::uint32_t>(run.range(0));
    state::record next;
    coordination::configuration_state conf(
        [&](std::string_view) -> state::result<state::record, state::findings> {
            return next;
        });
    coordination::configuration_change change;
    conf.restore(bench::sample_snapshot(routes), change);
    change = {};
    std::uint32_t n = 0;
    for (auto _ : run) {
        run.PauseTiming();
        const auto route = n++ % routes;
        next = bench::sample_record(
            {state::record_kind::route, "route-" + std::to_string(route), 1},
            bench::sample_route(route), 1'000'000 + n);
        next.base_revision = conf.current()->find(next.key)->revision;
        const auto offset = conf.next_offset();
        // The request path keeps the version before.
        const auto in_use = conf.current();
        run.ResumeTiming();
        conf.apply({offset, offset + 1, {{offset, {}}}}, change);
        benchmark::DoNotOptimize(change.changed.data());
        if (change.changed.size() != 1) {
            run.SkipWithError("the change was not accepted");
        }
    }
}
BENCHMARK(apply_change)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Unit(benchmark::kMicrosecond);

/// Applies a delta of one entry on the side of the request path.
void apply_delta(benchmark::State& run)
{
    const auto routes = static_cast<std::uint32_t>(run.range(0));
    coordination::configuration_state agent(
        [](std::string_view) -> state::result<state::record, state::findings> {
            return state::findings();
        });
    coordination::configuration_change change;
    agent.restore(bench::sample_snapshot(routes), change);
    auto content = agent.current();
    std::uint64_t id = 0;
    for (auto _ : run) {
        run.PauseTiming();
        const auto offset = content->next_offset();
        const auto fresh = std::make_shared<state::entry>(
            state::entry{{state::record_kind::route, "route-7", 1},
                         2,
                         offset,
                         {2, ++id},
                         "operator-1",
                         bench::sample_route(7)});
        const state::feed_update update{
            state::feed_kind::delta, offset, offset + 1, {fresh}, {}};
        run.ResumeTiming();
        benchmark::DoNotOptimize(
            coordination::apply_feed_update(content, update));
    }
}
BENCHMARK(apply_delta)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Unit(benchmark::kMicrosecond);

/// Builds the whole tables from a snapshot; reports their memory.
void restore_snapshot(benchmark::State& run)
{
    const auto routes = static_cast<std::uint32_t>(run.range(0));
    std::size_t bytes = 0;
    for (auto _ : run) {
        run.PauseTiming();
        malloc_trim(0);
        const auto before = heap_bytes();
        auto snapshot = bench::sample_snapshot(routes);
        coordination::configuration_state conf(
            [](std::string_view)
                -> state::result<state::record, state::findings> {
                return state::findings();
            });
        run.ResumeTiming();
        coordination::configuration_change change;
        conf.restore(snapshot, change);
        run.PauseTiming();
        snapshot = {};
        change = {};
        bytes = grown_since(before);
        run.ResumeTiming();
    }
    run.counters["table_MB"] = static_cast<double>(bytes) / 1e6;
}
BENCHMARK(restore_snapshot)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Iterations(5)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
