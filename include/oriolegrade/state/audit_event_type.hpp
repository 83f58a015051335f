// Audit events: changes by operators and automatic decisions of the fleet.

#ifndef ORIOLEGRADE_STATE_AUDIT_EVENT_TYPE_HPP
#define ORIOLEGRADE_STATE_AUDIT_EVENT_TYPE_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/identifier.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolegrade::state {

enum class audit_kind : std::uint8_t
{
    change_accepted,
    change_refused,
    /// The record failed validation and was not published.
    change_invalid,
    change_not_published,
    change_unresolved,
    access_denied,
    record_skipped,
    snapshot_written,
    snapshot_restored,
    upstream_ejected,
    upstream_trial,
    upstream_returned,
    upstream_leaving,
    /// Unhealthy upstreams stay in service to keep the capacity floor.
    floor_kept,
    host_dead,
    host_leaving,
    /// The buffer was full; `count` is the number of dropped events.
    events_lost,
};

template <>
struct enum_names<audit_kind>
{
    static constexpr std::array<std::string_view, 17> value{
        "change_accepted",      "change_refused",    "change_invalid",
        "change_not_published", "change_unresolved", "access_denied",
        "record_skipped",       "snapshot_written",  "snapshot_restored",
        "upstream_ejected",     "upstream_trial",    "upstream_returned",
        "upstream_leaving",     "floor_kept",        "host_dead",
        "host_leaving",         "events_lost",
    };
};

/// True for actions of an operator, which replace fleet events in a full
/// buffer.
constexpr bool is_operator_event(audit_kind kind)
{
    return kind <= audit_kind::access_denied;
}

struct audit_event
{
    audit_kind kind = audit_kind::events_lost;
    /// Wall-clock time of the host in milliseconds since the Unix epoch. For
    /// display only.
    std::int64_t unix_ms = 0;
    /// Operator; empty for automatic decisions.
    std::string actor;
    /// Affected object, for example `service/archive` or an address.
    std::string subject;
    identifier change_id;
    /// Reason or evidence as key=value pairs.
    std::string detail;
    /// Used by events_lost only.
    std::uint64_t count = 0;

    bool operator==(const audit_event&) const = default;
};

/// One record of the audit stream. Readers drop a record with a (host,
/// incarnation, sequence) that they have seen: its append was retried after
/// the acknowledgement was lost.
struct audit_batch
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<audit_event> events;

    bool operator==(const audit_batch&) const = default;
};

} // namespace oriolegrade::state

#endif
