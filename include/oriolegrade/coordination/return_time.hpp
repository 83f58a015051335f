// When callers that were refused may come back.

#ifndef ORIOLEGRADE_COORDINATION_RETURN_TIME_HPP
#define ORIOLEGRADE_COORDINATION_RETURN_TIME_HPP

#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

/// Spreads callers that were refused together over one more wait, so that they
/// come back one after the other.
/// @param number of the request
inline state::duration spread_return(state::duration wait, std::uint64_t number)
{
    constexpr std::int64_t steps = 16;
    return wait + wait * static_cast<std::int64_t>(number % steps) / steps;
}

} // namespace oriolegrade::coordination

#endif
