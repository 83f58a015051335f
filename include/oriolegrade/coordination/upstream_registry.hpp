// Which registered upstreams are in force, from the changes of the register
// and from the times at which the register could not be read.

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

/// An entry needs three missed heartbeats of 1.5 s to lapse, so a shorter
/// failure of reads explains no removal.
inline constexpr state::duration entry_lapse_time = std::chrono::seconds(3);
/// Live upstreams are back in the register this long after the store is.
inline constexpr state::duration reregistration_grace =
    std::chrono::milliseconds(2100);
/// Time for which the age of removed entries is remembered, so that a delayed
/// record does not bring one back.
inline constexpr state::duration tombstone_retention = std::chrono::minutes(2);

class upstream_registry
{
public:
    /// Applies one record of the register's history.
    void apply(const state::registry_change& change, state::time_point now);

    /// Takes the whole register: what is missing was removed.
    void replace(const std::vector<state::registry_change>& all,
                 state::time_point now);

    /// The register could not be read.
    void read_failed(state::time_point now);
    /// The register answered a read.
    void read_succeeded(state::time_point now);

    /// Ends the grace of entries that have not come back.
    void advance(state::time_point now);

    /// Entries of one service, in the order of their ids.
    std::vector<state::registered_upstream>
    upstreams_of(const std::string& service) const;

    /// True while entries are in force that have left the register. Where only
    /// this host was cut off, another host knows better.
    bool has_lapsed_entries() const;

    /// Entry in force; null when there is none.
    const state::registered_upstream* find(const std::string& id) const;

    /// Changes whenever the answer of upstreams_of() may have changed other
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
        /// The entry has left the register and is kept until this time; max()
        /// for an entry that is in the register.
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
    /// First failed read since the last one that succeeded; max() for none.
    state::time_point reads_failing_since_ = state::time_point::max();
    /// Return of the store after a failure longer than entry_lapse_time.
    state::time_point store_recovered_ = state::time_point::min();
    std::uint64_t revision_ = 0;
};

} // namespace oriolegrade::coordination

#endif
