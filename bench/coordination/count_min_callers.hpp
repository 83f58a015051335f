// Count-min sketch with decay: the alternative that caller_limits was
// measured against.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_COUNT_MIN_CALLERS_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_COUNT_MIN_CALLERS_HPP

#include <oriolegrade/coordination/caller_limits.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <vector>

namespace oriolegrade::bench {

/// Four rows with conservative update. All counters are halved twice per
/// window, so a steady caller's estimate settles near its count per window.
class count_min_callers
{
public:
    count_min_callers(const coordination::caller_limits_options& options,
                      std::uint64_t hash_seed)
        : options_(options)
        , seed_(hash_seed)
        , width_(options.counters * 2 / rows)
        , counters_(width_ * rows)
    {}

    state::result<void, coordination::caller_refusal>
    count(std::string_view caller, state::time_point now)
    {
        decay(now);
        const auto hash =
            XXH3_64bits_withSeed(caller.data(), caller.size(), seed_);
        std::array<std::atomic<std::uint32_t>*, rows> cells{};
        std::uint32_t least = ~0U;
        for (std::size_t r = 0; r < rows; ++r) {
            const auto column = (hash >> (r * 16U)) % width_;
            cells[r] = &counters_[r * width_ + column];
            least = std::min(least, cells[r]->load(std::memory_order_relaxed));
        }
        for (auto* cell : cells) {
            if (cell->load(std::memory_order_relaxed) == least) {
                cell->fetch_add(1, std::memory_order_relaxed);
            }
        }
        if (least + 1 > options_.max_per_window) {
            return coordination::caller_refusal::rate;
        }
        return state::outcome::success();
    }

    std::size_t bytes() const
    {
        return counters_.size() * sizeof(counters_[0]);
    }

private:
    static constexpr std::size_t rows = 4;

    void decay(state::time_point now)
    {
        const auto period =
            now.time_since_epoch().count() / (options_.window.count() / 2);
        auto last = period_.load(std::memory_order_relaxed);
        if (period == last || !period_.compare_exchange_strong(last, period)) {
            return;
        }
        for (auto& c : counters_) {
            c.store(c.load(std::memory_order_relaxed) / 2,
                    std::memory_order_relaxed);
        }
    }

    coordination::caller_limits_options options_;
    std::uint64_t seed_;
    std::size_t width_;
    std::vector<std::atomic<std::uint32_t>> counters_;
    std::atomic<std::int64_t> period_{0};
};

} // namespace oriolegrade::bench

#endif
