// Choice of the snapshot that a host boots from when the log gives no answer,
// and the rule that keeps a recent snapshot in the log.

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

/// What one peer offers.
struct snapshot_offer
{
    std::string host;
    std::string data_centre;
    std::uint64_t next_offset = 0;
    state::identifier digest;
};

/// A snapshot and the peers that have it.
struct snapshot_choice
{
    std::uint64_t next_offset = 0;
    state::identifier digest;
    /// Indexes of the offers, in their order; at least one.
    std::vector<std::size_t> holders;
    /// Other offers of the same offset differ in content: a peer runs another
    /// binary, or its content is wrong. Worth an event.
    bool disputed = false;
};

/// Highest offset. Among different content of that offset: most data
/// centres, then most hosts, then the lowest digest, so that hosts agree.
/// Empty without offers.
std::optional<snapshot_choice>
choose_snapshot(const std::vector<snapshot_offer>& offers);

/// Which peers a booting host has asked.
struct offer_poll
{
    /// Data centres of all peers known, without repetition.
    std::vector<std::string> data_centres;
    std::size_t asked = 0;
    /// Peers that answered or failed.
    std::size_t finished = 0;
};

/// Number of offers that a boot waits for, so that one stale peer does not
/// decide alone.
inline constexpr std::size_t min_offers = 3;

/// True when the offers suffice to choose: min_offers of them, from more
/// than one data centre where there is more than one; or, once every peer has
/// answered or failed, any.
bool has_enough_offers(const std::vector<snapshot_offer>& offers,
                       const offer_poll& poll);

/// Pause between the ranks of hosts that would append a snapshot. Several
/// snapshots do no harm, but 810 hosts should not write one each.
inline constexpr state::duration snapshot_stagger = std::chrono::seconds(30);

/// True when this host should append a snapshot: the newest is older than a
/// third of the retention. Hosts of a higher rank wait longer, up to half of
/// the retention, and see the snapshot of an earlier one meanwhile.
/// @param age time since the newest snapshot was seen first
/// @param retention time for which the log keeps records
/// @param rank place of this host in the rendezvous order, from 0
bool snapshot_due(state::duration age, state::duration retention,
                  std::size_t rank);

} // namespace oriolegrade::coordination

#endif
