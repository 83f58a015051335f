// Baseline latency of a request class on one host. It defines which responses
// are slow and the age at which a request in flight counts as slow.

#ifndef ORIOLEGRADE_COORDINATION_LATENCY_BASELINE_HPP
#define ORIOLEGRADE_COORDINATION_LATENCY_BASELINE_HPP

#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

/// Latency histogram with logarithmic buckets over all upstreams of a class.
/// Counts are halved regularly, so that the limit follows load bursts.
class latency_baseline
{
public:
    /// Records the latency of a complete response.
    void add(state::duration latency);

    /// Age from which a request is slow: a multiple of the median. The median
    /// reflects the healthy upstreams while fewer than half of the responses
    /// are slow, whereas a single slow upstream would raise a high percentile.
    /// @param fallback limit used until min_samples responses are recorded
    state::duration slow_limit(state::duration fallback) const
    {
        return total_ < min_samples ? fallback : limit_;
    }

private:
    static constexpr std::size_t bucket_count = 96;
    static constexpr std::uint32_t min_samples = 20;
    /// Number of responses after which all counts are halved.
    static constexpr std::uint32_t window_samples = 400;

    void halve();
    void update_limit();

    std::array<std::uint32_t, bucket_count> buckets_{};
    std::uint32_t total_ = 0;
    state::duration limit_{};
};

} // namespace oriolegrade::coordination

#endif
