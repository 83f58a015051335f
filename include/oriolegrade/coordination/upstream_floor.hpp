// The floor of a dispatcher: which upstreams must get a request now, so that
// sound capacity is in use whenever many callers may not be served.
//
// Load patterns: upstreams that fail for seconds and rest long after they have
// recovered, and hosts that are lost all at once in between.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_FLOOR_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_FLOOR_HPP

#include <oriolegrade/coordination/upstream_track.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <vector>

namespace oriolegrade::coordination {

/// The floor is in force while more than this share of a service's requests is
/// presumably not served. The users' bound is a tenth; half of it leaves room
/// for what the estimate misses.
inline constexpr double floor_unserved_share = 0.05;

/// Upstreams that the floor demands a request for, the longest due first.
/// @param ready upstreams of the service that take work
/// @param in_force more than floor_unserved_share is presumably not served;
///        otherwise only what may rest in calm times is bounded
std::vector<upstream_track*>
upstreams_due(const std::vector<upstream_track*>& ready, bool in_force,
              state::time_point now);

} // namespace oriolegrade::coordination

#endif
