// Counters and latency histograms of a gateway, as text for its metrics
// address.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_METRICS_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_METRICS_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/quota_type.hpp>
#include <oriolegrade/state/rcu_cell.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/text_hash.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/state/traffic_rules.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::transport {

enum class request_end : std::uint8_t
{
    /// An upstream's answer was passed on.
    answered,
    /// Refused unrun.
    refused,
    /// Answered with an error of the gateway's own after a send.
    failed,
    /// The caller left.
    abandoned,
    /// An answer in front of it closed the connection; its caller sends it
    /// again.
    dropped,
};

/// What a host holds of the limits of workspaces.
enum class quota_gauge : std::uint8_t
{
    lent_rate,
    lent_burst,
    borrowed_rate,
    borrowed_burst,
    /// Whole shards whose shares are delegated to the host.
    delegated_shards,
};

} // namespace oriolegrade::transport

namespace oriolegrade::state {

template <>
struct enum_names<transport::quota_gauge>
{
    static constexpr std::array<std::string_view, 5> value{
        "lent_rate", "lent_burst", "borrowed_rate", "borrowed_burst",
        "delegated_shards"};
};

template <>
struct enum_names<transport::request_end>
{
    static constexpr std::array<std::string_view, 5> value{
        "answered", "refused", "failed", "abandoned", "dropped"};
};

} // namespace oriolegrade::state

namespace oriolegrade::transport {

/// Written by all threads without locks.
class gateway_metrics
{
public:
    void count(request_end end, state::duration took);
    void count(state::send_result result)
    {
        sends_[state::index_of(result)].fetch_add(1, std::memory_order_relaxed);
    }
    /// Counts a request that was read with others in front of it.
    /// @param in_front requests of its connection without an answer
    void count_read_ahead(std::size_t in_front)
    {
        const auto n = std::min(in_front, read_ahead_.size()) - 1;
        read_ahead_[n].fetch_add(1, std::memory_order_relaxed);
    }
    /// Counts an answer to another request that was read past.
    void count_skipped_answer()
    {
        skipped_answers_.fetch_add(1, std::memory_order_relaxed);
    }
    void count_fallback()
    {
        fallbacks_.fetch_add(1, std::memory_order_relaxed);
    }
    /// Sets what is in use of the memory for callers, and how often it was
    /// refused.
    void set_memory(std::uint64_t used, std::uint64_t refusals)
    {
        memory_used_.store(used, std::memory_order_relaxed);
        memory_refusals_.store(refusals, std::memory_order_relaxed);
    }
    /// Counts a request that was refused for want of a known key.
    void count_unknown_key()
    {
        unknown_keys_.fetch_add(1, std::memory_order_relaxed);
    }

    /// Sets the gauges of the limits of workspaces.
    void set_quotas(const state::quota_holdings& lent,
                    const state::quota_holdings& borrowed, double delegated);

    /// Counts by workspace from now on. Workspaces that are not listed lose
    /// their counters, so that their number is bounded by the rules. Calls must
    /// not overlap.
    void set_workspaces(const std::vector<state::traffic_workspace>& all);
    /// Counts the end of a request of a workspace; one that is not listed is
    /// not counted.
    void count(std::string_view workspace, request_end end);
    /// Counts why a request of a workspace was refused.
    void count(std::string_view workspace, state::reply_reason reason);
    void count(std::string_view workspace, state::place_refusal_reason reason);

    /// One `name{label="value"} number` line per counter.
    std::string to_text() const;

private:
    /// Upper bounds of the latency histogram, in milliseconds.
    static constexpr std::array<std::uint32_t, 10> bounds_ms{
        5, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000};

    using counter = std::atomic<std::uint64_t>;

    struct workspace_counters
    {
        std::array<counter, state::enum_size<request_end>> ends{};
        /// Refusals of the host itself, and of a dispatcher.
        std::array<counter, state::enum_size<state::reply_reason>> replies{};
        std::array<counter, state::enum_size<state::place_refusal_reason>>
            refusals{};
    };
    using workspace_table =
        state::text_map<std::shared_ptr<workspace_counters>>;

    std::shared_ptr<workspace_counters>
    counters_of(std::string_view workspace) const;

    std::array<counter, state::enum_size<request_end>> ends_{};
    std::array<counter, state::enum_size<state::send_result>> sends_{};
    /// The last one counts what is above all bounds.
    std::array<counter, bounds_ms.size() + 1> latency_{};
    /// Requests that were read with others in front of them, by the number of
    /// these; the last one counts all larger numbers.
    std::array<counter, 8> read_ahead_{};
    /// Requests that no dispatcher placed in time.
    counter fallbacks_{0};
    /// Answers of upstreams that belonged to other requests.
    counter skipped_answers_{0};
    /// Requests without a known key on routes that need one.
    counter unknown_keys_{0};
    std::array<std::atomic<double>, state::enum_size<quota_gauge>> quotas_{};
    counter memory_used_{0};
    counter memory_refusals_{0};
    state::rcu_cell<workspace_table> workspaces_{
        std::make_shared<const workspace_table>()};
};

} // namespace oriolegrade::transport

#endif
