// Usual latency of a request class on one host. Tells late answers from
// ordinary ones, and at which age a request in flight is evidence by itself.

#ifndef ORIOLEGRADE_COORDINATION_LATENCY_BASELINE_HPP
#define ORIOLEGRADE_COORDINATION_LATENCY_BASELINE_HPP

#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

/// Histogram of latencies over all upstreams of a class with logarithmic
/// buckets. Counts are halved regularly, so the limit follows load bursts.
class latency_baseline
{
public:
    /// Records the latency of a whole answer.
    void add(state::duration latency);

    /// Age from which a request is slow: a multiple of the median. The median
    /// stays with the healthy upstreams while fewer than half of the answers
    /// are late; a high percentile itself would follow one slow upstream.
    /// @param fallback limit before enough answers are known
    state::duration slow_limit(state::duration fallback) const
    {
        return total_ < min_samples ? fallback : limit_;
    }

private:
    static constexpr std::size_t bucket_count = 96;
    static constexpr std::uint32_t min_samples = 20;
    /// Answers after which all counts are halved.
    static constexpr std::uint32_t window_samples = 400;

    void halve();
    void update_limit();

    std::array<std::uint32_t, bucket_count> buckets_{};
    std::uint32_t total_ = 0;
    state::duration limit_{};
};

} // namespace oriolegrade::coordination

#endif
