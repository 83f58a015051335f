// Histogram of latencies with four buckets per factor of two.

#include <oriolegrade/coordination/latency_baseline.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

/// Lower bound of the first bucket, in microseconds.
constexpr double first_bucket_us = 10.0;
constexpr double buckets_per_doubling = 4.0;
/// With exponentially distributed latencies, one response in a thousand takes
/// longer than ten times the median.
constexpr double slow_median_factor = 10.0;
/// Responses between two updates of the limit.
constexpr std::uint32_t update_interval = 8;

std::size_t bucket_of(state::duration latency, std::size_t count)
{
    const double us =
        std::chrono::duration<double, std::micro>(latency).count();
    if (!(us > first_bucket_us)) {
        return 0;
    }
    const double n = std::log2(us / first_bucket_us) * buckets_per_doubling;
    return std::min(static_cast<std::size_t>(n), count - 1);
}

state::duration upper_bound_of(std::size_t bucket)
{
    const double us =
        first_bucket_us *
        std::exp2(static_cast<double>(bucket + 1) / buckets_per_doubling);
    return std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double, std::micro>(us));
}

} // namespace

void latency_baseline::add(state::duration latency)
{
    ++buckets_[bucket_of(latency, bucket_count)];
    ++total_;
    if (total_ % update_interval == 0 || total_ == min_samples) {
        update_limit();
    }
    if (total_ >= window_samples) {
        halve();
    }
}

void latency_baseline::halve()
{
    total_ = 0;
    for (auto& it : buckets_) {
        it /= 2;
        total_ += it;
    }
}

void latency_baseline::update_limit()
{
    std::uint32_t seen = 0;
    for (std::size_t n = 0; n < bucket_count; ++n) {
        seen += buckets_[n];
        if (2 * seen >= total_) {
            limit_ = std::chrono::duration_cast<state::duration>(
                upper_bound_of(n) * slow_median_factor);
            return;
        }
    }
}

} // namespace oriolegrade::coordination
