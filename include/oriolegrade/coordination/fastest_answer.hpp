// Estimate of the shortest plausible response time of a service.

#ifndef ORIOLEGRADE_COORDINATION_FASTEST_ANSWER_HPP
#define ORIOLEGRADE_COORDINATION_FASTEST_ANSWER_HPP

#include <oriolegrade/state/time_type.hpp>

#include <atomic>
#include <cstdint>

namespace oriolegrade::coordination {

/// Tracks the low end of the latencies: falls to a lower sample immediately and
/// rises by 1/1024 of the difference per sample, so that a lasting change of
/// the service is learned. Shared by worker threads; an update lost to a race
/// only delays it.
class fastest_answer
{
public:
    void add(state::duration latency)
    {
        const auto fresh = latency.count();
        const auto old = value_.load(std::memory_order_relaxed);
        value_.store(old == 0 || fresh < old ? fresh
                                             : old + (fresh - old) / 1024,
                     std::memory_order_relaxed);
    }

    /// Zero before the first sample.
    state::duration value() const
    {
        return state::duration(value_.load(std::memory_order_relaxed));
    }

private:
    std::atomic<std::int64_t> value_{0};
};

} // namespace oriolegrade::coordination

#endif
