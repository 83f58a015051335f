// How long a route's requests usually take, learned from its answers.

#ifndef ORIOLEGRADE_COORDINATION_ROUTE_LATENCY_HPP
#define ORIOLEGRADE_COORDINATION_ROUTE_LATENCY_HPP

#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

/// Usual latency of one route at the service: the mean in which each answer
/// counts by its length. Requests that are answered from little work share
/// routes with others, and in a plain mean they make usual work look stalled.
class route_latency
{
public:
    /// A request was sent; add() or drop() follows.
    void begin()
    {
        ++in_flight_;
    }
    /// A request ended without a latency to learn from.
    void drop();
    void add(state::duration took);

    /// @param expected counts until the answers are representative: the first
    ///        ones of a new dispatcher are the shortest, and against these
    ///        alone all other requests look stalled
    state::duration usual(state::duration expected) const;

private:
    bool is_representative() const;

    /// Averages of the latency and of its square, in milliseconds.
    double mean_ = 0;
    double mean_square_ = 0;
    std::uint64_t answers_ = 0;
    std::uint64_t in_flight_ = 0;
};

} // namespace oriolegrade::coordination

#endif
