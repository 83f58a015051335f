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
    /// Number of hosts that the directory has named for join_delay; 0 when that
    /// is not known. No other host divides the limits among fewer.
    std::uint32_t settled_hosts(state::time_point now) const;

    /// Delegates the share of a shard. A process that has just started does so
    /// as well, but tells the owner, who decides whether to use it.
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
        /// This process has delegated it before.
        bool was_delegated = false;
    };

    /// Since when a share has gained tokens that this process has not delegated
    /// yet. Before it, an owner may have used what an earlier process
    /// delegated.
    state::time_point empty_at(state::time_point now) const;
    /// Part of each limit, whatever the age of the process.
    double part(state::time_point now, std::uint32_t least_hosts) const;

    std::array<shard_state, quota_shards> shards_;
    state::time_point started_;
    bool joined_;
    state::time_point owns_from_;
    state::time_point read_at_{};
    /// The read with which the number of hosts that counts last rose.
    state::time_point risen_at_{};
    std::size_t counted_ = 0;
    /// Reads of the last leave_delay, with decreasing numbers of hosts; the
    /// first counts.
    std::deque<std::pair<state::time_point, std::size_t>> hosts_;
};

} // namespace oriolegrade::coordination

#endif
