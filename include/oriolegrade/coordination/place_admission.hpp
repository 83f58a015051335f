// Decides which requests of a service are refused, and when their callers
// should return.
//
// Load patterns:
//  - A burst above capacity: a request that cannot be answered before its
//    deadline is refused at once, on arrival or when it becomes known while the
//    request waits.
//  - Callers that are refused together: their Retry-After follows the expected
//    time of a free slot, and is spread so that they return one after another.

#ifndef ORIOLEGRADE_COORDINATION_PLACE_ADMISSION_HPP
#define ORIOLEGRADE_COORDINATION_PLACE_ADMISSION_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstddef>
#include <cstdint>

namespace oriolegrade::coordination {

/// What a service can do, and what it takes.
struct service_capacity
{
    /// Slots of upstreams in service, and of those that accept requests at all.
    std::uint64_t slots_in_service = 0;
    std::uint64_t slots = 0;
    /// Usual latency over all routes.
    state::duration usual{};
};

class place_admission
{
public:
    /// @param seed of the host, see spread_retry_after()
    explicit place_admission(std::uint64_t seed)
        : seed_(seed)
    {}

    /// Expected time until a request is placed.
    /// @param ahead requests that are placed before it
    static state::duration expected_wait(const service_capacity& capacity,
                                         std::size_t ahead);
    /// Time before which no request with so many ahead of it can be placed,
    /// even if all upstreams recover now and all requests are short.
    static state::duration shortest_wait(const service_capacity& capacity,
                                         std::size_t ahead);

    /// True when no answer is likely before the deadline.
    /// @param usual latency of the request's route
    static bool misses_deadline(state::time_point deadline,
                                state::duration wait, state::duration usual,
                                state::time_point now);

    state::place_refusal refuse(state::place_refusal_reason reason,
                                std::uint64_t number, state::duration wait,
                                state::duration usual) const;

private:
    std::uint64_t seed_;
};

} // namespace oriolegrade::coordination

#endif
