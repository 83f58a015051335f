// Ring buffer of counters per time interval; the newest interval overwrites the
// oldest.

#ifndef ORIOLEGRADE_COORDINATION_BUCKET_RING_HPP
#define ORIOLEGRADE_COORDINATION_BUCKET_RING_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

/// @tparam Counts counters of one interval, zero-initialized
/// @tparam Size number of intervals kept
template <class Counts, std::size_t Size>
class bucket_ring
{
public:
    /// Counters of an interval, by its number; numbers never decrease.
    Counts& at(std::int64_t number)
    {
        auto& it = buckets_[static_cast<std::size_t>(number) % Size];
        if (it.number != number) {
            it = {number, {}};
        }
        return it.counts;
    }

    /// Sum of one counter over the intervals from `first` to `last`.
    std::uint32_t sum(std::uint32_t Counts::*counter, std::int64_t first,
                      std::int64_t last) const
    {
        std::uint32_t n = 0;
        for (const auto& it : buckets_) {
            if (it.number >= first && it.number <= last) {
                n += it.counts.*counter;
            }
        }
        return n;
    }

private:
    struct bucket
    {
        std::int64_t number = -1;
        Counts counts{};
    };

    std::array<bucket, Size> buckets_{};
};

} // namespace oriolegrade::coordination

#endif
