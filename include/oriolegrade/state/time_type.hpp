// Time types of all layers. Decision code takes time points as arguments and
// never reads a clock.

#ifndef ORIOLEGRADE_STATE_TIME_TYPE_HPP
#define ORIOLEGRADE_STATE_TIME_TYPE_HPP

#include <chrono>

namespace oriolegrade::state {

using duration = std::chrono::nanoseconds;

/// Time on a monotonic clock. Comparable only within one process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

} // namespace oriolegrade::state

#endif
