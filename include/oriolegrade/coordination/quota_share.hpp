// A host's own share of every workspace's limit, 1/N with N hosts in the
// directory, and its delegation to the owners of shards.
//
// A share is used only by the one owner to which it is delegated. A host that
// reaches no owner is its own: it delegates to itself. No state is kept for a
// workspace: what a share has gained follows from the time since its last
// delegation ended. So no share counts twice, whichever hosts are taken for
// members or owners by whom.

#ifndef ORIOLEGRADE_COORDINATION_QUOTA_SHARE_HPP
#define ORIOLEGRADE_COORDINATION_QUOTA_SHARE_HPP

#include <oriolegrade/coordination/quota_times.hpp>
#include <oriolegrade/state/quota_type.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

namespace oriolegrade::coordination {

/// Not thread-safe.
class quota_share
{
public:
    /// @param joined the directory did not name this host when it started;
    ///        otherwise an earlier process may have delegated the share
    quota_share(state::time_point started, bool joined);

    /// Takes a read of the directory.
    /// @param hosts number of hosts that it names, this one included
    /// @param read_at time at which the read was made, not that of its arrival
    void set_hosts(std::size_t hosts, state::time_point read_at);

    /// Part of each limit that this host owns at present; 0 while it owns none.
    double fraction(state::time_point now) const;

    /// Delegates the share of a shard.
    /// @param owner host that asks, with its incarnation
    /// @param preferred host that this one takes for the owner
    state::quota_delegation
    delegate(const state::quota_delegation_request& request,
             const std::string& owner, const std::string& preferred,
             state::time_point now);

private:
    struct shard_state
    {
        std::string owner;
        /// Number of the owner's last request that was granted.
        std::uint64_t number = 0;
        /// The share is the owner's until then, and has gained tokens since.
        state::time_point delegated_until{};
    };

    std::array<shard_state, quota_shards> shards_;
    state::time_point owns_from_;
    state::time_point read_at_{};
    /// Reads of the last leave_delay, with decreasing numbers of hosts; the
    /// first counts.
    std::deque<std::pair<state::time_point, std::size_t>> hosts_;
};

} // namespace oriolegrade::coordination

#endif
