// State that the callers' connections of a process share.

#ifndef ORIOLEGRADE_TRANSPORT_CALLER_SHARED_HPP
#define ORIOLEGRADE_TRANSPORT_CALLER_SHARED_HPP

#include <oriolegrade/coordination/memory_budget.hpp>
#include <oriolegrade/coordination/read_ahead.hpp>

#include <atomic>
#include <cstdint>

namespace oriolegrade::transport {

/// Counts a request or a connection while it lives.
class count_guard
{
public:
    explicit count_guard(std::atomic<std::int64_t>& count)
        : count_(count)
    {
        ++count_;
    }
    ~count_guard()
    {
        --count_;
    }

    count_guard(const count_guard&) = delete;
    count_guard& operator=(const count_guard&) = delete;

private:
    std::atomic<std::int64_t>& count_;
};

/// Read and written by all worker threads.
struct caller_shared
{
    /// @param memory_bytes for bodies, answers and input of callers beyond the
    ///        first part of each; 0 for no limit
    explicit caller_shared(const coordination::read_ahead_limits& limits,
                           std::uint64_t memory_bytes = 0)
        : read_ahead(limits)
        , held(limits.held_bytes)
        , memory(memory_bytes)
    {}

    const coordination::read_ahead_limits read_ahead;
    coordination::held_answers held;
    coordination::memory_budget memory;
    /// The process is stopping: not ready, and connections close after the
    /// answers to what has been read.
    std::atomic<bool> stopping{false};
    /// Requests that were read and not yet answered.
    std::atomic<std::int64_t> requests_in_flight{0};
};

} // namespace oriolegrade::transport

#endif
