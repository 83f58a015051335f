// Costs of the at-most-once decisions: tokens, used table, claims per append.

#include "../../test/fakes/fake_claim_log.hpp"

#include <oriolegrade/coordination/claim_writer.hpp>
#include <oriolegrade/coordination/token_authority.hpp>
#include <oriolegrade/coordination/used_table.hpp>

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::coordination;
using namespace std::chrono_literals;

const state::time_point start{10h};

void mint(benchmark::State& run)
{
    static token_authority ours(generate_identity(), start, 1h);
    for (auto _ : run) {
        benchmark::DoNotOptimize(ours.mint({1, 2}, start));
    }
}
BENCHMARK(mint)->Threads(1)->Threads(4);

void verify(benchmark::State& run)
{
    token_authority ours(generate_identity(), start, 1h);
    const auto token = ours.mint({1, 2}, start);
    for (auto _ : run) {
        benchmark::DoNotOptimize(ours.verify(token, {1, 2}, start));
    }
}
BENCHMARK(verify);

void token_text(benchmark::State& run)
{
    token_authority ours(generate_identity(), start, 1h);
    const auto token = ours.mint({1, 2}, start);
    for (auto _ : run) {
        benchmark::DoNotOptimize(state::token_from_string(to_string(token)));
    }
}
BENCHMARK(token_text);

/// Each token lives for 1000 steps, so that entries also expire.
void start_and_finish(benchmark::State& run)
{
    static used_table used;
    static std::atomic<std::uint64_t> last{0};
    const auto answer = std::make_shared<const state::stored_answer>(
        state::stored_answer{200, {}, std::string(200, 'x')});
    for (auto _ : run) {
        const auto n = ++last;
        const state::request_id id{state::request_id_kind::token, {0, n}};
        const auto got = used.try_start(id, {1, 1}, n + 1000, n, {});
        if (std::holds_alternative<run_granted>(got)) {
            used.finish(id, {state::run_outcome::ran, answer});
        }
    }
}
BENCHMARK(start_and_finish)->Threads(1)->Threads(4)->UseRealTime();

void bytes_per_entry(benchmark::State& run)
{
    constexpr std::uint64_t entries = 100'000;
    for (auto _ : run) {
        used_table used;
        const auto before = mallinfo2().uordblks;
        for (std::uint64_t n = 0; n < entries; ++n) {
            const state::request_id id{state::request_id_kind::token, {0, n}};
            used.try_start(id, {1, 1}, 1000, 0, {});
            used.finish(id, {state::run_outcome::ran, nullptr});
        }
        run.counters["bytes"] =
            static_cast<double>(mallinfo2().uordblks - before) / used.size();
    }
}
BENCHMARK(bytes_per_entry)->Iterations(3)->Unit(benchmark::kMillisecond);

/// Ten seconds of claims at an even rate on one partition, pumped when due.
void claims_per_append(benchmark::State& run)
{
    const auto gap = std::chrono::nanoseconds(1s) / run.range(0);
    for (auto _ : run) {
        fakes::fake_claim_log log;
        std::vector<state::claim_batch> batches;
        claim_writer<fakes::fake_claim_log, fakes::batch_index_codec> writer(
            log, fakes::batch_index_codec(batches), 0);
        std::uint64_t n = 0;
        for (auto now = start; now < start + 10s; now += gap) {
            while (writer.next_due() && *writer.next_due() <= now) {
                writer.pump(*writer.next_due());
            }
            ++n;
            writer.submit(
                {state::digest_of({std::to_string(n)}), {1, 1}, {2, n}, 1000},
                now, [](const auto&) {});
        }
        const auto sums = writer.counters();
        run.counters["claims/append"] =
            static_cast<double>(sums.claims_appended) / sums.appends;
        run.counters["appends/s"] = static_cast<double>(sums.appends) / 10;
    }
}
BENCHMARK(claims_per_append)->Arg(10)->Arg(100)->Arg(1000)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
