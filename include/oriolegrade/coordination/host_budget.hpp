// One host's share of the fleet-wide budget of extra sends, for all services.
//
// Every extra send belongs to a request that a host accepted, so the host
// counts both. The shares of all hosts add up to the fleet's budget whichever
// dispatcher places the requests: dispatchers change, and none knows what
// others have allowed.

#ifndef ORIOLEGRADE_COORDINATION_HOST_BUDGET_HPP
#define ORIOLEGRADE_COORDINATION_HOST_BUDGET_HPP

#include <oriolegrade/coordination/window_budget.hpp>
#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace oriolegrade::coordination {

class host_budget
{
public:
    /// @param fleet budget of all hosts together, per service
    /// @param seed of this host, see spread_retry_after()
    host_budget(const window_budget_options& fleet, std::uint64_t seed);

    /// @param hosts number of hosts in the fleet, this one included; at 1 no
    ///        other host is known, and there is no slack
    void set_hosts(std::size_t hosts);

    /// Counts a first send, or reserves an extra one.
    /// @return false when an extra send would exceed this host's share
    bool admit(const std::string& service, state::send_kind kind,
               state::time_point now);

    /// An extra send got its place and is sent now. It may have waited in line
    /// for as long as a request may take, and servers count what arrives.
    /// @param admitted_at time of the admit() that returned true
    void placed(const std::string& service, state::time_point admitted_at,
                state::time_point now);

    /// Refusal for a request whose extra send was not admitted.
    state::place_refusal refuse(std::uint64_t number) const;

    /// Returns an extra send that was admitted and not placed.
    void refund(const std::string& service, state::time_point admitted_at,
                state::time_point now);

private:
    window_budget& budget_of(const std::string& service);

    window_budget_options share_options_;
    double fleet_slack_;
    std::uint64_t seed_;
    std::unordered_map<std::string, window_budget> budgets_;
};

} // namespace oriolegrade::coordination

#endif
