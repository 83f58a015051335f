// What waiting successes do to the decisions: false ejections and detection
// time of one service of the largest fleet, in virtual time, over the time
// for which hosts merge successes.

#include <oriolegrade/coordination/evidence_batcher.hpp>
#include <oriolegrade/coordination/health_collector.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using state::evidence_kind;
using state::upstream_state;

constexpr std::size_t hosts = 810;
constexpr std::size_t upstreams = 19;
constexpr double requests_per_second = 56'000.0 / 490;
constexpr double failure_share = 0.005;
constexpr auto tick = 100ms;

state::endpoint upstream_at(std::size_t n)
{
    return {static_cast<std::uint32_t>(0x0a000000 + n), 80};
}

/// All hosts and the collector of one service.
class service_model
{
public:
    service_model(state::health_profile profile, state::duration wait,
                  std::uint64_t seed)
        : batchers_(hosts, coordination::evidence_batcher(wait, 1e9))
        , collector_(spec_of(profile))
        , random_(seed)
        , out_(upstreams, false)
    {}

    /// Runs on; the first upstream fails with the given share.
    /// @return true when `until_first` and the first upstream was ejected
    bool run(state::duration time, double first_fails, bool until_first)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            const auto next = now_ + tick;
            requests(next, first_fails);
            now_ = next;
            flush();
            count(collector_.advance(now_));
            for (const auto& it : collector_.take_probes(now_)) {
                const bool dead = first_fails >= 1 && it == upstream_at(0);
                count(collector_.add_probe(it, !dead, now_));
            }
            refresh();
            if (until_first && out_[0]) {
                return true;
            }
        }
        return false;
    }
    std::size_t ejections() const
    {
        return ejections_;
    }
    state::time_point now() const
    {
        return now_;
    }

private:
    using due_host = std::pair<state::time_point, std::size_t>;

    static state::service_spec spec_of(state::health_profile profile)
    {
        state::service_spec spec;
        for (std::size_t n = 0; n < upstreams; ++n) {
            spec.upstreams.push_back({upstream_at(n), "dc", 4, 400});
        }
        spec.costs = state::costs_of(profile);
        return spec;
    }

    void requests(state::time_point until, double first_fails)
    {
        std::exponential_distribution<double> gap(requests_per_second);
        auto at = now_;
        for (;;) {
            at += std::chrono::duration_cast<state::duration>(
                std::chrono::duration<double>(gap(random_)));
            if (at >= until) {
                return;
            }
            const auto n = random_() % upstreams;
            if (out_[n]) {
                continue;
            }
            const double share =
                n == 0 ? std::max(first_fails, failure_share) : failure_share;
            request(at, random_() % hosts, n,
                    std::bernoulli_distribution(share)(random_));
        }
    }

    void request(state::time_point at, std::size_t host, std::size_t upstream,
                 bool fails)
    {
        state::evidence_batch batch;
        batch.service = "service";
        batch.items.emplace_back();
        batch.items[0].upstream = upstream_at(upstream);
        ++batch.items[0]
              .counts[fails ? evidence_kind::failure : evidence_kind::success];
        batchers_[host].add(batch, at);
        due_.emplace(batchers_[host].next_due(), host);
    }

    void flush()
    {
        while (!due_.empty() && due_.top().first <= now_) {
            const auto host = due_.top().second;
            due_.pop();
            for (auto& it : batchers_[host].take_due(now_)) {
                it.host = {static_cast<std::uint32_t>(1 + host), 7001};
                it.incarnation = {1, host};
                it.sequence = ++sequence_;
                count(collector_.add(it, now_));
            }
        }
    }

    void count(const coordination::health_events& events)
    {
        for (const auto& it : events) {
            ejections_ +=
                it.kind == coordination::health_event_kind::ejected ? 1 : 0;
        }
    }

    void refresh()
    {
        std::fill(out_.begin(), out_.end(), false);
        for (const auto& it : collector_.verdicts(now_).verdicts) {
            out_[it.upstream.address - upstream_at(0).address] = it.weight <= 0;
        }
    }

    std::vector<coordination::evidence_batcher> batchers_;
    coordination::health_collector collector_;
    std::mt19937_64 random_;
    std::vector<bool> out_;
    std::priority_queue<due_host, std::vector<due_host>, std::greater<>> due_;
    state::time_point now_{1h};
    std::uint64_t sequence_ = 0;
    std::size_t ejections_ = 0;
};

/// Seconds from the failure to the ejection, sorted.
std::vector<double> detection_times(state::health_profile profile,
                                    state::duration wait, double share)
{
    std::vector<double> times;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        service_model model(profile, wait, seed);
        (void)model.run(2min, 0, false);
        const auto begin = model.now();
        (void)model.run(2min, share, true);
        times.push_back(
            std::chrono::duration<double>(model.now() - begin).count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

void evidence_wait(benchmark::State& bench)
{
    const auto profile = static_cast<state::health_profile>(bench.range(0));
    const auto wait = std::chrono::milliseconds(bench.range(1));
    for (auto _ : bench) {
        constexpr auto time = 200h;
        service_model model(profile, wait, 1);
        (void)model.run(time, 0, false);
        bench.counters["false_per_1000_upstream_hours"] =
            1000.0 * static_cast<double>(model.ejections()) /
            (upstreams *
             std::chrono::duration<double, std::ratio<3600>>(time).count());
        const auto dead = detection_times(profile, wait, 1.0);
        const auto gray = detection_times(profile, wait, 0.1);
        bench.counters["dead_p50"] = dead[49];
        bench.counters["dead_p99"] = dead[98];
        bench.counters["gray_p50"] = gray[49];
        bench.counters["gray_p99"] = gray[98];
    }
}

} // namespace

BENCHMARK(evidence_wait)
    ->ArgNames({"profile", "wait_ms"})
    ->ArgsProduct({{0, 1}, {200, 17000}})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

BENCHMARK_MAIN();
