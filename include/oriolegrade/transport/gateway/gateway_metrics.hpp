// Counters and latency histograms of a gateway, as text for its metrics
// address.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_METRICS_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_GATEWAY_METRICS_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

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

} // namespace oriolegrade::transport

namespace oriolegrade::state {

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

    /// One `name{label="value"} number` line per counter.
    std::string to_text() const;

private:
    /// Upper bounds of the latency histogram, in milliseconds.
    static constexpr std::array<std::uint32_t, 10> bounds_ms{
        5, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000};

    using counter = std::atomic<std::uint64_t>;
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
};

} // namespace oriolegrade::transport

#endif
