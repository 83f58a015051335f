// Selects the snapshot from which a host boots while the log is unavailable,
// and decides when to append a new snapshot to the log.

#ifndef ORIOLEGRADE_COORDINATION_SNAPSHOT_CHOICE_HPP
#define ORIOLEGRADE_COORDINATION_SNAPSHOT_CHOICE_HPP

#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::coordination {

/// Snapshot that a peer offers.
struct snapshot_offer
{
    std::string host;
    std::string data_centre;
    std::uint64_t next_offset = 0;
    state::identifier digest;
};

/// Selected snapshot and the peers that hold it.
struct snapshot_choice
{
    std::uint64_t next_offset = 0;
    state::identifier digest;
    /// Indexes of the matching offers in ascending order; never empty.
    std::vector<std::size_t> holders;
    /// True if other offers at the same offset have different content: a peer
    /// runs another binary or holds wrong content. The caller logs an event.
    bool disputed = false;
};

/// Selects the highest offset. If contents at that offset differ, prefers the
/// one offered by most data centres, then by most hosts, then the lowest
/// digest, so that all hosts make the same choice. Empty without offers.
std::optional<snapshot_choice>
choose_snapshot(const std::vector<snapshot_offer>& offers);

/// Progress of a booting host's queries to its peers.
struct offer_poll
{
    /// Distinct data centres of all known peers.
    std::vector<std::string> data_centres;
    std::size_t asked = 0;
    /// Peers that answered or failed.
    std::size_t finished = 0;
};

/// Offers that a booting host waits for, so that a single stale peer does not
/// determine the choice.
inline constexpr std::size_t min_offers = 3;

/// True if there are at least min_offers offers, from at least two data centres
/// if peers span several; or any offer, once every peer has answered or failed.
bool has_enough_offers(const std::vector<snapshot_offer>& offers,
                       const offer_poll& poll);

/// Delay between hosts of successive rank that may append a snapshot. Duplicate
/// snapshots are harmless, but 810 hosts should not write one each.
inline constexpr state::duration snapshot_stagger = std::chrono::seconds(30);

/// True if this host should append a snapshot, because the newest one is older
/// than a third of the retention time. Hosts with a higher rank wait longer, up
/// to half of the retention time, so that they can see the snapshot of a host
/// with a lower rank first.
/// @param age time since the newest snapshot was first seen
/// @param retention time for which the log keeps records
/// @param rank position of this host in the rendezvous order, from 0
bool snapshot_due(state::duration age, state::duration retention,
                  std::size_t rank);

} // namespace oriolegrade::coordination

#endif
