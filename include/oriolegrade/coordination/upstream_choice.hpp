// Chooses the upstream that gets a request.
//
// Load patterns:
//  - Many hosts with few requests each, upstreams with few slots: the upstream
//    with the most free slots, in the request's own data centre.
//  - Upstreams that fail for some seconds while they appear healthy, before
//    requests that must not repeat: requests whose failure a repeat can hide
//    try them; others do when all others are full, or few are in service.
//  - Many requests that fail or may fail unseen: the capacity floor goes before
//    all costs.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_CHOICE_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_CHOICE_HPP

#include <oriolegrade/coordination/upstream_index.hpp>
#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>

namespace oriolegrade::coordination {

/// Chooses among the upstreams that are not held, unless all are, or one is due
/// for a trial and no other has a free slot.
/// @param may_try the request may be the first to try a suspected upstream: a
///        repeat can hide its failure, and the budget of extra sends has room
/// @return null when none with a free slot can be used now
upstream_entry* choose_upstream(const upstream_index& index,
                                const state::place_request& request,
                                bool may_try, state::time_point now);

/// Chooses among held upstreams, for a request that can expect nothing better
/// before its deadline.
upstream_entry* choose_held_upstream(const upstream_index& index,
                                     const state::place_request& request,
                                     state::time_point now);

/// True when the request may be sent to the upstream, now or later.
bool may_be_sent(const upstream_tracker& tracker,
                 const state::place_request& request, state::time_point now);

/// True when some upstream with a free slot may get a request.
/// @param held upstreams that are held count
bool has_candidates(const upstream_index& index, bool held,
                    state::time_point now);

} // namespace oriolegrade::coordination

#endif
