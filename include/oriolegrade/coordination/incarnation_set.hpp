// Incarnations whose requests this process may run: its own and those handed
// over by stopping processes.

#ifndef ORIOLEGRADE_COORDINATION_INCARNATION_SET_HPP
#define ORIOLEGRADE_COORDINATION_INCARNATION_SET_HPP

#include <oriolegrade/coordination/token_authority.hpp>
#include <oriolegrade/coordination/used_table.hpp>
#include <oriolegrade/state/rcu_cell.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace oriolegrade::coordination {

struct held_incarnation
{
    held_incarnation(const state::authority_state& identity,
                     state::time_point now, state::duration token_lifetime,
                     const used_table_limits& limits)
        : authority(identity, now, token_lifetime)
        , used(limits)
    {}

    held_incarnation(const state::handover_state& imported,
                     state::time_point now, state::duration token_lifetime,
                     const used_table_limits& limits)
        : authority(imported.authority, now, token_lifetime)
        , used(imported.used, limits)
    {}

    token_authority authority;
    used_table used;
};

using held_incarnation_ptr = std::shared_ptr<held_incarnation>;

enum class import_result : std::uint8_t
{
    imported,
    /// Already imported; the existing table is kept.
    repeated,
    /// The state was exported for another successor.
    not_for_us,
    /// This process has already handed over its own incarnations.
    stopping,
};

/// Thread-safe. Reads are wait-free; imports copy the map and are rare.
class incarnation_set
{
public:
    /// @param own generate_identity() in production
    incarnation_set(const state::authority_state& own, state::time_point now,
                    state::duration token_lifetime,
                    const used_table_limits& limits = {});

    const held_incarnation_ptr& own() const
    {
        return own_;
    }

    /// Incarnation with the given id, or null if it is not held.
    held_incarnation_ptr find(const state::identifier& incarnation) const;

    /// Ids of all held incarnations, starting with this process's own.
    std::vector<state::identifier> held_ids() const;

    /// Permanently stops all held incarnations and returns the state that
    /// `successor` needs to continue them. Empty if another successor was named
    /// before. Later imports are refused.
    std::vector<state::handover_state>
    export_all(const state::identifier& successor, state::time_point now);

    /// Ignores a repeated import, since requests may have run after the first
    /// one.
    import_result import(const state::handover_state& from,
                         state::time_point now);

private:
    using held_map = std::map<state::identifier, held_incarnation_ptr>;

    state::duration token_lifetime_;
    used_table_limits limits_;
    held_incarnation_ptr own_;
    std::mutex import_mutex_;
    bool stopping_ = false;
    state::rcu_cell<held_map> held_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::import_result>
{
    static constexpr std::array<std::string_view, 4> value{
        "imported", "repeated", "not_for_us", "stopping"};
};

} // namespace oriolegrade::state

#endif
