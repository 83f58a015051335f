// Limits, headers and errors of the HTTP/2 streams between own processes.

#ifndef ORIOLEGRADE_TRANSPORT_STREAM_TYPES_HPP
#define ORIOLEGRADE_TRANSPORT_STREAM_TYPES_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/result.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::transport {

struct stream_header
{
    /// Lower case, as HTTP/2 demands.
    std::string name;
    std::string value;
};

using stream_headers = std::vector<stream_header>;

/// Value of the first header with the name; empty when there is none.
std::string_view find_header(const stream_headers& headers,
                             std::string_view name);

struct stream_limits
{
    /// Names and values of one header block.
    std::size_t header_bytes = 16 * 1024;
    /// Open streams of one connection.
    std::uint32_t streams = 256;
    /// Received and not yet read, per stream. A slow reader holds no more,
    /// and never the connection's window, so it does not delay other streams.
    std::uint32_t window_bytes = 64 * 1024;
    /// Written and not yet sent, per stream.
    std::size_t output_bytes = 32 * 1024;
    /// Body of a unary reply.
    std::size_t reply_bytes = 4 * 1024 * 1024;
    std::chrono::milliseconds connect_timeout{1000};
    /// Longest time that one write of the socket may take.
    std::chrono::milliseconds write_timeout{10'000};
    /// A peer that is silent this long is asked for a sign of life, and one
    /// that stays silent as long again is taken for dead.
    std::chrono::milliseconds ping_interval{3000};
    /// A connection without streams is closed after this time.
    std::chrono::milliseconds idle_timeout{60'000};
};

enum class stream_failure : std::uint8_t
{
    connect_failed,
    /// The peer refused the stream, or is going away and did not take it.
    refused,
    /// Too many open streams until the deadline.
    no_capacity,
    connection_lost,
    /// The peer reset the stream.
    reset,
    timed_out,
    /// This side reset the stream.
    cancelled,
    /// A body or header block exceeded its limit.
    too_large,
};

struct stream_error
{
    stream_failure failure;
    /// False only when it is proved that no byte of the request reached the
    /// peer's application.
    bool maybe_processed;
    /// Error code of HTTP/2, when the peer gave one.
    std::uint32_t code = 0;
};

template <class Value>
using stream_result = state::result<Value, stream_error>;

} // namespace oriolegrade::transport

namespace oriolegrade::state {

template <>
struct enum_names<transport::stream_failure>
{
    static constexpr std::array<std::string_view, 8> value{
        "connect_failed", "refused",   "no_capacity", "connection_lost",
        "reset",          "timed_out", "cancelled",   "too_large"};
};

} // namespace oriolegrade::state

#endif
