// Requests of one worker thread that wait until an upstream of their service
// has room.

#ifndef ORIOLEGRADE_TRANSPORT_WAIT_LINES_HPP
#define ORIOLEGRADE_TRANSPORT_WAIT_LINES_HPP

#include <oriolegrade/coordination/request_queue.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/service_table.hpp>

#include <unordered_map>

namespace oriolegrade::transport {

/// One line per service, so that a full service delays no other.
class wait_lines
{
public:
    /// What a waiting request is known by.
    struct request
    {
        const service_table_ptr& table;
        state::priority order = state::priority::normal;
        state::time_point deadline;
        /// Start of the wait. The same for each wait of one request, so that
        /// a request whose place was taken by another loses no time.
        state::time_point since;
    };

    /// Suspends the calling fiber until there may be room.
    /// @return false when the line refuses or drops the request
    bool wait(const request& it);

    /// True when no request of the service waits; others must not overtake.
    bool empty(const service_table& table) const
    {
        return !lines_.contains(table.controls);
    }

    /// Wakes the next request of a service, after an attempt ended here.
    void place_free(const service_table& table, state::time_point now);

    /// Drops what waited too long and wakes requests whose upstreams got
    /// room by other threads.
    void tick(state::time_point now);

    /// Waits until a request waits, or until `until`.
    /// @return true when one waits
    bool wait_filled(state::time_point until)
    {
        return filled_.wait_until(until, [this] { return !lines_.empty(); });
    }

private:
    struct waiter
    {
        fiber_signal signal;
        bool woken = false;
        bool dropped = false;
    };

    struct line
    {
        coordination::request_queue<waiter*> queue;
        service_table_ptr table;
    };

    void wake_next(line& it, state::time_point now);

    std::unordered_map<service_controls_ptr, line> lines_;
    fiber_signal filled_;
};

} // namespace oriolegrade::transport

#endif
