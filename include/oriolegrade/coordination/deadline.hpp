// Deadline of a request, shortened at each hop.

#ifndef ORIOLEGRADE_COORDINATION_DEADLINE_HPP
#define ORIOLEGRADE_COORDINATION_DEADLINE_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/result.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace oriolegrade::coordination {

enum class deadline_refusal : std::uint8_t
{
    expired,
    /// Less time is left than the fastest plausible answer takes.
    hopeless,
};

/// Time by which the caller needs its answer.
class deadline
{
public:
    explicit deadline(state::time_point at)
        : at_(at)
    {}

    /// The earlier of the route's and the caller's deadlines.
    /// @param caller time that the caller allows; zero or less is expired
    static deadline for_request(state::time_point now, state::duration route,
                                state::duration caller)
    {
        return deadline(now + std::min(route, caller));
    }

    state::time_point at() const
    {
        return at_;
    }

    state::duration remaining(state::time_point now) const
    {
        return std::max(at_ - now, state::duration::zero());
    }

    /// Deadline of the next hop: earlier by the transit time of its answer, so
    /// that the next hop stops before this host does.
    deadline for_next_hop(state::duration transit_time) const
    {
        return deadline(at_ - std::max(transit_time, state::duration::zero()));
    }

    /// Remaining time to send to the next hop, rounded down: rounding up would
    /// let the next hop work past the deadline.
    std::int64_t milliseconds(state::time_point now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   remaining(now))
            .count();
    }

    /// Checks that enough time is left to send the request.
    /// @param fastest shortest plausible time of an answer
    state::result<void, deadline_refusal> check(state::time_point now,
                                                state::duration fastest) const
    {
        if (now >= at_) {
            return deadline_refusal::expired;
        }
        if (at_ - now < fastest) {
            return deadline_refusal::hopeless;
        }
        return state::outcome::success();
    }

private:
    state::time_point at_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::deadline_refusal>
{
    static constexpr std::array<std::string_view, 2> value{"expired",
                                                           "hopeless"};
};

} // namespace oriolegrade::state

#endif
