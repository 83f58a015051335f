// Counts and latency quantiles of a run. Shared by all threads.

#ifndef ORIOLEGRADE_PROGRAMS_LOAD_TALLY_HPP
#define ORIOLEGRADE_PROGRAMS_LOAD_TALLY_HPP

#include "attempt.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace oriolegrade::programs {

/// What the caller finally knows about its request.
enum class final_result : std::uint8_t
{
    /// Whole answer below 400.
    ok,
    /// Whole answer of 400 or above that does not say not-run or unknown.
    failed,
    not_run,
    unknown,
    lost,
    timed_out,
    not_connected,
};

/// A request whose last answer said not-run.
struct not_run_request
{
    std::string id;
    /// An earlier attempt with the same token or key had no known outcome.
    bool after_unknown;
};

/// Latencies in milliseconds. Quantiles are exact while the number of samples
/// stays below the capacity; beyond it those below the cached tail are
/// P-square estimates.
class latency_summary
{
public:
    explicit latency_summary(std::size_t capacity);

    void add(double ms);
    std::size_t count() const;
    double mean() const;
    double max() const;
    double quantile(double p) const;

private:
    using body_set = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square>>;
    using tail_set = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::tail_quantile<
            boost::accumulators::right>>>;

    std::size_t capacity_;
    body_set body_;
    tail_set tail_;
};

struct tally_counts
{
    using finals = std::array<std::uint64_t, 7>;

    std::uint64_t sent = 0;
    /// Arrivals dropped because too many requests were in flight.
    std::uint64_t skipped = 0;
    std::uint64_t repeats = 0;
    std::uint64_t tokens_from_428 = 0;
    std::uint64_t truncated = 0;
    std::uint64_t foreign = 0;
    std::map<unsigned, std::uint64_t> statuses;
    /// Attempts by outcome field; the last entry counts answers without one.
    std::array<std::uint64_t, 4> outcomes{};
    std::array<std::uint64_t, 4> attempt_ends{};
    std::array<finals, 4> finals_by_class{};
    std::vector<not_run_request> not_run;
    /// Non-idempotent requests that were answered with success.
    std::vector<std::string> once_ok;
};

class tally
{
public:
    explicit tally(std::size_t expected_samples);

    void add_attempt(const attempt_result& result,
                     std::chrono::steady_clock::duration time);
    void add_final(load_class type, final_result result, const std::string& id,
                   bool after_unknown);
    void add_skipped();
    void add_repeat();
    void add_token_from_428();

    /// Only after all threads have ended.
    const tally_counts& counts() const
    {
        return counts_;
    }
    const latency_summary& total_ms() const
    {
        return total_ms_;
    }
    /// Without the time that the upstream reported for itself.
    const latency_summary& added_ms() const
    {
        return added_ms_;
    }

private:
    /// Held for a few arithmetic operations, never while a fiber waits.
    std::mutex mutex_;
    tally_counts counts_;
    latency_summary total_ms_;
    latency_summary added_ms_;
};

} // namespace oriolegrade::programs

namespace oriolegrade::state {

template <>
struct enum_names<programs::final_result>
{
    static constexpr std::array<std::string_view, 7> value{
        "ok",   "failed",    "not_run",      "unknown",
        "lost", "timed_out", "not_connected"};
};

} // namespace oriolegrade::state

#endif
