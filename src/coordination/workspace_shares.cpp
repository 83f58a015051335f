// Demands of workspaces, and the weights and tags that follow from them.

#include <oriolegrade/coordination/workspace_shares.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::coordination {

namespace {

/// Demand of a workspace that is not counted.
constexpr double single_request = 1;
/// The cap follows from the mean below the cap. One hot workspace is left out
/// of it at once; while there are several, it takes a few steps.
constexpr int max_cap_steps = 8;
/// A step that lowers the cap by less is the last.
constexpr double cap_accuracy = 0.95;

} // namespace

workspace_shares::use*
workspace_shares::find_or_add(const std::string& workspace)
{
    if (uses_.size() >= max_workspaces) {
        const auto found = uses_.find(workspace);
        return found != uses_.end() ? &found->second : nullptr;
    }
    return &uses_.try_emplace(workspace, use{0, virtual_time_}).first->second;
}

const workspace_shares::use*
workspace_shares::find(const std::string& workspace) const
{
    const auto found = uses_.find(workspace);
    return found != uses_.end() ? &found->second : nullptr;
}

void workspace_shares::asked(const std::string& workspace,
                             state::time_point now)
{
    if (workspace.empty() && uses_.empty()) {
        return;
    }
    if (now >= round_end_) {
        end_round(now);
    }
    if (auto* it = find_or_add(workspace)) {
        capped_ -= std::min(it->demand, cap_);
        it->demand += 1;
        capped_ += std::min(it->demand, cap_);
        total_ += 1;
    }
}

void workspace_shares::end_round(state::time_point now)
{
    // After a pause the demand is forgotten, however many rounds it took.
    const auto rounds = static_cast<double>((now - round_end_) / round + 1);
    const double kept = std::pow(kept_per_round, rounds);
    round_end_ = now + round;
    total_ = 0;
    for (auto& it : uses_) {
        it.second.demand *= kept;
    }
    std::erase_if(
        uses_, [](const auto& it) { return it.second.demand < least_demand; });
    if (uses_.empty()) {
        capped_ = 0;
        cap_ = std::numeric_limits<double>::infinity();
        return;
    }
    for (const auto& it : uses_) {
        total_ += it.second.demand;
    }
    lower_cap();
}

void workspace_shares::lower_cap()
{
    cap_ = std::numeric_limits<double>::infinity();
    capped_ = total_;
    if (uses_.size() < 2) {
        return;
    }
    const auto others = static_cast<double>(uses_.size() - 1);
    for (int n = 0; n < max_cap_steps; ++n) {
        double sum = 0;
        double most = 0;
        for (const auto& it : uses_) {
            const auto demand = std::min(it.second.demand, cap_);
            sum += demand;
            most = std::max(most, demand);
        }
        // Within a round the demands grow by what the next one takes off.
        const auto cap = usual_spread * (sum - most) / others / kept_per_round;
        const bool is_last = most <= cap || cap >= cap_ * cap_accuracy;
        cap_ = std::min(cap_, cap);
        if (is_last) {
            break;
        }
    }
    capped_ = 0;
    for (const auto& it : uses_) {
        capped_ += std::min(it.second.demand, cap_);
    }
}

double workspace_shares::weight(const std::string& workspace) const
{
    return uses_.empty() ? 1 : weight(find(workspace));
}

double workspace_shares::weight(const use* it) const
{
    // A request that waits has been asked for, however long ago.
    const double demand =
        std::max(it != nullptr ? it->demand : 0, single_request);
    const double capped = std::min(demand, cap_);
    return by_demand * demand / std::max(total_, demand) +
           (1 - by_demand) * capped / std::max(capped_, capped);
}

workspace_shares::tag
workspace_shares::current(const std::string& workspace) const
{
    const auto* it = uses_.empty() ? nullptr : find(workspace);
    return it != nullptr ? std::max(it->next, virtual_time_) : virtual_time_;
}

workspace_shares::tag workspace_shares::placed(const std::string& workspace,
                                               tag at, tag least)
{
    if (uses_.empty()) {
        return at;
    }
    virtual_time_ = std::max(virtual_time_, least);
    const auto found = uses_.find(workspace);
    auto* it = found != uses_.end() ? &found->second : nullptr;
    const auto next = at + 1 / weight(it);
    if (it != nullptr) {
        it->next = next;
    }
    return next;
}

} // namespace oriolegrade::coordination
