// Sends beyond the first of each request, as a dispatcher allows them: repeats,
// hedges and trials.
//
// Load pattern: many reads fail at once. Each send beyond the first takes from
// one budget of the service; hedges and trials may use part of it, so that
// repeats of failed reads find the rest.

#ifndef ORIOLEGRADE_COORDINATION_EXTRA_SENDS_HPP
#define ORIOLEGRADE_COORDINATION_EXTRA_SENDS_HPP

#include <oriolegrade/coordination/window_budget.hpp>
#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>

namespace oriolegrade::coordination {

class extra_sends
{
public:
    explicit extra_sends(const window_budget_options& options)
        : budget_(options)
    {}

    /// Sets the share of the budget that this dispatcher may use. The total
    /// over all dispatchers is limited by the hosts (host_budget).
    void set_share(double share)
    {
        share_ = share;
    }

    /// Counts a send.
    /// @return false when it would exceed the budget
    bool admit(state::send_kind kind, state::time_point now)
    {
        if (kind == state::send_kind::first) {
            budget_.add_request(now);
            return true;
        }
        const double part = kind == state::send_kind::hedge ? hedge_share : 1.0;
        return budget_.try_take(share_ * part, now);
    }
    /// Undoes the admission of a send that was not made.
    void refund(state::send_kind kind, state::time_point admitted_at,
                state::time_point now)
    {
        if (kind != state::send_kind::first) {
            budget_.refund(admitted_at, now);
        }
    }

    bool may_hedge(state::time_point now) const
    {
        return budget_.used(now) <= hedge_share * share_;
    }
    /// A request whose failure a repeat can hide may try a suspected upstream.
    bool may_try(state::time_point now) const
    {
        return budget_.used(now) < trial_share * share_;
    }
    /// Share of the budget in use.
    double used(state::time_point now) const
    {
        return budget_.used(now);
    }

private:
    static constexpr double hedge_share = 0.5;
    static constexpr double trial_share = 0.4;

    window_budget budget_;
    double share_ = 0.9;
};

} // namespace oriolegrade::coordination

#endif
