// Selects the host that dispatches a service. Every host computes the same
// order from the same members; a disagreement only costs waiting time.
//
// A failed member is skipped until it has answered a probe. Requests do not
// serve as probes: with the first dispatchers dead, requests would wait for
// them again at the end of each backoff.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCHER_RANKING_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCHER_RANKING_HPP

#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

/// Time without probes after a failure; doubles with each consecutive failure.
inline constexpr state::duration initial_probe_backoff =
    std::chrono::milliseconds(1000);
inline constexpr state::duration max_probe_backoff = std::chrono::seconds(8);
/// A probe with neither an answer nor a failure is repeated after this time,
/// which exceeds the limits of a connect and a first answer together.
inline constexpr state::duration probe_timeout = std::chrono::seconds(2);

class dispatcher_ranking
{
public:
    void set_members(std::vector<state::host_member> members);

    const std::vector<state::host_member>& members() const
    {
        return members_;
    }
    const state::host_member* find(const std::string& name) const;

    /// Available members in their order for the service, best first. Members
    /// that are due for a probe are recorded for take_probes().
    /// @param max_count maximum number of members returned
    std::vector<state::host_member> candidates(const std::string& service,
                                               std::size_t max_count,
                                               state::time_point now);

    /// Position in the order for the service, counting unavailable members;
    /// the number of members for an unknown name.
    std::size_t position(const std::string& service, const std::string& member);

    /// First available member in the order for the service that satisfies the
    /// predicate, among the first `max_considered`; null when there is none.
    /// Records due probes as candidates() does.
    template <class Predicate>
    const state::host_member* first(const std::string& service,
                                    state::time_point now, Predicate predicate)
    {
        const auto& order = order_of(service);
        const auto n = std::min(order.size(), max_considered);
        for (std::size_t i = 0; i < n; ++i) {
            const auto& it = members_[order[i]];
            if (is_available(it.name, now) && predicate(it)) {
                return &it;
            }
        }
        return nullptr;
    }

    void failed(const std::string& member, state::time_point now);
    void answered(const std::string& member);

    /// Members that were skipped and are due for a probe. Each is returned once
    /// until failed() or answered() is called for it, or the probe times out.
    std::vector<std::string> take_probes(state::time_point now);

private:
    /// Members of the order that first() considers. Where CPU shares differ,
    /// members further back have too small a share to dispatch.
    static constexpr std::size_t max_considered = 16;

    struct failure_state
    {
        std::uint32_t failures = 0;
        /// Earliest time of the next probe.
        state::time_point probe_after{};
        bool probe_sent = false;
        /// Skipped by a request since `probe_after`.
        bool probe_wanted = false;
    };

    /// Records a due probe when the member is unavailable.
    bool is_available(const std::string& member, state::time_point now);
    const std::vector<std::size_t>& order_of(const std::string& service);

    std::vector<state::host_member> members_;
    /// Indexes into members_, per service; emptied when members_ changes.
    std::map<std::string, std::vector<std::size_t>> orders_;
    std::unordered_map<std::string, failure_state> unavailable_;
};

} // namespace oriolegrade::coordination

#endif
