// Decides when a hedge is started for a slow attempt.

#ifndef ORIOLEGRADE_COORDINATION_HEDGE_POLICY_HPP
#define ORIOLEGRADE_COORDINATION_HEDGE_POLICY_HPP

#include <oriolegrade/coordination/retry_budget.hpp>
#include <oriolegrade/state/request_class.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cmath>

namespace oriolegrade::coordination {

/// Streaming estimate of a percentile: each sample multiplies the estimate by a
/// fixed ratio up or down. Unlike P-square it needs only one word, so worker
/// threads can share it, and it adapts to changes. A lost concurrent update
/// only delays it.
class percentile_estimate
{
public:
    explicit percentile_estimate(double quantile)
        : step_up_(std::exp(step * quantile))
        , step_down_(std::exp(-step * (1 - quantile)))
    {}

    void add(state::duration sample)
    {
        const auto ns = static_cast<double>(sample.count());
        const double old = value_.load(std::memory_order_relaxed);
        const double updated =
            old == 0 ? ns : old * (ns > old ? step_up_ : step_down_);
        value_.store(std::max(updated, 1.0), std::memory_order_relaxed);
        samples_.fetch_add(1, std::memory_order_relaxed);
    }

    state::duration value() const
    {
        return state::duration(
            static_cast<std::int64_t>(value_.load(std::memory_order_relaxed)));
    }

    std::uint64_t samples() const
    {
        return samples_.load(std::memory_order_relaxed);
    }

private:
    /// A larger step adapts faster and increases the variance of the estimate.
    static constexpr double step = 0.05;
    double step_up_;
    double step_down_;
    std::atomic<double> value_{0};
    std::atomic<std::uint64_t> samples_{0};
};

enum class hedge_refusal : std::uint8_t
{
    not_idempotent,
    /// Too few latency samples for an estimate.
    no_estimate,
    budget,
};

/// Decides on hedges for one request class of a service.
class hedge_policy
{
public:
    /// @param quantile of the latencies above which an attempt counts as slow
    explicit hedge_policy(double quantile = 0.95)
        : slow_latency_(quantile)
    {}

    void add_latency(state::duration sample)
    {
        slow_latency_.add(sample);
    }

    /// Time from the start of the first attempt to that of a hedge.
    state::result<state::duration, hedge_refusal>
    delay(state::request_class request) const
    {
        if (request == state::request_class::non_idempotent) {
            return hedge_refusal::not_idempotent;
        }
        if (slow_latency_.samples() < min_samples) {
            return hedge_refusal::no_estimate;
        }
        return slow_latency_.value();
    }

    /// Called at the end of the delay when the first attempt is still running.
    state::result<void, hedge_refusal> start(state::request_class request,
                                             retry_budget& budget) const
    {
        if (request == state::request_class::non_idempotent) {
            return hedge_refusal::not_idempotent;
        }
        if (!budget.try_take(attempt_kind::hedge)) {
            return hedge_refusal::budget;
        }
        return state::outcome::success();
    }

private:
    static constexpr std::uint64_t min_samples = 100;
    percentile_estimate slow_latency_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::hedge_refusal>
{
    static constexpr std::array<std::string_view, 3> value{
        "not_idempotent", "no_estimate", "budget"};
};

} // namespace oriolegrade::state

#endif
