// Which host dispatches a service. Every host computes the same order from
// the same members; hosts that disagree cost waiting and nothing else.

#ifndef ORIOLEGRADE_COORDINATION_DISPATCHER_RANKING_HPP
#define ORIOLEGRADE_COORDINATION_DISPATCHER_RANKING_HPP

#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::coordination {

/// A host that did not answer is not asked again for this long; doubles with
/// each failure in a row.
inline constexpr state::duration first_distrust =
    std::chrono::milliseconds(1000);
inline constexpr state::duration longest_distrust = std::chrono::seconds(8);

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
    /// that are distrusted now.
    /// @param most members returned
    std::vector<state::host_member> candidates(const std::string& service,
                                               std::size_t most,
                                               state::time_point now);

    /// Position in the order for the service, distrusted members counted; the
    /// number of members for a name that is not among them.
    std::size_t position(const std::string& service, const std::string& member);

    void failed(const std::string& member, state::time_point now);
    void answered(const std::string& member);

private:
    struct distrust
    {
        std::uint32_t failures = 0;
        state::time_point until{};
    };

    const std::vector<std::size_t>& order_of(const std::string& service);

    std::vector<state::host_member> members_;
    /// Indexes into members_, per service; emptied when members_ changes.
    std::map<std::string, std::vector<std::size_t>> orders_;
    std::unordered_map<std::string, distrust> distrusted_;
};

} // namespace oriolegrade::coordination

#endif
