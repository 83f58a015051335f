// Budget of extra attempts of one service, shared by worker threads.

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
    /// Runs beside a slow attempt.
    hedge,
    /// Sends a request elsewhere after a shed, which proves that it did not
    /// run. Costs an upstream next to nothing, so it takes no token.
    redirect,
};

enum class budget_refusal : std::uint8_t
{
    exhausted,
    /// The service sheds requests of callers; more attempts make it worse.
    overloaded,
};

struct retry_budget_options
{
    /// Extra attempts per first attempt, in thousandths.
    std::int64_t per_request_milli = 100;
    /// Tokens that a quiet service keeps, so that its few requests can be
    /// retried.
    std::int64_t max_tokens = 20;
    /// Share of callers' requests that the fleet refuses for want of
    /// capacity, in thousandths, from which extra attempts stop.
    std::uint32_t overload_milli = 20;
};

/// Token bucket filled by first attempts instead of time: the share of extra
/// attempts stays bounded at every request rate.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options& options = {})
        : options_(options)
        , milli_tokens_(options.max_tokens * 1000)
    {}

    /// Counts a first attempt.
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

    /// Takes the right to one extra attempt.
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

    /// Sets the fleet's level: requests refused to callers for want of
    /// capacity, in thousandths. Redirected attempts do not count in it.
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
