// Cost of decoding records and snapshots, and of gossip for each period with
// its datagrams. Targets for control on a host: 2.8% of a core and 14 KB/s.

#include "coordination/sample_configuration.hpp"

#include <oriolegrade/coordination/membership.hpp>
#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/protocol/gossip_datagram.hpp>
#include <oriolegrade/protocol/record_json.hpp>

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace {

using namespace oriolegrade;

constexpr std::string_view fleet_key = "0123456789abcdef";

void decode_bytes(benchmark::State& run, const state::record& rec)
{
    const auto bytes = protocol::encode_record(rec);
    for (auto _ : run) {
        const auto again = protocol::decode_record(bytes);
        if (!again) {
            run.SkipWithError("the record was refused");
            break;
        }
    }
    run.counters["record_bytes"] = static_cast<double>(bytes.size());
}

void decode_service(benchmark::State& run)
{
    const auto servers = static_cast<std::uint32_t>(run.range(0));
    decode_bytes(
        run, bench::sample_record({state::record_kind::service, "service-1", 2},
                                  bench::sample_service(1, servers), 1));
}
BENCHMARK(decode_service)
    ->Arg(10)
    ->Arg(20)
    ->Arg(200)
    ->Unit(benchmark::kMicrosecond);

void decode_route(benchmark::State& run)
{
    decode_bytes(run,
                 bench::sample_record({state::record_kind::route, "route-1", 1},
                                      bench::sample_route(1), 1));
}
BENCHMARK(decode_route)->Unit(benchmark::kMicrosecond);

void decode_workspace(benchmark::State& run)
{
    decode_bytes(run, bench::sample_record(
                          {state::record_kind::workspace, "workspace-1", 1},
                          state::workspace_spec{20, 40, 8}, 1));
}
BENCHMARK(decode_workspace)->Unit(benchmark::kMicrosecond);

void encode_full_snapshot(benchmark::State& run)
{
    auto snapshot = bench::sample_snapshot(bench::planned_routes);
    std::size_t bytes = 0;
    for (auto _ : run) {
        bytes = protocol::encode_snapshot(snapshot).size();
    }
    run.counters["MB"] = static_cast<double>(bytes) / 1e6;
}
BENCHMARK(encode_full_snapshot)->Unit(benchmark::kMillisecond);

void decode_full_snapshot(benchmark::State& run)
{
    auto snapshot = bench::sample_snapshot(bench::planned_routes);
    const auto bytes = protocol::encode_snapshot(snapshot);
    snapshot = {};
    for (auto _ : run) {
        const auto again = protocol::decode_snapshot(bytes);
        if (!again) {
            run.SkipWithError("the snapshot was refused");
            break;
        }
    }
}
BENCHMARK(decode_full_snapshot)->Unit(benchmark::kMillisecond);

state::member_info sample_member(std::uint32_t n)
{
    const state::endpoint ep{0x0a000001 + n, 7001};
    return {"host-" + std::to_string(1000 + n),
            "region1-dc" + std::to_string(n % 5),
            ep,
            ep,
            ep,
            1'700'000'000'000,
            state::member_state::alive,
            false,
            123'456};
}

class counter_random
{
public:
    std::uint64_t next()
    {
        return value_ += 0x9e3779b97f4a7c15;
    }

private:
    std::uint64_t value_ = 0;
};

/// Host that knows all members.
coordination::membership make_host(std::uint32_t self, std::uint32_t size,
                                   state::time_point now)
{
    coordination::membership host(sample_member(self), {}, now);
    for (std::uint32_t n = 0; n < size; ++n) {
        if (n != self) {
            state::gossip_message m;
            m.kind = state::gossip_kind::news;
            m.sender = sample_member(n);
            host.receive(now, m.sender.gossip, m);
        }
    }
    return host;
}

/// One host and period: a ping out and an ack in, a ping in and an ack out.
void gossip_period(benchmark::State& run)
{
    const auto size = static_cast<std::uint32_t>(run.range(0));
    state::time_point now{std::chrono::hours(1)};
    auto host = make_host(0, size, now);
    auto peer = make_host(1, size, now);
    counter_random random;
    double bytes = 0;
    const auto pass = [&](const state::gossip_message& m) {
        const auto datagram = protocol::encode_gossip(m, fleet_key);
        bytes += static_cast<double>(datagram.size());
        return protocol::decode_gossip(datagram, fleet_key).value();
    };
    const auto ping_once = [&](coordination::membership& from,
                               coordination::membership& to) {
        for (auto& ping : from.tick(now, random)) {
            if (ping.message.kind != state::gossip_kind::ping) {
                continue;
            }
            for (auto& ack :
                 to.receive(now, from.self().gossip, pass(ping.message))) {
                from.receive(now, to.self().gossip, pass(ack.message));
            }
        }
    };
    // The claims of the start are news for some messages.
    for (int n = 0; n < 2'000; ++n) {
        now += std::chrono::seconds(1);
        ping_once(host, peer);
        ping_once(peer, host);
    }
    bytes = 0;
    for (auto _ : run) {
        now += std::chrono::seconds(1);
        ping_once(host, peer);
        ping_once(peer, host);
    }
    run.counters["bytes_per_period"] =
        benchmark::Counter(bytes, benchmark::Counter::kAvgIterations);
}
BENCHMARK(gossip_period)
    ->Arg(10)
    ->Arg(41)
    ->Arg(810)
    ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
