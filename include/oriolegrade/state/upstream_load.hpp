// Load of one upstream as seen by one host. Worker threads share the object and
// update it with relaxed atomics: each value is an independent hint.

#ifndef ORIOLEGRADE_STATE_UPSTREAM_LOAD_HPP
#define ORIOLEGRADE_STATE_UPSTREAM_LOAD_HPP

#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>

namespace oriolegrade::state {

/// Slots in use as reported by an upstream.
struct load_report
{
    std::uint32_t in_use = 0;
    /// Zero when there is no report.
    time_point at{};

    bool present() const
    {
        return at != time_point{};
    }
};

/// Exponential moving average of a latency. A lost concurrent update only
/// delays it.
class latency_average
{
public:
    /// @param weight a sample moves the average by 1/weight of the difference
    explicit latency_average(std::int64_t weight = 16)
        : weight_(weight)
    {}

    void add(duration sample)
    {
        const auto old = value_.load(std::memory_order_relaxed);
        const auto updated = sample.count();
        value_.store(old == 0 ? updated : old + (updated - old) / weight_,
                     std::memory_order_relaxed);
    }

    /// Zero when there is no sample.
    duration value() const
    {
        return duration(value_.load(std::memory_order_relaxed));
    }

private:
    std::int64_t weight_;
    std::atomic<std::int64_t> value_{0};
};

/// Share of the picks of a service that load reports may guide; the others
/// ignore the reports. When guided picks have no lower latency than the others,
/// the reports are late or false, and hosts that follow them overload the same
/// upstreams.
class report_trust
{
public:
    /// Adds the latency of an answer.
    /// @param guided true when load reports chose the upstream
    void add(bool guided, duration latency)
    {
        (guided ? guided_ : unguided_).add(latency);
        if (!guided) {
            return;
        }
        const auto guided_latency =
            static_cast<double>(guided_.value().count());
        const auto unguided_latency =
            static_cast<double>(unguided_.value().count());
        if (unguided_latency == 0) {
            return;
        }
        const double old = share_.load(std::memory_order_relaxed);
        double updated = old;
        if (guided_latency > unguided_latency) {
            updated -= step;
        } else if (guided_latency < unguided_latency * improvement_threshold) {
            updated += step;
        }
        share_.store(std::clamp(updated, min_share, max_share),
                     std::memory_order_relaxed);
    }

    /// Share of picks that reports may guide.
    double share() const
    {
        return share_.load(std::memory_order_relaxed);
    }

private:
    static constexpr std::int64_t weight = 128;
    static constexpr double step = 1.0 / 128;
    /// Averages over `weight` samples differ by a few percent by chance.
    static constexpr double improvement_threshold = 0.95;
    static constexpr double min_share = 0.05;
    static constexpr double max_share = 0.9;

    latency_average guided_{weight};
    latency_average unguided_{weight};
    std::atomic<double> share_{0.5};
};

/// Measurements of worker threads for a whole service.
struct service_load
{
    latency_average latency;
    report_trust trust;
};

/// Shared load of one upstream. Aligned to a cache line to avoid false sharing
/// between adjacent upstreams.
class alignas(64) upstream_load
{
public:
    static constexpr std::uint32_t no_limit =
        std::numeric_limits<std::uint32_t>::max();

    /// Counts a request in flight, unless the adaptive limit is reached.
    bool try_begin()
    {
        const auto before = in_flight_.fetch_add(1, std::memory_order_relaxed);
        if (before < limit()) {
            return true;
        }
        end();
        return false;
    }

    void end()
    {
        in_flight_.fetch_sub(1, std::memory_order_relaxed);
    }

    std::uint32_t in_flight() const
    {
        return in_flight_.load(std::memory_order_relaxed);
    }

    std::uint32_t limit() const
    {
        return limit_.load(std::memory_order_relaxed);
    }

    void set_limit(std::uint32_t limit)
    {
        limit_.store(std::max(limit, 1U), std::memory_order_relaxed);
    }

    /// Stores a load report. Value and time share one word, so a reader never
    /// combines parts of two reports.
    void set_report(std::uint32_t in_use, time_point at)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            at.time_since_epoch())
                            .count();
        report_.store((static_cast<std::uint64_t>(ms + 1) << in_use_bits) |
                          std::min(in_use, max_in_use),
                      std::memory_order_relaxed);
    }

    load_report report() const
    {
        const auto word = report_.load(std::memory_order_relaxed);
        if (word == 0) {
            return {};
        }
        const auto ms = static_cast<std::int64_t>(word >> in_use_bits) - 1;
        return {static_cast<std::uint32_t>(word & max_in_use),
                time_point(std::chrono::milliseconds(ms))};
    }

    /// Sets the time until which only this host avoids the upstream.
    void avoid_until(time_point until)
    {
        avoid_until_.store(until.time_since_epoch().count(),
                           std::memory_order_relaxed);
    }

    bool avoided(time_point now) const
    {
        return now.time_since_epoch().count() <
               avoid_until_.load(std::memory_order_relaxed);
    }

    latency_average& latency()
    {
        return latency_;
    }
    const latency_average& latency() const
    {
        return latency_;
    }

private:
    static constexpr unsigned in_use_bits = 20;
    static constexpr std::uint32_t max_in_use = (1U << in_use_bits) - 1;

    std::atomic<std::uint32_t> in_flight_{0};
    std::atomic<std::uint32_t> limit_{no_limit};
    std::atomic<std::uint64_t> report_{0};
    std::atomic<std::int64_t> avoid_until_{0};
    latency_average latency_;
};

} // namespace oriolegrade::state

#endif
