// Shares a full service among workspaces. It counts what each has asked for
// and been given lately, and orders those that wait by start-time fair queueing
// (Goyal, Vin, Cheng 1996): each workspace has a tag that a placed request
// moves on by the inverse of the workspace's weight, and the least tag is next.
//
// Load pattern: the service is full, and one workspace sends many times its
// usual load. The others keep nearly all that they would get without it.
//
// The users count how often the requests of a workspace are served against
// those of all, for the workspace that sends too much as well. Equal shares of
// the service would leave it far below a quarter of all. So a part of the
// service is shared by what each workspace asks for, and the rest likewise, but
// what a workspace asks for beyond a multiple of the mean does not count there.
// Requests count alike whatever their length, as the users count them.
//
// Requests without a workspace are one workspace together. While there are no
// others, nothing is counted.

#ifndef ORIOLEGRADE_COORDINATION_WORKSPACE_SHARES_HPP
#define ORIOLEGRADE_COORDINATION_WORKSPACE_SHARES_HPP

#include <oriolegrade/state/time_type.hpp>

#include <chrono>
#include <cstddef>
#include <limits>
#include <string>
#include <unordered_map>

namespace oriolegrade::coordination {

class workspace_shares
{
public:
    /// Position of a workspace in the order; in placed requests, if all
    /// workspaces wait.
    using tag = double;

    /// Part of the service that is shared by demand alone. A workspace that
    /// always waits is served at least about this often against all requests of
    /// its rank; users count one as starved below a quarter. With 0.5 the worst
    /// tenth of the others is served less than 0.9 times as often as the mean;
    /// a larger part takes more from them.
    static constexpr double by_demand = 0.6;
    /// Multiple of the mean demand of the others up to which the demand of a
    /// workspace counts in the rest. Below it, differences between workspaces
    /// are usual, and they are served equally often.
    static constexpr double usual_spread = 2.0;
    /// Workspaces that are counted; further ones are served without being
    /// counted. More than any configuration has.
    static constexpr std::size_t max_workspaces = 16384;

    /// Counts a request.
    void asked(const std::string& workspace, state::time_point now);

    /// Part of the service that is due to the workspace while all others wait;
    /// 1 without others.
    double weight(const std::string& workspace) const;

    /// Tag of a workspace that has no request in line. Whoever puts one in line
    /// keeps it until the next placed request of the workspace: what it is not
    /// given meanwhile is owed to it.
    tag current(const std::string& workspace) const;

    /// Counts a request that is sent to an upstream.
    /// @param at tag of the workspace
    /// @param least tag of those that wait; `at` when none does
    /// @return the workspace's next tag
    tag placed(const std::string& workspace, tag at, tag least);

    /// Number of workspaces that are counted.
    std::size_t size() const
    {
        return uses_.size();
    }

private:
    struct use
    {
        /// Requests, with less weight the older they are.
        double demand = 0;
        tag next = 0;
    };

    static constexpr state::duration round = std::chrono::milliseconds(250);
    /// Part of the demand that is left after a round: the mean age is 1.1 s.
    /// With 4 s, workspaces that send more than usual for a moment are served
    /// worse.
    static constexpr double kept_per_round = 0.8;
    /// A workspace with less demand is forgotten: 5 s after a single request.
    static constexpr double least_demand = 0.01;

    use* find_or_add(const std::string& workspace);
    const use* find(const std::string& workspace) const;
    /// @param it null for a workspace that is not counted
    double weight(const use* it) const;
    /// Ages the demands and computes their cap anew.
    void end_round(state::time_point now);
    void lower_cap();

    /// Workspaces that asked lately; empty while none but the unnamed did.
    std::unordered_map<std::string, use> uses_;
    /// Sums over uses_ of the demand, and of what is counted of it below cap_.
    double total_ = 0;
    double capped_ = 0;
    double cap_ = std::numeric_limits<double>::infinity();
    /// The least tag of those that wait, or that was placed last; never falls.
    tag virtual_time_ = 0;
    state::time_point round_end_{};
};

} // namespace oriolegrade::coordination

#endif
