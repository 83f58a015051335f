// What an entry asks a dispatcher, what it hears, and what it reports back.

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

/// Which send of a request a place is for.
enum class send_kind : std::uint8_t
{
    first,
    /// After an attempt that failed or was refused unrun.
    repeat,
    /// Beside an attempt that is still in progress.
    hedge,
};

template <>
struct enum_names<send_kind>
{
    static constexpr std::array<std::string_view, 3> value{"first", "repeat",
                                                           "hedge"};
};

/// Asks for a place at an upstream.
struct place_request
{
    std::string service;
    /// Route of the request; latencies are learned per route.
    std::string route;
    send_kind kind = send_kind::first;
    /// The request may run more than once.
    bool repeatable = false;
    /// The body is large.
    bool upload = false;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Time until the caller stops waiting.
    duration time_left{};
    /// Time until an answer loses part of its worth; negative when passed.
    duration target_left{};
    std::string host;
    std::string data_centre;
    /// Ids of upstreams that the request has been sent to.
    std::vector<std::string> tried;
    /// A place is wanted even when the dispatcher's view of the register is
    /// old, because no dispatcher has a fresh one.
    bool accept_stale = false;
};

/// A place: the caller of the dispatcher sends the request there.
struct place
{
    std::string upstream;
    endpoint address;
    std::uint32_t max_connections = 1;
    /// Time after which a second send beside this one is sensible; empty when
    /// none is.
    std::optional<duration> hedge_after;
};

enum class place_refusal_reason : std::uint8_t
{
    /// All places are taken for longer than the request can wait.
    overloaded,
    /// No upstream of the service is known that the request may go to.
    no_upstream,
    /// The budget of extra sends is used up.
    budget,
    /// The dispatcher's view of the register is old.
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
    /// Time after which a place is likely.
    duration retry_after{};
};

using place_answer = std::variant<place, place_refusal>;

/// How a send ended, as evidence about the upstream.
enum class send_result : std::uint8_t
{
    /// A whole answer that tells no fault of the upstream.
    answered,
    /// A whole answer that tells a fault of the upstream (5xx).
    server_error,
    /// Refused unrun because the upstream is full.
    refused,
    /// Another upstream has the address.
    misdirected,
    /// The connection ended before a whole, valid answer.
    lost,
    /// No connection could be made.
    unreachable,
    /// No answer until the deadline.
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

/// Load that an upstream reported with an answer.
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
};

} // namespace oriolegrade::state

#endif
