// What upstreams have said of themselves to this host: that they leave, or want
// no requests for a time.
//
// Load pattern: a release. A fifth of the upstreams leave while the register
// lags by seconds, and a dispatcher that has not heard of it, or has just taken
// over, places requests at them. The host that has heard it sends none, whoever
// placed the request, and tells the dispatcher.

#ifndef ORIOLEGRADE_COORDINATION_UPSTREAM_WISHES_HPP
#define ORIOLEGRADE_COORDINATION_UPSTREAM_WISHES_HPP

#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/rcu_cell.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace oriolegrade::coordination {

/// An incarnation that leaves is gone within minutes, and its entry with it. A
/// false word of one that stays is forgotten after this time.
inline constexpr state::duration leaving_memory = std::chrono::hours(1);
/// Upstreams that are remembered; further ones are not. The target size is
/// 9,500 upstreams.
inline constexpr std::size_t max_wishes = 16384;

/// Shared by all threads. Readers take no lock.
class upstream_wishes
{
public:
    upstream_wishes();

    /// Takes what an incarnation of an upstream said.
    /// @return false when it was known
    bool heard(const std::string& upstream, std::uint64_t born,
               const state::upstream_wish& wish, state::time_point now);

    /// Takes that an incarnation asked for a rest that cannot be used.
    /// @return false when it was known
    bool heard_unusable(const std::string& upstream, std::uint64_t born);

    /// What still holds of an incarnation's words: that it leaves, and the rest
    /// of the time for which it wants no requests.
    state::upstream_wish in_force(const std::string& upstream,
                                  std::uint64_t born,
                                  state::time_point now) const;

private:
    struct row
    {
        /// Until then the upstream wants no requests; max() when it leaves.
        state::time_point quiet_until{};
        /// The row is forgotten then.
        state::time_point expires{};
    };
    using key = std::pair<std::string, std::uint64_t>;
    using table = std::map<key, row>;

    /// Serializes writers.
    std::mutex writing_;
    state::rcu_cell<table> rows_;
    /// Incarnations of heard_unusable(); at most max_wishes. Guarded by
    /// writing_.
    std::set<key> unusable_;
};

} // namespace oriolegrade::coordination

#endif
