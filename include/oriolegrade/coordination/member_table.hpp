// What a host knows about the members, and the rules by which claims merge.

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

/// A known host.
struct member
{
    state::member_info info;
    /// Some gossip about it arrived; before that only the host list names it.
    bool has_gossip = false;
    /// State in the host list; empty when it is not listed.
    std::optional<state::host_state> listed;
    /// When the state in `info` was taken over.
    state::time_point state_since;
    /// When `info.next_offset` last grew.
    state::time_point progress_since;
    /// Messages that still carry the claim about this member.
    unsigned sends_left = 0;

    /// In service for other hosts.
    bool is_live() const
    {
        return has_gossip && info.state != state::member_state::dead &&
               !is_leaving();
    }
    /// By its own word or by the host list, whichever comes first.
    bool is_leaving() const
    {
        return info.leaving || listed == state::host_state::leaving;
    }
};

/// Members by name, this host not included. Not thread-safe.
class member_table
{
public:
    /// Five times the largest fleet planned; more are ignored.
    static constexpr std::size_t max_members = 4'096;

    /// Takes over a claim if it is newer than what is known. True when
    /// anything but the applied offset changed.
    bool merge(const state::member_info& update, state::time_point now);

    /// Takes over an applied offset in short form. False when this host
    /// lacks the claim that it belongs to.
    bool merge(const state::member_progress& progress, state::time_point now);

    /// Takes over the platform's list. Hosts that only the list names become
    /// members that nobody has heard of; others keep what gossip says.
    /// @param self name of this host
    void merge(const state::host_list& list, std::string_view self,
               state::time_point now);

    /// Changes the state of a member by this host's own observation.
    void set_state(member& it, state::member_state state,
                   state::time_point now);

    /// Forgets members that are dead since before `limit` and unlisted.
    void remove_dead(state::time_point limit);

    member* find(std::string_view name);

    /// Member about which this host has the claim; null for none.
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

    /// Members that are not dead and were heard of.
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
    /// Members by the hash of their claim; null where two collide.
    std::unordered_map<std::uint32_t, member*> by_hash_;
    std::size_t active_count_ = 0;
};

/// Hash of a claim without its applied offset.
std::uint32_t member_hash(const state::member_info& info);

} // namespace oriolegrade::coordination

#endif
