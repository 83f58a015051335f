// Counts and quantiles of the load tool.

#include "tally.hpp"

#include <algorithm>

namespace oriolegrade::programs {

namespace {

namespace acc = boost::accumulators;

/// Bound of memory: 16 bytes a sample in each summary.
constexpr std::size_t max_capacity = 1'000'000;
/// P-square needs several markers; reports read only 0.5 and 0.9 of them, since
/// the cached tail covers the rest.
constexpr std::array probabilities{0.25, 0.5, 0.75, 0.9, 0.95};

double ms_of(std::chrono::steady_clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

latency_summary::latency_summary(std::size_t capacity)
    : capacity_(std::clamp<std::size_t>(capacity, 1000, max_capacity))
    , body_(acc::tag::extended_p_square::probabilities = probabilities)
    , tail_(acc::tag::tail<acc::right>::cache_size = capacity_)
{}

void latency_summary::add(double ms)
{
    body_(ms);
    tail_(ms);
}

std::size_t latency_summary::count() const
{
    return acc::count(body_);
}

double latency_summary::mean() const
{
    return count() == 0 ? 0 : acc::mean(body_);
}

double latency_summary::max() const
{
    return count() == 0 ? 0 : acc::max(body_);
}

double latency_summary::quantile(double p) const
{
    const auto n = static_cast<double>(count());
    if (n == 0) {
        return 0;
    }
    if (n * (1 - p) + 1 < static_cast<double>(capacity_)) {
        return acc::quantile(tail_, acc::quantile_probability = p);
    }
    const auto it =
        std::lower_bound(probabilities.begin(), probabilities.end(), p);
    const auto i = std::min<std::ptrdiff_t>(it - probabilities.begin(),
                                            probabilities.size() - 1);
    return acc::extended_p_square(body_)[i];
}

tally::tally(std::size_t expected_samples)
    : total_ms_(expected_samples)
    , added_ms_(expected_samples)
{}

void tally::add_attempt(const attempt_result& result,
                        std::chrono::steady_clock::duration time)
{
    const std::scoped_lock lock(mutex_);
    ++counts_.attempt_ends[state::index_of(result.end)];
    if (result.end != attempt_end::answered) {
        return;
    }
    ++counts_.statuses[result.status];
    ++counts_.outcomes[result.outcome ? state::index_of(*result.outcome)
                                      : counts_.outcomes.size() - 1];
    counts_.truncated += result.truncated ? 1 : 0;
    counts_.foreign += result.foreign ? 1 : 0;
    if (result.status < 400) {
        total_ms_.add(ms_of(time));
        added_ms_.add(std::max(0.0, ms_of(time - result.upstream_time)));
    }
}

void tally::add_final(load_class type, final_result result,
                      const std::string& id, bool after_unknown)
{
    const std::scoped_lock lock(mutex_);
    ++counts_.sent;
    ++counts_.finals_by_class[state::index_of(type)][state::index_of(result)];
    if (result == final_result::not_run) {
        counts_.not_run.push_back({id, after_unknown});
    }
    if (result == final_result::ok && type != load_class::idempotent) {
        counts_.once_ok.push_back(id);
    }
}

void tally::add_skipped()
{
    const std::scoped_lock lock(mutex_);
    ++counts_.skipped;
}

void tally::add_repeat()
{
    const std::scoped_lock lock(mutex_);
    ++counts_.repeats;
}

void tally::add_token_from_428()
{
    const std::scoped_lock lock(mutex_);
    ++counts_.tokens_from_428;
}

} // namespace oriolegrade::programs
