// Table of the members known to a host, with the merge rules for updates.

#ifndef ORIOLEGRADE_COORDINATION_MEMBER_TABLE_HPP
#define ORIOLEGRADE_COORDINATION_MEMBER_TABLE_HPP

#include <oriolegrade/state/gossip_message_type.hpp>
#include <oriolegrade/state/log_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

/// A host known from gossip or from the host list.
struct member
{
    state::member_info info;
    /// False while the member is known only from the host list.
    bool has_gossip = false;
    /// State in the host list; empty if it is not listed.
    std::optional<state::host_state> listed;
    /// When the state in `info` was last set.
    state::time_point state_since;
    /// When `info.next_offset` last increased.
    state::time_point progress_since;
    /// Remaining messages that carry the update about this member.
    unsigned sends_left = 0;

    /// True if other hosts may use the member.
    bool is_live() const
    {
        return has_gossip && info.state != state::member_state::dead &&
               !is_leaving();
    }
    /// Announced by the member itself or by the host list, whichever is first.
    bool is_leaving() const
    {
        return info.leaving || listed == state::host_state::leaving;
    }
};

/// Members by name, this host not included. Not thread-safe.
class member_table
{
public:
    /// Five times the largest planned fleet; further members are ignored.
    static constexpr std::size_t max_members = 4'096;

    /// Applies an update if it is newer than the known state. Returns true if
    /// anything but the applied offset changed.
    bool merge(const state::member_info& update, state::time_point now);

    /// Applies a log offset in short form. Returns false if this host lacks
    /// the update that its hash refers to.
    bool merge(const state::member_progress& progress, state::time_point now);

    /// Applies the platform's list. Hosts that only the list names become
    /// members without gossip; for others, gossip takes precedence.
    /// @param self name of this host
    void merge(const state::host_list& list, std::string_view self,
               state::time_point now);

    /// Sets the state of a member as observed by this host.
    void set_state(member& it, state::member_state state,
                   state::time_point now);

    /// Removes unlisted members that have been dead since before `limit`.
    void remove_dead(state::time_point limit);

    member* find(std::string_view name);

    /// Member whose state has this hash. Null if there is none or the hash is
    /// ambiguous.
    const member* find_by_hash(std::uint32_t hash) const;

    /// All members, sorted by name.
    std::map<std::string, member, std::less<>>& all()
    {
        return members_;
    }
    const std::map<std::string, member, std::less<>>& all() const
    {
        return members_;
    }

    /// Number of members with gossip that are not dead.
    std::size_t active_count() const
    {
        return active_count_;
    }

private:
    member* find_or_add(const std::string& name);
    void replace(member& it, const state::member_info& update,
                 state::time_point now);
    void add_to_index(member& it);
    void remove_from_index(const member& it);

    std::map<std::string, member, std::less<>> members_;
    /// Members by member_hash(); null where two collide.
    std::unordered_map<std::uint32_t, member*> by_hash_;
    std::size_t active_count_ = 0;
};

/// Hash of a member's state without its applied offset.
std::uint32_t member_hash(const state::member_info& info);

} // namespace oriolegrade::coordination

#endif
