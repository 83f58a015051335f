// Shards of workspaces, and limits that hosts can share.

#include <oriolegrade/coordination/quota_times.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <chrono>

namespace oriolegrade::coordination {

namespace {

/// Part of the rate that may be turned into burst.
constexpr double max_rate_part = 0.02;
/// Burst, in seconds of the rate, above which a limit is left as it is.
constexpr double wanted_burst_s = 0.25;
/// Part of the slack that is burst at all times. The rest is for starts, and
/// for shares that count twice.
constexpr double slack_part = 0.25;
constexpr char incarnation_mark = '/';

/// Turns a part of the rate into burst where that is too small.
state::quota_limit with_least_burst(const state::quota_limit& limit,
                                    state::duration window)
{
    const auto window_s = std::chrono::duration<double>(window).count();
    const auto wanted = std::max(1.0, limit.rate_per_s * wanted_burst_s);
    if (limit.burst >= wanted || window_s <= 0) {
        return limit;
    }
    // Over the window, what the burst gains is what the rate loses.
    const auto needed = std::max(0.0, 1 - limit.burst);
    const auto part =
        std::max(needed, std::min(wanted - limit.burst,
                                  limit.rate_per_s * window_s * max_rate_part));
    if (part > limit.rate_per_s * window_s) {
        // Less than one request in a window: none may be sent.
        return {};
    }
    return {limit.rate_per_s - part / window_s, limit.burst + part};
}

} // namespace

state::quota_limit usable_limit(const state::quota_limit& limit,
                                state::duration window,
                                const state::quota_allowance& allowance)
{
    auto out = with_least_burst(limit, window);
    if (out.rate_per_s > 0) {
        out.burst += allowance.slack * slack_part;
    }
    return out;
}

std::string quota_process_name(std::string_view host,
                               std::string_view incarnation)
{
    std::string out(host);
    out += incarnation_mark;
    out += incarnation;
    return out;
}

std::string_view quota_host_of(std::string_view process)
{
    return process.substr(0, process.rfind(incarnation_mark));
}

std::uint32_t quota_shard_of(std::string_view workspace)
{
    return static_cast<std::uint32_t>(
        XXH3_64bits(workspace.data(), workspace.size()) % quota_shards);
}

std::string quota_shard_name(std::uint32_t shard)
{
    return "quota-" + std::to_string(shard);
}

} // namespace oriolegrade::coordination
