// Rate limit per caller in memory of fixed size.

#ifndef ORIOLEGRADE_COORDINATION_CALLER_LIMITS_HPP
#define ORIOLEGRADE_COORDINATION_CALLER_LIMITS_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/result.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

namespace oriolegrade::coordination {

enum class caller_refusal : std::uint8_t
{
    rate,
};

struct caller_limits_options
{
    /// Limit of requests of one caller per window.
    std::uint32_t max_per_window = 100;
    state::duration window = std::chrono::seconds(1);
    /// Power of two; 8 bytes each.
    std::size_t counters = 8192;
};

/// Counts requests per caller in fixed time windows, in a table of tagged
/// counters shared by worker threads. The windowed counting follows "Cache
/// admission algorithm (Filter) for fast NDN software routers"; tags and
/// buckets are additions. A counter of an earlier window counts as empty, so a
/// new window needs no sweep. A full bucket evicts its smallest counter: heavy
/// callers stay, and no caller inherits the count of another.
/// docs/measurements-load.md compares it with a count-min sketch with decay.
/// A caller may use its limit twice around a window boundary.
class caller_limits
{
public:
    /// @param hash_seed random, so that no caller can choose a name that
    ///     collides with the counter of another
    caller_limits(const caller_limits_options& options,
                  std::uint64_t hash_seed);

    /// Counts a request of a caller, whether or not it is refused.
    state::result<void, caller_refusal> count(std::string_view caller,
                                              state::time_point now)
    {
        if (add(caller, now) > options_.max_per_window) {
            return caller_refusal::rate;
        }
        return state::outcome::success();
    }

    std::size_t bytes() const
    {
        return buckets_count_ * sizeof(bucket);
    }

private:
    static constexpr std::size_t bucket_size = 8;

    /// One cache line. Each word holds window (16 bits), tag (24 bits) and
    /// count (24 bits).
    struct alignas(64) bucket
    {
        std::array<std::atomic<std::uint64_t>, bucket_size> words{};
    };

    std::uint32_t add(std::string_view caller, state::time_point now);

    caller_limits_options options_;
    std::uint64_t seed_;
    std::size_t buckets_count_;
    std::unique_ptr<bucket[]> buckets_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::caller_refusal>
{
    static constexpr std::array<std::string_view, 1> value{"rate"};
};

} // namespace oriolegrade::state

#endif
