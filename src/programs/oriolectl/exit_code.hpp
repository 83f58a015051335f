// Exit codes of oriolectl.

#ifndef ORIOLEGRADE_PROGRAMS_EXIT_CODE_HPP
#define ORIOLEGRADE_PROGRAMS_EXIT_CODE_HPP

#include <cstdint>

namespace oriolegrade::programs {

enum class exit_code : std::uint8_t
{
    success = 0,
    /// The input has findings, or a change lost against another one.
    refused = 1,
    /// The command line is wrong.
    usage = 2,
    /// No answer from the agent, or the log is unavailable. Nothing was
    /// published.
    unavailable = 3,
    /// A change may or may not be in the log; `oriolectl status` tells later.
    unresolved = 4,
    /// A wait ended before the condition was met.
    timed_out = 5,
};

} // namespace oriolegrade::programs

#endif
