// Budget of extra sends to one service in a sliding time window.

#ifndef ORIOLEGRADE_COORDINATION_WINDOW_BUDGET_HPP
#define ORIOLEGRADE_COORDINATION_WINDOW_BUDGET_HPP

#include <oriolegrade/coordination/bucket_ring.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

struct window_budget_options
{
    /// Extra sends allowed per request in the window.
    double ratio = 0.1;
    /// Extra sends allowed in a window without requests.
    double slack = 10;
    state::duration window = std::chrono::seconds(10);
};

/// Counts requests and extra sends. Unlike a token bucket, it limits every
/// window of the given length, wherever it starts.
class window_budget
{
public:
    explicit window_budget(const window_budget_options& options = {});

    void set_slack(double slack)
    {
        options_.slack = slack;
    }

    /// Counts a first send.
    void add_request(state::time_point now);

    /// Reserves one extra send.
    /// @param share part of the whole budget that the caller may use
    bool try_take(double share, state::time_point now);

    /// Returns an extra send that was not made.
    /// @param taken_at time of the successful try_take()
    void refund(state::time_point taken_at, state::time_point now);

    /// Counts an extra send at the time at which it is made, which may be a
    /// wait for a place after the one at which it was reserved.
    /// @param taken_at time of the successful try_take()
    void postpone(state::time_point taken_at, state::time_point now);

    /// Share of the budget in use; above 1 after the request rate has fallen.
    double used(state::time_point now) const;

private:
    struct counts
    {
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };
    /// Buckets per window. Extra sends are counted over one bucket more, so
    /// that the window is never shorter than configured.
    static constexpr std::int64_t buckets_per_window = 20;

    std::int64_t bucket_number(state::time_point now) const;
    double allowed(std::int64_t number) const;
    std::uint32_t extras(std::int64_t number) const;

    window_budget_options options_;
    bucket_ring<counts, buckets_per_window + 1> buckets_;
};

} // namespace oriolegrade::coordination

#endif
