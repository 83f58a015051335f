// One log line for each request, within a bounded rate.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_REQUEST_LOG_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_REQUEST_LOG_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/transport/gateway/gateway_metrics.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::transport {

/// What the line of a request tells.
struct request_line
{
    std::string_view request_id;
    state::time_point began;
    std::uint64_t rules_version = 0;
    std::string_view route = {};
    std::string_view service = {};
    /// Empty for a request of nobody.
    std::string_view workspace = {};
    /// Ids of the upstreams that got the request, in order.
    std::vector<std::string> sends = {};
    /// How the sends ended, in the order of their ends.
    std::vector<state::send_result> results = {};
    /// Kinds of the sends, in order.
    std::vector<state::send_kind> kinds = {};
    /// Numbers of the connections of the sends, in order; 0 for none.
    std::vector<std::uint64_t> connections = {};
    /// Answers to other requests that were read on these connections.
    std::uint32_t skipped_answers = 0;
    /// When the request got its first place; empty when it got none.
    std::optional<state::time_point> first_placed = {};
    /// When an answer of an upstream began to be passed on; empty when none
    /// was.
    std::optional<state::time_point> answer_began = {};
    /// Requests in front of it on its connection when it was read.
    std::size_t read_behind = 0;
    /// Time for which its answer waited for those.
    state::duration turn_wait = {};

    state::duration age() const
    {
        return std::chrono::steady_clock::now() - began;
    }

    /// Writes the line, or counts it as left out when there were too many.
    void write(request_end end, std::string_view reason) const;
};

} // namespace oriolegrade::transport

#endif
