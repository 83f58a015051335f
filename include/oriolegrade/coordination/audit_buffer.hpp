// Batches audit events into few appends and bounds their memory while the log
// is unavailable.

#ifndef ORIOLEGRADE_COORDINATION_AUDIT_BUFFER_HPP
#define ORIOLEGRADE_COORDINATION_AUDIT_BUFFER_HPP

#include <oriolegrade/state/audit_event_type.hpp>
#include <oriolegrade/state/log_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::coordination {

inline constexpr std::string_view audit_stream = "audit";

struct audit_limits
{
    /// Buffered events, including those of the batch being appended.
    std::size_t max_events = 4'096;
    /// Total size of the texts of buffered events; bounds the agent's memory.
    std::size_t max_bytes = std::size_t{2} << 20U;
    std::size_t max_batch_events = 256;
    /// Longest delay before an operator event is appended.
    state::duration max_operator_delay = std::chrono::seconds(1);
    /// Delay after a failed append; doubles up to max_backoff.
    state::duration initial_backoff = std::chrono::seconds(1);
    state::duration max_backoff = std::chrono::seconds(30);
};

/// Longest delay before a fleet event is appended. It limits all hosts together
/// to about 50 appends per second; the platform accepts several hundred in all.
/// @param hosts live hosts
state::duration audit_delay(std::size_t hosts);

/// Bounded queue of audit events. Not thread-safe.
class audit_buffer
{
public:
    /// @param host name of this host
    /// @param incarnation of this process; distinguishes its batches from
    /// those of earlier processes on the host
    audit_buffer(std::string host, std::uint64_t incarnation,
                 audit_limits limits = {});

    /// Adds an event. If the buffer is full, an operator event replaces the
    /// oldest fleet event; any other event is dropped. Dropped events are
    /// counted and reported by an events_lost event.
    void add(state::audit_event event, state::time_point now);

    void set_delay(state::duration delay)
    {
        delay_ = delay;
    }

    /// Batch to append now, or null if none is due. Returns the same batch
    /// until complete_append() reports that it was appended.
    const state::audit_batch* due_batch(state::time_point now);

    /// Handles the result of an append. For any result other than `appended`,
    /// the batch is kept and retried after a back-off.
    void complete_append(const state::append_result& result,
                         state::time_point now);

    /// Buffered events, including the batch being appended.
    std::size_t size() const;

    /// Total number of dropped events.
    std::uint64_t lost() const
    {
        return lost_total_;
    }

private:
    struct waiting_event
    {
        state::audit_event event;
        state::time_point added;
    };

    bool is_full(std::size_t added_bytes) const;
    bool drop_fleet_event();
    void count_lost(const state::audit_event& event);
    bool has_due_event(state::time_point now) const;
    void build_batch();

    audit_limits limits_;
    state::duration delay_ = std::chrono::seconds(1);
    std::deque<waiting_event> waiting_;
    /// Total size of the texts in waiting_ and batch_.
    std::size_t bytes_ = 0;
    /// Has no events while no append is in progress.
    state::audit_batch batch_;
    std::size_t batch_bytes_ = 0;
    /// Earliest time of the next append after a failure.
    state::time_point retry_at_;
    state::duration backoff_{};
    /// Events dropped since the last events_lost event.
    std::uint64_t lost_ = 0;
    /// Wall-clock time of the last dropped event.
    std::int64_t lost_unix_ms_ = 0;
    std::uint64_t lost_total_ = 0;
};

} // namespace oriolegrade::coordination

#endif
