// Retry-After times of refused callers.

#ifndef ORIOLEGRADE_COORDINATION_RETRY_AFTER_HPP
#define ORIOLEGRADE_COORDINATION_RETRY_AFTER_HPP

#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

/// Spreads callers that were refused together over one more wait, so that they
/// retry one after the other.
/// @param number of the request at its host
/// @param seed of the host: numbers start anew at each, and without it callers
///        that all hosts refuse at the same moment would retry together
inline state::duration spread_retry_after(state::duration wait,
                                          std::uint64_t number,
                                          std::uint64_t seed)
{
    constexpr std::int64_t steps = 16;
    const auto step = static_cast<std::int64_t>((number + seed) % steps);
    return wait + wait * step / steps;
}

} // namespace oriolegrade::coordination

#endif
