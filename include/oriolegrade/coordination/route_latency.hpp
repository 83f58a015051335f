// Usual latency of a route, learned from its responses.

#ifndef ORIOLEGRADE_COORDINATION_ROUTE_LATENCY_HPP
#define ORIOLEGRADE_COORDINATION_ROUTE_LATENCY_HPP

#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

/// Usual latency of one route of a service: the mean of the latencies, weighted
/// by the latencies themselves. Requests with little work share routes with
/// others; in a plain mean they would make ordinary requests look stalled.
class route_latency
{
public:
    /// Counts a request that was sent; add() or drop() follows.
    void begin()
    {
        ++in_flight_;
    }
    /// Counts a request that ended without a latency sample.
    void drop();
    void add(state::duration took);

    /// @param expected lower bound until the samples are representative: the
    ///        first responses at a new dispatcher are the shortest, and
    ///        compared with these alone all other requests would look stalled
    state::duration usual(state::duration expected) const;

private:
    bool is_representative() const;

    /// Moving averages of the latency and of its square, in milliseconds.
    double mean_ = 0;
    double mean_square_ = 0;
    std::uint64_t answers_ = 0;
    std::uint64_t in_flight_ = 0;
};

} // namespace oriolegrade::coordination

#endif
