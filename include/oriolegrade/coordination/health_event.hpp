// Typed events for health decisions. Each is logged as one audit line with the
// evidence on which the decision is based.

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
    /// The hold-down has expired; probes are sent.
    probing,
    /// Receives a few idempotent requests.
    trial,
    /// Passed its trial; its weight increases in steps.
    ramping,
    /// Back in service with full weight.
    returned,
    /// A single host stops sending requests to the upstream.
    avoided,
    avoidance_ended,
    /// Unfit for service, but needed to keep the floor.
    kept_by_floor,
    /// No longer needed for the floor.
    released_by_floor,
    leaving,
    /// A leaving upstream has returned.
    rejoined,
    /// Most of the service appears unhealthy to this host only.
    host_suspected,
};

/// A decision and its evidence. Fields that a kind does not use are zero.
struct health_event
{
    health_event_kind kind = health_event_kind::ejected;
    state::time_point at;
    state::endpoint upstream;
    /// Log-likelihood ratio at the decision and the threshold it reached.
    double score = 0;
    double threshold = 0;
    /// Hosts with evidence against the upstream.
    std::uint32_t hosts = 0;
    /// Recent failed returns to service. A higher level lengthens the hold-down
    /// and raises the number of probes and trial requests that must succeed.
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
    static constexpr std::array<std::string_view, 12> value{
        "ejected",           "probing", "trial",           "ramping",
        "returned",          "avoided", "avoidance_ended", "kept_by_floor",
        "released_by_floor", "leaving", "rejoined",        "host_suspected"};
};

} // namespace oriolegrade::state

#endif
