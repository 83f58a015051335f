// State of one service as seen by its dispatcher, for logs.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCH_SUMMARY_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCH_SUMMARY_HPP

#include <oriolegrade/state/time_type.hpp>

#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

struct dispatch_summary
{
    /// Registered upstreams that accept requests.
    std::size_t ready = 0;
    std::size_t held = 0;
    std::size_t on_trial = 0;
    /// Ready upstreams without a failure for sound_after.
    std::size_t sound = 0;
    /// Sound upstreams that got no request for floor_window.
    std::size_t sound_idle = 0;
    /// Idle upstreams that accept no request: a trial is in progress or all
    /// slots are taken.
    std::size_t blocked_by_trial = 0;
    /// First sends and refused requests of the last two seconds.
    std::uint32_t requests = 0;
    /// Requests of these that the dispatcher counts as unserved.
    std::uint32_t unserved = 0;
    /// Sends cancelled in that time: the caller or its host left, or another
    /// send was faster.
    std::uint32_t cancelled = 0;
    std::size_t in_line = 0;
    std::size_t in_flight = 0;
    /// Share of the budget of extra sends in use.
    double budget_used = 0;
    /// Latency against which requests in flight are compared.
    state::duration usual_latency{};
};

} // namespace oriolegrade::coordination

#endif
