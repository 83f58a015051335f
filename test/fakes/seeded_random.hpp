// Deterministic random generator (splitmix64).

#ifndef ORIOLEGRADE_TEST_FAKES_SEEDED_RANDOM_HPP
#define ORIOLEGRADE_TEST_FAKES_SEEDED_RANDOM_HPP

#include <cstdint>

namespace oriolegrade::fakes {

class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : state_(seed)
    {}

    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15;
        std::uint64_t z = state_;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111eb;
        return z ^ (z >> 31U);
    }

private:
    std::uint64_t state_;
};

} // namespace oriolegrade::fakes

#endif
