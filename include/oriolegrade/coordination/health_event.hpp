// Decisions about health as typed events. Each leaves one audit line with the
// evidence that it rests on.

#ifndef ORIOLEGRADE_COORDINATION_HEALTH_EVENT_HPP
#define ORIOLEGRADE_COORDINATION_HEALTH_EVENT_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::coordination {

enum class health_event_kind : std::uint8_t
{
    /// Out of service for the fleet.
    ejected,
    /// Hold-down is over; probes decide next.
    probing,
    /// Receives a few idempotent requests.
    trial,
    /// Passed its trial; its share of work grows.
    ramping,
    /// Fully in service again.
    returned,
    /// One host alone stops sending to the upstream.
    avoided,
    /// Unfit, but needed for the floor.
    kept_by_floor,
    /// No longer needed for the floor.
    released_by_floor,
    leaving,
    /// A leaving upstream is back.
    rejoined,
    /// Most of the service looks unhealthy to this host alone.
    host_suspected,
};

/// One decision with its evidence. Fields that a kind does not use are zero.
struct health_event
{
    health_event_kind kind = health_event_kind::ejected;
    state::time_point at;
    state::endpoint upstream;
    /// Log-likelihood ratio at the decision and the threshold it met.
    double score = 0;
    double threshold = 0;
    /// Hosts with evidence against the upstream.
    std::uint32_t hosts = 0;
    /// Returns to service that failed recently; raises what a return needs.
    std::uint32_t flap_level = 0;
    /// Evidence counted for the decision.
    state::evidence_counts evidence;
};

using health_events = std::vector<health_event>;

/// Audit line of an event: key=value pairs without a newline.
std::string audit_line(const health_event& event, const std::string& service);

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::health_event_kind>
{
    static constexpr std::array<std::string_view, 11> value{
        "ejected",  "probing",  "trial",         "ramping",
        "returned", "avoided",  "kept_by_floor", "released_by_floor",
        "leaving",  "rejoined", "host_suspected"};
};

} // namespace oriolegrade::state

#endif
