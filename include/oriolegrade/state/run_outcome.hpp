// Outcome of a request's execution, as reported to the caller.

#ifndef ORIOLEGRADE_STATE_RUN_OUTCOME_HPP
#define ORIOLEGRADE_STATE_RUN_OUTCOME_HPP

#include <oriolegrade/state/enum_names.hpp>

#include <array>
#include <cstdint>

namespace oriolegrade::state {

enum class run_outcome : std::uint8_t
{
    /// The upstream ran the request and answered.
    ran,
    /// No byte was written to an upstream, or the upstream provably refused.
    not_run,
    /// Bytes were written and no complete answer was received.
    unknown,
};

template <>
struct enum_names<run_outcome>
{
    static constexpr std::array<std::string_view, 3> value{"ran", "not-run",
                                                           "unknown"};
};

} // namespace oriolegrade::state

#endif
