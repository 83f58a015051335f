// What a dispatcher believes about one service, for logs.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCH_SUMMARY_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCH_SUMMARY_HPP

#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

struct dispatch_summary
{
    /// Upstreams of the register that take work.
    std::size_t ready = 0;
    std::size_t held = 0;
    std::size_t on_trial = 0;
    /// Ready ones without a failure for sound_after.
    std::size_t sound = 0;
    /// Sound ones that got no request for floor_window.
    std::size_t sound_idle = 0;
    /// Idle ones that take nothing because a trial there has not ended.
    std::size_t blocked_by_trial = 0;
    /// First sends and refused requests of the last two seconds.
    std::uint32_t requests = 0;
    /// Those that this dispatcher counts as not served.
    std::uint32_t unserved = 0;
    /// Sends that were cancelled in that time: the caller or its host left, or
    /// another send was faster.
    std::uint32_t cancelled = 0;
    std::size_t in_line = 0;
    std::size_t in_flight = 0;
    /// Part of the budget of extra sends that is used up.
    double budget_used = 0;
};

} // namespace oriolegrade::coordination

#endif
