// Budget for extra attempts of one service, shared by worker threads.

#ifndef ORIOLEGRADE_COORDINATION_RETRY_BUDGET_HPP
#define ORIOLEGRADE_COORDINATION_RETRY_BUDGET_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/result.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>

namespace oriolegrade::coordination {

enum class attempt_kind : std::uint8_t
{
    /// Repeats a failed attempt.
    retry,
    /// Runs concurrently with a slow attempt.
    hedge,
    /// Sends a request to another upstream after a shed, which proves that it
    /// did not run. Takes no token, because a shed costs an upstream very
    /// little.
    redirect,
};

enum class budget_refusal : std::uint8_t
{
    exhausted,
    /// Callers' requests are being shed; more attempts would add to the
    /// overload.
    overloaded,
};

struct retry_budget_options
{
    /// Extra attempts per first attempt, in thousandths.
    std::int64_t per_request_milli = 100;
    /// Capacity of the bucket; lets a service with few requests retry them.
    std::int64_t max_tokens = 20;
    /// Extra attempts stop while the fleet refuses at least this share of
    /// callers' requests, in thousandths, for lack of capacity.
    std::uint32_t overload_milli = 20;
};

/// Token bucket refilled by first attempts instead of by time, which bounds the
/// share of extra attempts at every request rate.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options& options = {})
        : options_(options)
        , milli_tokens_(options.max_tokens * 1000)
    {}

    /// Refills the bucket for a first attempt.
    void deposit()
    {
        const auto max_milli = options_.max_tokens * 1000;
        const auto before = milli_tokens_.fetch_add(options_.per_request_milli,
                                                    std::memory_order_relaxed);
        if (before + options_.per_request_milli > max_milli) {
            milli_tokens_.fetch_sub(options_.per_request_milli,
                                    std::memory_order_relaxed);
        }
    }

    /// Takes a token for one extra attempt.
    state::result<void, budget_refusal> try_take(attempt_kind kind)
    {
        if (overloaded()) {
            return budget_refusal::overloaded;
        }
        if (kind == attempt_kind::redirect) {
            return state::outcome::success();
        }
        if (milli_tokens_.fetch_sub(1000, std::memory_order_relaxed) < 1000) {
            milli_tokens_.fetch_add(1000, std::memory_order_relaxed);
            return budget_refusal::exhausted;
        }
        return state::outcome::success();
    }

    /// Sets the share of callers' requests that the fleet refuses for lack of
    /// capacity, in thousandths. Redirected attempts do not count as refused.
    void set_shed_level(std::uint32_t milli)
    {
        shed_milli_.store(std::min(milli, 1000U), std::memory_order_relaxed);
    }

    bool overloaded() const
    {
        return shed_milli_.load(std::memory_order_relaxed) >=
               options_.overload_milli;
    }

private:
    retry_budget_options options_;
    std::atomic<std::int64_t> milli_tokens_;
    std::atomic<std::uint32_t> shed_milli_{0};
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::attempt_kind>
{
    static constexpr std::array<std::string_view, 3> value{"retry", "hedge",
                                                           "redirect"};
};

template <>
struct enum_names<coordination::budget_refusal>
{
    static constexpr std::array<std::string_view, 2> value{"exhausted",
                                                           "overloaded"};
};

} // namespace oriolegrade::state

#endif
