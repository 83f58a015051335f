// Usual latencies of a service's routes, as its dispatcher learns them from the
// ends of sends.
//
// Load pattern: a dispatcher that has just taken over sees the shortest answers
// first, and routes whose requests have little work beside routes with much
// (route_latency).

#ifndef ORIOLEGRADE_COORDINATION_LEARNED_LATENCIES_HPP
#define ORIOLEGRADE_COORDINATION_LEARNED_LATENCIES_HPP

#include <oriolegrade/coordination/route_latency.hpp>
#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <string>
#include <unordered_map>

namespace oriolegrade::coordination {

class learned_latencies
{
public:
    /// Over all routes.
    state::duration usual() const;
    /// Of one route; that of all routes until it has answers of its own.
    state::duration usual(const std::string& route) const;

    /// Counts a send; ended() or dropped() follows.
    void began(const std::string& route);
    void ended(const std::string& route, const state::send_report& report);
    /// The send has no latency to learn from.
    void dropped(const std::string& route);

    /// Age at which a send on trial has outlasted the usual server error.
    state::duration trial_confirm_time() const;

private:
    /// Null when max_routes are recorded already.
    route_latency* record_of(const std::string& route);

    std::unordered_map<std::string, route_latency> routes_;
    route_latency all_routes_;
    /// Time until an upstream answers with a server error.
    route_latency faults_;
};

} // namespace oriolegrade::coordination

#endif
