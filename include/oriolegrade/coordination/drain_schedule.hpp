// Schedule of a planned stop: until when a host takes connections and requests,
// until when requests may wait for a place, and when the rest is answered.
//
// Load pattern: a host stops while its upstreams are full. Requests that it has
// read wait for a slot, and the time limit of some is longer than the time left
// until the process is killed. Each of them gets an answer before that.

#ifndef ORIOLEGRADE_COORDINATION_DRAIN_SCHEDULE_HPP
#define ORIOLEGRADE_COORDINATION_DRAIN_SCHEDULE_HPP

#include <oriolegrade/state/time_type.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

/// All moments are parts of the time between the stop signal and the kill.
/// They follow each other in the order of the functions below.
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

    bool accepts(state::time_point now) const
    {
        return now < accept_end();
    }
    /// Deadline of a request that is taken during the stop.
    state::time_point limit(state::time_point deadline) const
    {
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
