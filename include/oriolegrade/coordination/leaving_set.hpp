// Tracks upstreams that are about to leave. There are three sources of
// notices: the platform's list, the upstream's own drain signal, and gossip
// from peers.

#ifndef ORIOLEGRADE_COORDINATION_LEAVING_SET_HPP
#define ORIOLEGRADE_COORDINATION_LEAVING_SET_HPP

#include <oriolegrade/coordination/health_event.hpp>
#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

enum class listed_state : std::uint8_t
{
    live,
    leaving,
    /// Not in the list.
    absent,
};

/// Notice that an upstream is leaving, as exchanged by gossip.
struct leave_notice
{
    state::endpoint upstream;
    /// Age of the newest first-hand notice. An age instead of a time, since
    /// the clocks of two hosts are not comparable.
    state::duration age{};

    bool operator==(const leave_notice&) const = default;
};

/// Longest expected lag of the platform's list.
inline constexpr state::duration max_list_lag = std::chrono::seconds(60);
/// Notices older than this are not gossiped, since all hosts have them.
inline constexpr state::duration gossip_lifetime = std::chrono::seconds(30);

/// Maximum upstreams in a set; further notices are dropped. The target size is
/// 9,500 servers.
inline constexpr std::size_t max_leaving = 16384;

/// Leaving upstreams, as seen by one host.
class leaving_set
{
public:
    /// Handles the upstream's own announcement that it is draining.
    std::optional<health_event> drain_signal(const state::endpoint& upstream,
                                             state::time_point now);
    /// Handles a notice from a peer. Repeated notices have no effect.
    std::optional<health_event> gossip(const leave_notice& notice,
                                       state::time_point now);
    /// Handles the upstream's state in the platform's list. Since the list may
    /// be stale, "live" restores a leaving upstream only if the list has shown
    /// another state since the notice, or if the notice is at least
    /// max_list_lag old.
    std::optional<health_event>
    update_listed_state(const state::endpoint& upstream, listed_state listed,
                        state::time_point now);

    bool contains(const state::endpoint& upstream) const
    {
        return entries_.count(upstream) != 0;
    }
    std::size_t size() const
    {
        return entries_.size();
    }
    /// Notices to send to peers.
    std::vector<leave_notice> notices_to_gossip(state::time_point now);

private:
    struct entry
    {
        /// Time of the newest first-hand notice by any host.
        state::time_point noticed;
        /// The list has shown the upstream as leaving or absent.
        bool confirmed_by_list = false;
    };

    std::optional<health_event> notice(const state::endpoint& upstream,
                                       state::time_point noticed,
                                       state::time_point now);

    std::unordered_map<state::endpoint, entry, state::endpoint_hash> entries_;
    /// When an upstream last rejoined; earlier notices are stale. Kept for
    /// gossip_lifetime.
    std::unordered_map<state::endpoint, state::time_point, state::endpoint_hash>
        rejoined_;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::listed_state>
{
    static constexpr std::array<std::string_view, 3> value{"live", "leaving",
                                                           "absent"};
};

} // namespace oriolegrade::state

#endif
