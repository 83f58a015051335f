// Share of a service's requests that are presumably not served.
//
// A dispatcher does not see the end of every request: some end with their
// host, some are never reported, and some are given up by the host after a
// refused send. Whatever is not known to be well counts here as not served,
// since the estimate decides whether capacity may stay idle.

#ifndef ORIOLEGRADE_COORDINATION_UNSERVED_ESTIMATE_HPP
#define ORIOLEGRADE_COORDINATION_UNSERVED_ESTIMATE_HPP

#include <oriolegrade/coordination/recent_share.hpp>
#include <oriolegrade/state/dispatch_type.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <cstdint>

namespace oriolegrade::coordination {

/// The platform's balancer takes a host out after two misses of a check that
/// it makes once a second; until then callers are sent to a lost host.
inline constexpr state::duration balancer_detection_time =
    std::chrono::seconds(2);

/// A send, as far as its end tells whether the request is served.
struct send_attributes
{
    state::send_kind kind = state::send_kind::first;
    bool repeatable = false;
    /// It was counted before its end, for its age.
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
    /// The dispatcher turned a request away.
    void turned_away(state::send_kind kind, state::time_point now);
    /// A send takes much longer than usual: its upstream hangs, or its host is
    /// silent and reports nothing.
    /// @return true when it counts from now on
    bool overdue(const send_attributes& send, state::time_point now);
    void ended(const send_attributes& send, state::send_result result,
               state::time_point now);
    /// The host of a request is gone. Its callers are not served until the
    /// balancer notices: as many as it had in progress, in each usual latency.
    void lost_with_host(state::duration typical_latency, state::time_point now);

    /// True while more than `share` of the last two seconds' requests, and at
    /// least two, are presumably not served. At twenty requests or fewer two
    /// are the first that exceed the users' bound of a tenth.
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
