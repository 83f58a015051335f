// Search for the host that may run the requests of an incarnation.
//
// Load pattern: a host starts or stops while callers use its tokens at other
// hosts. For some 0.1 s after the start the others have not heard of its
// incarnation, and after the stop it names a successor that has not imported
// the incarnation yet. Both are over within moments, so a request waits for
// them instead of ending with an unknown outcome.

#ifndef ORIOLEGRADE_COORDINATION_OWNER_SEARCH_HPP
#define ORIOLEGRADE_COORDINATION_OWNER_SEARCH_HPP

#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <chrono>

namespace oriolegrade::coordination {

/// Time for which a request waits for its owner to be known. News of a host
/// that has started travel for up to 0.13 s.
inline constexpr std::chrono::milliseconds owner_wait{500};
/// Interval at which it looks again.
inline constexpr std::chrono::milliseconds owner_check_interval{20};

class owner_search
{
public:
    /// @param deadline of the request, less the time that its run needs
    owner_search(const state::identifier& incarnation, state::time_point now,
                 state::time_point deadline)
        : holder_(incarnation)
        , until_(std::min(now + owner_wait, deadline))
    {}

    /// Incarnation of the host to send the request to.
    const state::identifier& holder() const
    {
        return holder_;
    }

    /// The host did not run the request because it does not hold the
    /// incarnation, or no longer.
    /// @param successor where the incarnation went; none when that is not known
    void moved(state::reply_reason reason, const state::identifier& successor)
    {
        reason_ = reason;
        if (successor) {
            holder_ = successor;
        }
    }

    /// False when the request is answered with reason() now.
    bool may_wait(state::time_point now) const
    {
        return now + owner_check_interval <= until_;
    }

    state::reply_reason reason() const
    {
        return reason_;
    }

private:
    state::identifier holder_;
    state::time_point until_;
    state::reply_reason reason_ = state::reply_reason::incarnation_gone;
};

} // namespace oriolegrade::coordination

#endif
