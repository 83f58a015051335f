// Schedule of a planned stop: until when a host takes connections and requests,
// until when requests may wait for a place, and when the rest is answered.
//
// Load pattern: a host stops while its upstreams are full. Requests that it has
// read wait for a slot, and the time limit of some is longer than the time left
// until the process is killed. Each of them gets an answer before that. One
// that came early in the stop may be broken off for it; a later one is taken
// only when its whole time limit fits.

#ifndef ORIOLEGRADE_COORDINATION_DRAIN_SCHEDULE_HPP
#define ORIOLEGRADE_COORDINATION_DRAIN_SCHEDULE_HPP

#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace oriolegrade::coordination {

/// Callers are promised that a request which they send later than this after
/// the stop signal is not broken off while an upstream works on it.
inline constexpr std::chrono::seconds cut_allowance{3};

/// All moments but cut_end() are parts of the time between the stop signal and
/// the kill. They follow each other in the order of the functions below.
class drain_schedule
{
public:
    drain_schedule(state::time_point began, state::duration grace)
        : began_(began)
        , grace_(grace)
    {}

    /// No new connections are taken and idle ones are closed from here on: the
    /// load balancer has missed two checks.
    state::time_point listen_end() const
    {
        return at(0.45);
    }
    /// Requests are refused from here on. One that is taken before has half of
    /// the grace, several usual latencies.
    state::time_point accept_end() const
    {
        return at(0.5);
    }
    /// Requests that still wait for a place are refused: they did not run, and
    /// their callers have time left to try another host.
    state::time_point wait_end() const
    {
        return at(0.75);
    }
    /// Requests that still run are answered as timed out.
    state::time_point run_end() const
    {
        return at(0.93);
    }
    /// The process ends at the latest; until then the last answers are written.
    state::time_point process_end() const
    {
        return at(0.97);
    }

    /// Only requests that arrive up to here may be broken off at run_end(). At
    /// most accept_end(); before or after listen_end().
    state::time_point cut_end() const
    {
        return std::min(began_ + cut_allowance, accept_end());
    }

    bool accepts(state::time_point arrival) const
    {
        return arrival < accept_end();
    }
    /// Deadline of a request that accepts() lets in; empty when the request is
    /// refused because it might be broken off.
    /// @param arrival may lie before the stop
    /// @param deadline by the time limits of the caller and the route
    std::optional<state::time_point> limit(state::time_point arrival,
                                           state::time_point deadline) const
    {
        if (arrival > cut_end() && deadline > run_end()) {
            return std::nullopt;
        }
        return std::min(deadline, run_end());
    }

private:
    state::time_point at(double part) const
    {
        return began_ +
               std::chrono::duration_cast<state::duration>(grace_ * part);
    }

    state::time_point began_;
    state::duration grace_;
};

} // namespace oriolegrade::coordination

#endif
