// What a caller is told about the execution of its request.

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
    /// No byte reached an upstream, or the upstream proved that it refused.
    not_run,
    /// Bytes were written and no complete answer came back.
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
