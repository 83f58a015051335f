// Shares of the budget of extra sends.

#include <oriolegrade/coordination/host_budget.hpp>

#include <oriolegrade/coordination/retry_after.hpp>

namespace oriolegrade::coordination {

namespace {

/// Share of its budget that a host uses. The rest covers hosts that restart
/// within a window: they have lost their counts.
constexpr double usable_share = 0.9;
/// Earliest retry of a refused caller: the time in which the slots of a service
/// turn over. The users' services take 100 ms to 400 ms.
constexpr state::duration min_retry_after = std::chrono::milliseconds(300);

} // namespace

host_budget::host_budget(const window_budget_options& fleet, std::uint64_t seed)
    : share_options_(fleet)
    , fleet_slack_(fleet.slack)
    , seed_(seed)
{
    share_options_.slack = 0;
}

void host_budget::set_hosts(std::size_t hosts)
{
    share_options_.slack =
        hosts > 1 ? fleet_slack_ / static_cast<double>(hosts) : 0;
    for (auto& [service, budget] : budgets_) {
        budget.set_slack(share_options_.slack);
    }
}

bool host_budget::admit(const std::string& service, state::send_kind kind,
                        state::time_point now)
{
    auto& budget = budget_of(service);
    if (kind == state::send_kind::first) {
        budget.add_request(now);
        return true;
    }
    return budget.try_take(usable_share, now);
}

void host_budget::placed(const std::string& service,
                         state::time_point admitted_at, state::time_point now)
{
    budget_of(service).postpone(admitted_at, now);
}

state::place_refusal host_budget::refuse(std::uint64_t number) const
{
    return {state::place_refusal_reason::budget,
            spread_retry_after(min_retry_after, number, seed_)};
}

void host_budget::refund(const std::string& service,
                         state::time_point admitted_at, state::time_point now)
{
    budget_of(service).refund(admitted_at, now);
}

window_budget& host_budget::budget_of(const std::string& service)
{
    return budgets_.try_emplace(service, share_options_).first->second;
}

} // namespace oriolegrade::coordination
