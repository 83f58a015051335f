// Seeded random source for tests: the same sequence every run.

#ifndef ORIOLEGRADE_TEST_COORDINATION_FAKE_RANDOM_HPP
#define ORIOLEGRADE_TEST_COORDINATION_FAKE_RANDOM_HPP

#include <cstdint>

/// splitmix64
struct fake_random
{
    std::uint64_t state;

    std::uint64_t next()
    {
        std::uint64_t x = (state += 0x9e3779b97f4a7c15);
        x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9;
        x = (x ^ (x >> 27U)) * 0x94d049bb133111eb;
        return x ^ (x >> 31U);
    }
};

#endif
