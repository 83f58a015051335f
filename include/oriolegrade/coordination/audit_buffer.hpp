// Collects audit events into few appends, and keeps them within a bound while
// the log is unavailable.

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
    /// Events that are kept, the batch under way included.
    std::size_t max_events = 4'096;
    /// Bytes of texts that are kept. Bounds the memory of the agent.
    std::size_t max_bytes = std::size_t{2} << 20U;
    std::size_t max_batch_events = 256;
    /// Longest wait of an operator's event for its append.
    state::duration max_operator_delay = std::chrono::seconds(1);
    /// Pause after an append that failed; doubles up to the second one.
    state::duration initial_backoff = std::chrono::seconds(1);
    state::duration max_backoff = std::chrono::seconds(30);
};

/// Longest wait of the fleet's own events, so that all hosts together append
/// about 50 times a second: the platform takes several hundred in all.
/// @param hosts live hosts
state::duration audit_delay(std::size_t hosts);

/// Not thread-safe.
class audit_buffer
{
public:
    /// @param host name of this host
    /// @param incarnation of this process; makes its batches unique
    audit_buffer(std::string host, std::uint64_t incarnation,
                 audit_limits limits = {});

    /// Adds an event. When the buffer is full, an operator's event takes the
    /// place of the fleet's oldest one; any other is dropped. What is dropped
    /// is counted, and an events_lost event says so.
    void add(state::audit_event event, state::time_point now);

    void set_delay(state::duration delay)
    {
        delay_ = delay;
    }

    /// Batch to append now; null when none is due. Stays the same until
    /// finish() says that it is in the log.
    const state::audit_batch* due_batch(state::time_point now);

    /// Takes the result of the append. Anything but `appended` keeps the
    /// batch, which is appended again after a pause.
    void complete_append(const state::append_result& result,
                         state::time_point now);

    /// Events waiting, the batch under way included.
    std::size_t size() const;

    /// Events dropped since the start.
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
    /// Bytes of texts in waiting_ and batch_.
    std::size_t bytes_ = 0;
    /// Empty while no append is under way.
    state::audit_batch batch_;
    std::size_t batch_bytes_ = 0;
    /// Next append after a failure.
    state::time_point retry_at_;
    state::duration backoff_{};
    /// Dropped since the last events_lost event.
    std::uint64_t lost_ = 0;
    /// Wall clock of the last dropped event.
    std::int64_t lost_unix_ms_ = 0;
    std::uint64_t lost_total_ = 0;
};

} // namespace oriolegrade::coordination

#endif
