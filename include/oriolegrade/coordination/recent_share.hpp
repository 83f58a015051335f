// Share of marked events in a sliding window of two seconds.

#ifndef ORIOLEGRADE_COORDINATION_RECENT_SHARE_HPP
#define ORIOLEGRADE_COORDINATION_RECENT_SHARE_HPP

#include <oriolegrade/coordination/bucket_ring.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

class recent_share
{
public:
    void add_event(state::time_point now)
    {
        ++buckets_.at(bucket_number(now)).events;
    }
    /// Marks an event that was counted by add_event().
    void mark(state::time_point now)
    {
        ++buckets_.at(bucket_number(now)).marked;
    }

    /// True when at least `min_marked` events, and more than `share` of all,
    /// are marked.
    bool exceeds(double share, std::uint32_t min_marked,
                 state::time_point now) const
    {
        const auto n = marked(now);
        return n >= min_marked && n > share * events(now);
    }

    std::uint32_t events(state::time_point now) const
    {
        return sum(&counts::events, now);
    }
    std::uint32_t marked(state::time_point now) const
    {
        return sum(&counts::marked, now);
    }

private:
    struct counts
    {
        std::uint32_t events = 0;
        std::uint32_t marked = 0;
    };
    static constexpr std::int64_t bucket_count = 8;
    static constexpr state::duration bucket_time =
        std::chrono::milliseconds(250);

    std::uint32_t sum(std::uint32_t counts::*counter,
                      state::time_point now) const
    {
        const auto last = bucket_number(now);
        return buckets_.sum(counter, last - bucket_count + 1, last);
    }

    static std::int64_t bucket_number(state::time_point now)
    {
        return now.time_since_epoch() / bucket_time;
    }

    bucket_ring<counts, bucket_count> buckets_;
};

} // namespace oriolegrade::coordination

#endif
