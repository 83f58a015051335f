// Time types of all layers. Decisions take time points as arguments and never
// read a clock themselves.

#ifndef ORIOLEGRADE_STATE_TIME_TYPE_HPP
#define ORIOLEGRADE_STATE_TIME_TYPE_HPP

#include <chrono>

namespace oriolegrade::state {

using duration = std::chrono::nanoseconds;

/// Point on a monotonic clock. Comparable only within one process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

} // namespace oriolegrade::state

#endif
