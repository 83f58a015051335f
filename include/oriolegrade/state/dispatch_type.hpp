// Messages between an entry and a dispatcher: place requests, their answers,
// and reports of the sends.

#ifndef ORIOLEGRADE_STATE_DISPATCH_TYPE_HPP
#define ORIOLEGRADE_STATE_DISPATCH_TYPE_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolegrade::state {

/// Kind of a send among the sends of one request.
enum class send_kind : std::uint8_t
{
    first,
    /// After an attempt that failed or was refused unrun.
    repeat,
    /// Concurrent with an attempt that is still in progress.
    hedge,
};

template <>
struct enum_names<send_kind>
{
    static constexpr std::array<std::string_view, 3> value{"first", "repeat",
                                                           "hedge"};
};

/// Request for a place at an upstream.
struct place_request
{
    std::string service;
    /// Route of the request; latencies are learned per route.
    std::string route;
    /// Name of the workspace that sent the request; empty for none.
    std::string workspace = {};
    send_kind kind = send_kind::first;
    /// The request may run more than once.
    bool repeatable = false;
    /// The body is large.
    bool upload = false;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Time until the caller's deadline.
    duration time_left{};
    /// Time until the latency target; negative when it has passed.
    duration target_left{};
    std::string host;
    std::string data_centre;
    /// Ids of upstreams that the request was already sent to.
    std::vector<std::string> tried;
    /// Place the request even when the dispatcher's view of the registry is
    /// stale, because no dispatcher has a fresh one.
    bool accept_stale = false;
    /// The first send of a request that was placed before, at an upstream that
    /// could not be reached. Upstreams count what arrives, so this is no extra
    /// send, and the request has been counted.
    bool placed_before = false;
};

/// Permission to send a request to an upstream.
struct place
{
    std::string upstream;
    endpoint address;
    std::uint32_t max_connections = 1;
    /// Time after which to send a hedge; empty for none.
    std::optional<duration> hedge_after;
    /// Incarnation of the upstream, as it registered.
    std::uint64_t born = 0;
};

/// What an upstream says of itself in an answer.
struct upstream_wish
{
    /// It leaves: no further requests, whatever the register says of this
    /// incarnation.
    bool leaving = false;
    /// No requests for this time; empty when it says nothing of the kind.
    std::optional<duration> pause = {};
    /// It asked for such a time in a form that cannot be used.
    bool has_unusable_pause = false;

    bool any() const
    {
        return leaving || pause.has_value();
    }
    /// End of the time for which the upstream gets no requests; max() when it
    /// leaves, and the first moment there is when it says nothing.
    time_point quiet_until(time_point now) const
    {
        if (leaving) {
            return time_point::max();
        }
        return pause ? now + *pause : time_point{};
    }
    bool operator==(const upstream_wish&) const = default;
};

enum class place_refusal_reason : std::uint8_t
{
    /// All slots are taken for longer than the request can wait.
    overloaded,
    /// No upstream of the service is known that the request may be sent to.
    no_upstream,
    /// The budget of extra sends is used up.
    budget,
    /// The dispatcher's view of the registry is stale.
    stale,
    /// The dispatcher is stopping.
    leaving,
};

template <>
struct enum_names<place_refusal_reason>
{
    static constexpr std::array<std::string_view, 5> value{
        "overloaded", "no_upstream", "budget", "stale", "leaving"};
};

struct place_refusal
{
    place_refusal_reason reason = place_refusal_reason::no_upstream;
    /// Time after which a free slot is likely.
    duration retry_after{};
};

using place_answer = std::variant<place, place_refusal>;

/// Result of a send, as evidence about the upstream.
enum class send_result : std::uint8_t
{
    /// A complete response without a server error.
    answered,
    /// A complete response with a server error (5xx).
    server_error,
    /// Refused unrun because the upstream is full.
    refused,
    /// The address now belongs to another upstream.
    misdirected,
    /// The connection ended before a complete, valid response.
    lost,
    /// No connection could be established.
    unreachable,
    /// No response before the deadline.
    expired,
    /// The caller left, or another send was faster.
    cancelled,
};

template <>
struct enum_names<send_result>
{
    static constexpr std::array<std::string_view, 8> value{
        "answered", "server_error", "refused", "misdirected",
        "lost",     "unreachable",  "expired", "cancelled"};
};

/// Load that an upstream reported with a response.
struct occupancy_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
};

struct send_report
{
    send_result result = send_result::cancelled;
    duration took{};
    std::optional<occupancy_report> load;
    /// No send was made: the place came too late, and the request had gone
    /// elsewhere. It says nothing about the upstream.
    bool unused = false;
    /// What the upstream said of itself.
    upstream_wish wish = {};
};

} // namespace oriolegrade::state

#endif
