// Whether requests may be served by the rules in force.
//
// Load pattern: a host has heard of a newer version and does not get it, as its
// link is slow or other hosts do not reach it. Without a limit here, each step
// on the way of a document must keep its part of the time for a change, and one
// that is late has requests served by rules that were replaced.

#ifndef ORIOLEGRADE_COORDINATION_RULES_AGE_HPP
#define ORIOLEGRADE_COORDINATION_RULES_AGE_HPP

#include <oriolegrade/state/time_type.hpp>

namespace oriolegrade::coordination {

/// A newer version was confirmed after `newest_at`, so rules are in time for as
/// long as the bound for changes after it. A host that knows of no newer one
/// goes on for any time: when the store is away, nothing changes.
/// @param newest_at the version in force was the newest at this time
/// @param limit time for which a version is used after that; max() for any
constexpr bool may_serve_by(bool newer_is_known, state::time_point newest_at,
                            state::duration limit, state::time_point now)
{
    return !newer_is_known || now - newest_at <= limit;
}

} // namespace oriolegrade::coordination

#endif
