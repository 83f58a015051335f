// Products of durations and factors.

#ifndef ORIOLEGRADE_COORDINATION_SCALED_DURATION_HPP
#define ORIOLEGRADE_COORDINATION_SCALED_DURATION_HPP

#include <oriolegrade/state/time_type.hpp>

namespace oriolegrade::coordination {

inline state::duration scaled(state::duration d, double factor)
{
    return state::duration(static_cast<state::duration::rep>(
        static_cast<double>(d.count()) * factor));
}

} // namespace oriolegrade::coordination

#endif
