// Pseudo-random generator splitmix64, for shuffles within one step of a state
// machine.

#ifndef ORIOLEGRADE_SRC_COORDINATION_SPLITMIX64_HPP
#define ORIOLEGRADE_SRC_COORDINATION_SPLITMIX64_HPP

#include <cstdint>
#include <limits>

namespace oriolegrade::coordination {

/// Models std::uniform_random_bit_generator.
class splitmix64
{
public:
    using result_type = std::uint64_t;

    explicit splitmix64(std::uint64_t seed)
        : state_(seed)
    {}

    static constexpr result_type min()
    {
        return 0;
    }
    static constexpr result_type max()
    {
        return std::numeric_limits<result_type>::max();
    }

    result_type operator()()
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

} // namespace oriolegrade::coordination

#endif
