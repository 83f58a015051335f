// The upstreams of a service by what they can be used for now.
//
// Load pattern: hundreds or thousands of upstreams behind one dispatcher with
// part of a core, in a burst. A decision must not walk them: each change of an
// upstream moves it between ordered sets, and what changes with time alone is
// looked at when its time has come.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_INDEX_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_INDEX_HPP

#include <oriolegrade/coordination/capacity_floor.hpp>
#include <oriolegrade/coordination/upstream_entry.hpp>
#include <oriolegrade/coordination/upstream_tracker.hpp>
#include <oriolegrade/state/registered_upstream.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolegrade::coordination {

class upstream_index
{
public:
    /// Cost of an upstream apart from its data centre; 1 is the cost of a fully
    /// loaded one.
    static double load_cost(const upstream_tracker& tracker,
                            state::time_point now);

    /// Replaces the list of upstreams.
    /// @param seed of the order of upstreams of equal cost
    void set(const std::vector<state::registered_upstream>& list,
             std::uint64_t seed, state::time_point now);

    /// Looks at the upstreams whose time has come. To be called before the
    /// index is read.
    void advance(state::time_point now);

    upstream_entry* find(const std::string& id);
    const upstream_tracker* find(const std::string& id) const;

    /// Applies a change to the tracker of an upstream.
    template <class Change>
    void change(upstream_entry& entry, state::time_point now, Change change)
    {
        change(entry.tracker);
        refresh(entry, now);
    }

    /// Finds the best upstream of each data centre for a use.
    /// @param usable takes an upstream; the best is the first that it accepts
    /// @param take called with the data centre and its best upstream
    template <class Usable, class Take>
    void find_best(upstream_use use, Usable usable, Take take) const
    {
        for (const auto& [data_centre, members] :
             pools_[state::index_of(use)]) {
            const auto it = std::find_if(
                members.begin(), members.end(),
                [&](const use_key& key) { return usable(*key.entry); });
            if (it != members.end()) {
                take(data_centre, *it->entry);
            }
        }
    }
    /// Number of upstreams for a use.
    std::size_t size(upstream_use use) const
    {
        return sizes_[state::index_of(use)];
    }

    /// Number of upstreams that accept requests now: those of ready_upstreams()
    /// that did not say otherwise.
    std::size_t available() const;
    /// Upstreams that accept requests by the register.
    const std::vector<upstream_entry*>& ready_upstreams() const
    {
        return ready_;
    }
    std::size_t count(upstream_standing standing) const
    {
        return counts_[state::index_of(standing)].upstreams;
    }
    /// Slots of the upstreams of the standing.
    std::uint64_t slots(upstream_standing standing) const
    {
        return counts_[state::index_of(standing)].slots;
    }

    const capacity_floor& floor() const
    {
        return floor_;
    }
    capacity_floor& floor()
    {
        return floor_;
    }

    /// Upstreams whose standing may have changed since the last call.
    std::vector<upstream_entry*> take_changed();

private:
    struct standing_count
    {
        std::size_t upstreams = 0;
        std::uint64_t slots = 0;
    };
    using pool = std::set<use_key>;

    /// Brings the place of an upstream in the index up to date.
    void refresh(upstream_entry& entry, state::time_point now);
    void count(upstream_entry& entry, state::time_point now);
    void uncount(upstream_entry& entry);
    void put_in_pool(upstream_entry& entry, state::time_point now);
    void remove_from_pool(upstream_entry& entry);
    void schedule(upstream_entry& entry, state::time_point at);
    /// Takes an upstream that is about to be destroyed out of the index.
    void forget(upstream_entry& entry);

    std::map<std::string, upstream_entry> entries_;
    std::vector<upstream_entry*> ready_;
    /// By data centre. Only upstreams with a free slot; without one they are in
    /// no pool.
    std::array<std::map<std::string, pool>, state::enum_size<upstream_use>>
        pools_;
    std::array<std::size_t, state::enum_size<upstream_use>> sizes_{};
    std::array<standing_count, state::enum_size<upstream_standing>> counts_{};
    /// When upstreams have to be looked at again.
    std::set<std::pair<state::time_point, upstream_entry*>> timers_;
    capacity_floor floor_;
    std::vector<upstream_entry*> changed_;
};

} // namespace oriolegrade::coordination

#endif
