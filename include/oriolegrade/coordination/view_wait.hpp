// How long a request waits at a dispatcher whose view of the register is old.
//
// Load patterns:
//  - The store is silent. A read does not end, and all dispatchers share the
//    reason: if each kept its requests waiting, hosts would take one after the
//    other for lost.
//  - All hosts start in the same second. No dispatcher has a view, and a read
//    of a thousand upstreams takes some 0.2 s. When requests were sent on after
//    30 ms, their hosts asked up to six dispatchers and then read the register
//    themselves: 83 of 163 hosts did.

#ifndef ORIOLEGRADE_COORDINATION_VIEW_WAIT_HPP
#define ORIOLEGRADE_COORDINATION_VIEW_WAIT_HPP

#include <oriolegrade/state/time_type.hpp>

#include <optional>

namespace oriolegrade::coordination {

/// Time for a read of the register that a request waits for when there is an
/// older view. Below the time that a host gives a dispatcher for its first
/// answer (80 ms).
inline constexpr state::duration refresh_wait = std::chrono::milliseconds(30);
/// The same for the first read of a dispatcher that the store has just
/// answered: hosts that start together have no view, but the read will end.
inline constexpr state::duration first_read_wait =
    std::chrono::milliseconds(500);

class view_wait
{
public:
    /// @param has_view there is a view, though an old one
    /// @param store_answers the store has just answered another call
    /// @return time to wait for the read; empty when the request must go
    ///         elsewhere at once
    std::optional<state::duration> limit(bool has_view,
                                         bool store_answers) const
    {
        if (read_overdue_) {
            return std::nullopt;
        }
        return !has_view && store_answers ? first_read_wait : refresh_wait;
    }

    /// A request waited to its limit, and the read goes on.
    void expired()
    {
        read_overdue_ = true;
    }
    /// A read has ended.
    void read_ended()
    {
        read_overdue_ = false;
    }

private:
    bool read_overdue_ = false;
};

} // namespace oriolegrade::coordination

#endif
