// Adaptive limit on requests in flight to one upstream.

#ifndef ORIOLEGRADE_COORDINATION_CONCURRENCY_LIMIT_HPP
#define ORIOLEGRADE_COORDINATION_CONCURRENCY_LIMIT_HPP

#include <oriolegrade/state/upstream_load.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace oriolegrade::coordination {

struct concurrency_limit_options
{
    std::uint32_t initial = 4;
    std::uint32_t max_limit = 64;
    /// Latency above this multiple of the unloaded latency indicates queueing.
    double slow_ratio = 3.0;
    /// Multiplicative decrease factor, in thousandths.
    std::uint64_t decrease_milli = 800;
};

/// Additive increase while at least half of the limit is in use; multiplicative
/// decrease on a shed or on queueing. The limit never falls below one, so that
/// a host can always detect that the upstream has recovered.
class concurrency_limit
{
public:
    explicit concurrency_limit(const concurrency_limit_options& options = {})
        : options_(options)
        , limit_milli_(options.initial * 1000ULL)
    {}

    /// Updates the limit after an answer and stores it in `load`.
    void on_answer(state::upstream_load& load, state::duration latency,
                   state::time_point now)
    {
        update_unloaded_latency(latency);
        const double unloaded =
            unloaded_latency_.load(std::memory_order_relaxed);
        if (static_cast<double>(latency.count()) >
            options_.slow_ratio * unloaded) {
            decrease(now);
        } else if (load.in_flight() * 2 >= limit()) {
            const auto old = limit_milli_.load(std::memory_order_relaxed);
            limit_milli_.store(
                std::min(old + 1'000'000 / old,
                         options_.max_limit * std::uint64_t{1000}),
                std::memory_order_relaxed);
        }
        load.set_limit(limit());
    }

    /// Updates the limit after a shed and stores it in `load`.
    void on_shed(state::upstream_load& load, state::time_point now)
    {
        decrease(now);
        load.set_limit(limit());
    }

    std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(
            limit_milli_.load(std::memory_order_relaxed) / 1000);
    }

private:
    /// Tracks the lower end of the latencies: falls immediately and rises by
    /// 1/1024 of the difference, so that it adapts to a lasting change of the
    /// service.
    void update_unloaded_latency(state::duration latency)
    {
        const auto ns = static_cast<double>(latency.count());
        const double old = unloaded_latency_.load(std::memory_order_relaxed);
        const double updated =
            old == 0 || ns < old ? ns : old + (ns - old) / 1024;
        unloaded_latency_.store(updated, std::memory_order_relaxed);
    }

    /// Decreases at most once per unloaded latency: the answers of one burst
    /// report the same overload and must not collapse the limit.
    void decrease(state::time_point now)
    {
        const auto at = now.time_since_epoch().count();
        auto last = last_decrease_.load(std::memory_order_relaxed);
        const auto min_interval = static_cast<std::int64_t>(
            unloaded_latency_.load(std::memory_order_relaxed));
        if (last != 0 && at - last < min_interval) {
            return;
        }
        if (!last_decrease_.compare_exchange_strong(
                last, at, std::memory_order_relaxed)) {
            return;
        }
        const auto old = limit_milli_.load(std::memory_order_relaxed);
        limit_milli_.store(
            std::max<std::uint64_t>(old * options_.decrease_milli / 1000, 1000),
            std::memory_order_relaxed);
    }

    concurrency_limit_options options_;
    std::atomic<std::uint64_t> limit_milli_;
    std::atomic<double> unloaded_latency_{0};
    std::atomic<std::int64_t> last_decrease_{0};
};

} // namespace oriolegrade::coordination

#endif
