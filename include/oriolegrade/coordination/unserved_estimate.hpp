// Estimates the share of a service's requests that are not served.
//
// A dispatcher does not learn the result of every request: its host may fail,
// may never report, or may stop after a refused send. A request without a
// known success counts as unserved, because the estimate decides whether
// capacity may stay idle.

#ifndef ORIOLEGRADE_COORDINATION_UNSERVED_ESTIMATE_HPP
#define ORIOLEGRADE_COORDINATION_UNSERVED_ESTIMATE_HPP

#include <oriolegrade/coordination/recent_share.hpp>
#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

/// The platform's load balancer checks hosts once a second and removes a host
/// after two failed checks. Until then it routes callers to a failed host.
inline constexpr state::duration balancer_detection_time =
    std::chrono::seconds(2);

/// Properties of a send that decide whether its result leaves the request
/// unserved.
struct send_attributes
{
    state::send_kind kind = state::send_kind::first;
    bool repeatable = false;
    /// Already counted as unserved because it was overdue.
    bool counted = false;
};

class unserved_estimate
{
public:
    /// A request was placed for the first time.
    void placed(state::time_point now)
    {
        share_.add_event(now);
    }
    /// The dispatcher rejected a request.
    void turned_away(state::send_kind kind, state::time_point now);
    /// A send takes much longer than usual: its upstream hangs, or its host no
    /// longer reports.
    /// @return true when the send is counted as unserved from now on
    bool overdue(const send_attributes& send, state::time_point now);
    void ended(const send_attributes& send, state::send_result result,
               state::time_point now);
    /// The host of a request has failed. Until the load balancer removes it,
    /// the host is assumed to lose one further request per typical latency for
    /// each request that it had in progress.
    void lost_with_host(state::duration typical_latency, state::time_point now);

    /// True while more than `share` of the requests of the last two seconds,
    /// and at least two, are presumed unserved. Two is the smallest count that
    /// exceeds the users' bound of a tenth at up to twenty requests.
    bool exceeds(double share, state::time_point now) const;

    std::uint32_t requests(state::time_point now) const
    {
        return share_.events(now);
    }
    std::uint32_t unserved(state::time_point now) const
    {
        return share_.marked(now);
    }

private:
    recent_share share_;
};

} // namespace oriolegrade::coordination

#endif
