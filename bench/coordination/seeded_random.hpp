// Random numbers of the models: the same seed gives the same figures on every
// run and machine.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_SEEDED_RANDOM_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_SEEDED_RANDOM_HPP

#include <oriolegrade/coordination/picker.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cmath>
#include <cstdint>

namespace oriolegrade::bench {

using state::duration;

/// splitmix64
struct seeded_random
{
    std::uint64_t state;

    std::uint64_t next()
    {
        std::uint64_t x = (state += 0x9e3779b97f4a7c15);
        x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9;
        x = (x ^ (x >> 27U)) * 0x94d049bb133111eb;
        return x ^ (x >> 31U);
    }

    duration exponential(duration mean)
    {
        return duration(static_cast<std::int64_t>(
            -std::log(1.0 - coordination::uniform(*this)) *
            static_cast<double>(mean.count())));
    }
};

} // namespace oriolegrade::bench

#endif
