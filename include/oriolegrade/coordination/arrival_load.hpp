// Slots that arriving requests need on average, by rank.
//
// Load pattern: a burst above capacity with requests of several ranks. The more
// urgent ones keep arriving and are placed first, so a request further back
// moves up by what they leave, not by all that the service can do.
//
// Load pattern: callers that all return in one moment. They are in the line and
// do not keep coming, so they count once: the lower load of the last two half
// seconds is taken.

#ifndef ORIOLEGRADE_COORDINATION_ARRIVAL_LOAD_HPP
#define ORIOLEGRADE_COORDINATION_ARRIVAL_LOAD_HPP

#include <oriolegrade/coordination/bucket_ring.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <chrono>
#include <cstdint>
#include <map>

namespace oriolegrade::coordination {

class arrival_load
{
public:
    /// Counts a request that arrived.
    /// @param usual latency of its route, the time for which it takes a slot
    void add(std::uint32_t rank, state::duration usual, state::time_point now);

    /// Slots that the requests more urgent than the rank take on average.
    double more_urgent_than(std::uint32_t rank, state::time_point now) const;
    /// The same with the requests of the rank itself.
    double up_to(std::uint32_t rank, state::time_point now) const;

private:
    struct counts
    {
        /// Work in tenths of a millisecond: half a second holds that of
        /// 859,000 slots.
        std::uint32_t work = 0;
    };
    /// Complete buckets of each half second.
    static constexpr std::int64_t half = 4;
    static constexpr state::duration bucket_time =
        std::chrono::milliseconds(125);

    static std::int64_t bucket_number(state::time_point now)
    {
        return now.time_since_epoch() / bucket_time;
    }

    /// Two halves and the bucket in progress.
    using ring = bucket_ring<counts, 2 * half + 1>;
    static double slots(const ring& buckets, state::time_point now);

    /// The operator's rules name few ranks.
    std::map<std::uint32_t, ring> ranks_;
};

} // namespace oriolegrade::coordination

#endif
