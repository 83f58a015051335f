// Distribution of durations in constant memory.

#ifndef ORIOLEGRADE_TRANSPORT_LATENCY_SUMMARY_HPP
#define ORIOLEGRADE_TRANSPORT_LATENCY_SUMMARY_HPP

#include <oriolegrade/state/time_type.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <chrono>
#include <cstdint>

namespace oriolegrade::transport {

/// Durations in seconds since the start of the process. Not thread-safe.
class latency_summary
{
public:
    void add(state::duration time)
    {
        const auto seconds = std::chrono::duration<double>(time).count();
        median_(seconds);
        high_(seconds);
    }

    std::uint64_t count() const
    {
        return boost::accumulators::count(high_);
    }
    double sum() const
    {
        return boost::accumulators::sum(high_);
    }
    /// Estimates by the P-square algorithm; 0 without samples.
    double median() const
    {
        return estimate(median_);
    }
    double p99() const
    {
        return estimate(high_);
    }

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::p_square_quantile>>;

    static double estimate(const accumulator& it)
    {
        return boost::accumulators::count(it) == 0
                   ? 0
                   : boost::accumulators::p_square_quantile(it);
    }

    accumulator median_{boost::accumulators::quantile_probability = 0.5};
    accumulator high_{boost::accumulators::quantile_probability = 0.99};
};

} // namespace oriolegrade::transport

#endif
