// Upstreams that are about to leave, from three sources of notice: the
// platform's list, the upstream's own drain signal, and gossip from peers.

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
    /// Not on the list at all.
    absent,
};

/// Notice about one upstream, as hosts gossip it.
struct leave_notice
{
    state::endpoint upstream;
    /// Age of the newest first-hand notice. An age, not a time: clocks of two
    /// hosts are not comparable.
    state::duration age{};

    bool operator==(const leave_notice&) const = default;
};

/// Longest time for which the platform's list is expected to lag.
inline constexpr state::duration max_list_lag = std::chrono::seconds(60);
/// Notices older than this are not gossiped; everyone has them.
inline constexpr state::duration gossip_lifetime = std::chrono::seconds(30);

/// Upstreams that a set may hold. Beyond it new notices are dropped; 9,500
/// servers are planned.
inline constexpr std::size_t max_leaving = 16384;

/// A host's view of leaving upstreams.
class leaving_set
{
public:
    /// The upstream itself announced that it drains.
    std::optional<health_event> drain_signal(const state::endpoint& upstream,
                                             state::time_point now);
    /// A peer passed a notice on. Echoes of known notices change nothing.
    std::optional<health_event> gossip(const leave_notice& notice,
                                       state::time_point now);
    /// The platform's list says this about the upstream. A list that still
    /// says "live" brings nothing back: only one that said otherwise since
    /// the notice, or that is older than its longest lag, does.
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
    /// Notices to pass on to peers.
    std::vector<leave_notice> notices_to_gossip(state::time_point now);

private:
    struct entry
    {
        /// Newest first-hand notice of any host.
        state::time_point noticed;
        /// The list agreed with the notice at least once.
        bool confirmed_by_list = false;
    };

    std::optional<health_event> notice(const state::endpoint& upstream,
                                       state::time_point noticed,
                                       state::time_point now);

    std::unordered_map<state::endpoint, entry, state::endpoint_hash> entries_;
    /// When an upstream last came back; notices from before are stale. Kept
    /// as long as notices are gossiped.
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
