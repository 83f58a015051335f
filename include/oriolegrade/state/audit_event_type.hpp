// Audit trail: who changed what, and what the fleet decided by itself.

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
    /// The record broke a rule and was not published.
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
    /// Upstreams judged unfit stay in service to keep the floor.
    floor_kept,
    host_dead,
    host_leaving,
    /// The buffer was full; `count` says how many events are missing.
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

/// True for what an operator did, which is kept in preference.
constexpr bool is_operator_event(audit_kind kind)
{
    return kind <= audit_kind::access_denied;
}

struct audit_event
{
    audit_kind kind = audit_kind::events_lost;
    /// Wall clock of the host, in milliseconds since 1970, for readers only.
    std::int64_t unix_ms = 0;
    /// Operator, or empty for the fleet itself.
    std::string actor;
    /// What it is about, for example `service/archive` or an address.
    std::string subject;
    identifier change_id;
    /// Reason or evidence, in key=value pairs.
    std::string detail;
    /// Only for events_lost.
    std::uint64_t count = 0;

    bool operator==(const audit_event&) const = default;
};

/// One record of the audit stream. A repeated (host, incarnation, sequence)
/// is an append whose answer was lost; readers drop it.
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
