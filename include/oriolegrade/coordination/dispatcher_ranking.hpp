// Which host dispatches a service. Every host computes the same order from
// the same members; hosts that disagree cost waiting and nothing else.
//
// A member that failed is passed over until it has answered a probe. Requests
// are no probes: with the first dispatchers dead, each would wait for them
// again whenever their distrust ends.

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

/// A host that did not answer is not probed for this long; doubles with each
/// failure in a row.
inline constexpr state::duration initial_probe_backoff =
    std::chrono::milliseconds(1000);
inline constexpr state::duration max_probe_backoff = std::chrono::seconds(8);
/// A probe that neither answered nor failed is repeated after this time, which
/// is more than a connect and a first answer may take.
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

    /// Members in their order for the service, best first, without those
    /// that are distrusted. Those that could be probed are noted for
    /// take_probes().
    /// @param most members returned
    std::vector<state::host_member> candidates(const std::string& service,
                                               std::size_t max_count,
                                               state::time_point now);

    /// Position in the order for the service, distrusted members counted; the
    /// number of members for a name that is not among them.
    std::size_t position(const std::string& service, const std::string& member);

    /// First trusted member in the order for the service that suits, among the
    /// first `max_considered`; null when there is none. Notes probes as
    /// candidates() does.
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

    /// Members that were passed over and are to be probed now. Each is told
    /// once, until failed() or answered() is called for it.
    std::vector<std::string> take_probes(state::time_point now);

private:
    /// Members of the order that first() looks at. Where shares of a core
    /// differ, those further back have too small a one to dispatch.
    static constexpr std::size_t max_considered = 16;

    struct failure_state
    {
        std::uint32_t failures = 0;
        /// Not to be probed before.
        state::time_point probe_after{};
        bool probe_sent = false;
        /// Passed over since `until`.
        bool probe_wanted = false;
    };

    /// Notes that the member could be probed when it is not trusted.
    bool is_available(const std::string& member, state::time_point now);
    const std::vector<std::size_t>& order_of(const std::string& service);

    std::vector<state::host_member> members_;
    /// Indexes into members_, per service; emptied when members_ changes.
    std::map<std::string, std::vector<std::size_t>> orders_;
    std::unordered_map<std::string, failure_state> unavailable_;
};

} // namespace oriolegrade::coordination

#endif
