// Windowed counting of requests per caller.

#include <oriolegrade/coordination/caller_limits.hpp>

#include <cassert>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace oriolegrade::coordination {

namespace {

constexpr unsigned count_bits = 24;
constexpr std::uint64_t count_mask = (1U << count_bits) - 1;

} // namespace

caller_limits::caller_limits(const caller_limits_options& options,
                             std::uint64_t hash_seed)
    : options_(options)
    , seed_(hash_seed)
    , buckets_count_(options.counters / bucket_size)
    , buckets_(new bucket[buckets_count_])
{
    assert(buckets_count_ > 0 && (buckets_count_ & (buckets_count_ - 1)) == 0);
}

std::uint32_t caller_limits::add(std::string_view caller, state::time_point now)
{
    const auto hash = XXH3_64bits_withSeed(caller.data(), caller.size(), seed_);
    // Window numbers start at 1, so an unused word belongs to no window.
    const auto window = static_cast<std::uint64_t>(
        now.time_since_epoch().count() / options_.window.count() % 65535 + 1);
    const auto tagged_window = (window << 48U) | ((hash >> 40U) << count_bits);
    auto& words = buckets_[hash & (buckets_count_ - 1)].words;

    std::size_t smallest = 0;
    std::uint64_t smallest_count = count_mask + 1;
    std::uint64_t smallest_word = 0;
    for (std::size_t i = 0; i < bucket_size; ++i) {
        const auto word = words[i].load(std::memory_order_relaxed);
        if ((word & ~count_mask) == tagged_window) {
            if ((word & count_mask) == count_mask) {
                return count_mask;
            }
            return static_cast<std::uint32_t>(
                (words[i].fetch_add(1, std::memory_order_relaxed) &
                 count_mask) +
                1);
        }
        const auto count = (word >> 48U) == window ? (word & count_mask) : 0;
        if (count < smallest_count) {
            smallest = i;
            smallest_count = count;
            smallest_word = word;
        }
    }
    // A failed exchange leaves this request uncounted, which only favours the
    // caller; its next request finds or claims a word.
    words[smallest].compare_exchange_strong(smallest_word, tagged_window | 1U,
                                            std::memory_order_relaxed);
    return 1;
}

} // namespace oriolegrade::coordination
