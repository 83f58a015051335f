// Registered upstreams that are in force, derived from the changes of the
// registry in the store and from the periods in which it could not be read.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_REGISTRY_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_REGISTRY_HPP

#include <oriolegrade/state/registered_upstream.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

/// An entry lapses after three missed heartbeats of 1.5 s, so a read failure
/// shorter than this cannot be the cause of a removal.
inline constexpr state::duration entry_lapse_time = std::chrono::seconds(3);
/// Live upstreams register again within this time after the store recovers.
inline constexpr state::duration reregistration_grace =
    std::chrono::milliseconds(2100);
/// The order of a removed entry is kept for this long, so that a delayed record
/// does not restore it.
inline constexpr state::duration tombstone_retention = std::chrono::minutes(2);

class upstream_registry
{
public:
    /// Applies one change from the registry's history.
    void apply(const state::registry_change& change, state::time_point now);

    /// Applies the complete registry; entries that it does not contain are
    /// removed.
    void replace(const std::vector<state::registry_change>& all,
                 state::time_point now);

    /// Records that the registry could not be read.
    void read_failed(state::time_point now);
    /// Records that the registry was read.
    void read_succeeded(state::time_point now);

    /// Removes entries that have not registered again within the grace period.
    void advance(state::time_point now);

    /// Entries of one service, in the order of their ids.
    std::vector<state::registered_upstream>
    upstreams_of(const std::string& service) const;

    /// All entries in force, as the changes that write them.
    std::vector<state::registry_change> entries() const;

    /// True while entries are in force that the registry no longer contains. If
    /// only this host was disconnected from the store, another host has newer
    /// data.
    bool has_lapsed_entries() const;

    /// Entry in force; null when there is none.
    const state::registered_upstream* find(const std::string& id) const;

    /// Increases whenever the result of upstreams_of() may have changed other
    /// than by a heartbeat.
    std::uint64_t revision() const
    {
        return revision_;
    }
    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        state::registered_upstream upstream;
        /// Time until which an entry that was removed from the registry is
        /// kept; max() for an entry that is in the registry.
        state::time_point kept_until = state::time_point::max();
    };
    struct tombstone
    {
        std::pair<std::uint64_t, std::uint64_t> order;
        state::time_point at;
    };

    void write(const state::registered_upstream& it);
    void remove(const std::string& id, state::time_point now);
    bool in_grace(state::time_point now) const;

    std::map<std::string, entry> entries_;
    std::unordered_map<std::string, tombstone> tombstones_;
    /// First failed read since the last successful one; max() when none failed.
    state::time_point reads_failing_since_ = state::time_point::max();
    /// Recovery of the store from a failure of at least entry_lapse_time; min()
    /// when there was none.
    state::time_point store_recovered_ = state::time_point::min();
    std::uint64_t revision_ = 0;
};

} // namespace oriolegrade::coordination

#endif
