// Durations as numbers of seconds, for sums of rates.

#ifndef ORIOLEGRADE_COORDINATION_DURATION_SECONDS_HPP
#define ORIOLEGRADE_COORDINATION_DURATION_SECONDS_HPP

#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <chrono>

namespace oriolegrade::coordination {

inline double to_seconds(state::duration it)
{
    return std::chrono::duration<double>(it).count();
}

/// Longer times are cut: nobody waits for so long, and nanoseconds would
/// overflow.
inline constexpr double longest_seconds = 3600;

inline state::duration from_seconds(double it)
{
    return std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double>(std::min(it, longest_seconds)));
}

} // namespace oriolegrade::coordination

#endif
