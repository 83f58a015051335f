// Work of the last two half seconds, by rank.

#include <oriolegrade/coordination/arrival_load.hpp>

#include <algorithm>
#include <limits>
#include <ratio>

namespace oriolegrade::coordination {

namespace {

using tenths_of_ms = std::chrono::duration<std::int64_t, std::ratio<1, 10000>>;

} // namespace

void arrival_load::add(std::uint32_t rank, state::duration usual,
                       state::time_point now)
{
    auto& work = ranks_[rank].at(bucket_number(now)).work;
    // The sum of a half does not overflow either.
    constexpr auto most =
        std::numeric_limits<std::uint32_t>::max() / std::uint32_t(half);
    const auto room = most - work;
    const auto more = std::max<std::int64_t>(
        std::chrono::duration_cast<tenths_of_ms>(usual).count(), 0);
    work += static_cast<std::uint32_t>(std::min<std::int64_t>(more, room));
}

double arrival_load::slots(const ring& buckets, state::time_point now)
{
    constexpr std::chrono::duration<double, tenths_of_ms::period> window =
        bucket_time * half;
    const auto end = bucket_number(now);
    const auto recent = buckets.sum(&counts::work, end - half, end - 1);
    const auto before =
        buckets.sum(&counts::work, end - 2 * half, end - half - 1);
    return std::min(recent, before) / window.count();
}

double arrival_load::more_urgent_than(std::uint32_t rank,
                                      state::time_point now) const
{
    double out = 0;
    for (auto it = ranks_.begin(); it != ranks_.end() && it->first < rank;
         ++it) {
        out += slots(it->second, now);
    }
    return out;
}

double arrival_load::up_to(std::uint32_t rank, state::time_point now) const
{
    const auto own = ranks_.find(rank);
    return more_urgent_than(rank, now) +
           (own == ranks_.end() ? 0 : slots(own->second, now));
}

} // namespace oriolegrade::coordination
