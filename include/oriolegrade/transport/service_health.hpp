// What this host holds about the health of one service entry's upstreams:
// its own avoidance and the collector's verdicts, merged by the floor.

#ifndef ORIOLEGRADE_TRANSPORT_SERVICE_HEALTH_HPP
#define ORIOLEGRADE_TRANSPORT_SERVICE_HEALTH_HPP

#include <oriolegrade/coordination/leaving_set.hpp>
#include <oriolegrade/coordination/local_avoidance.hpp>
#include <oriolegrade/coordination/service_floor.hpp>
#include <oriolegrade/state/health_verdict.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <unordered_map>
#include <vector>

namespace oriolegrade::transport {

/// Belongs to the control thread.
class service_health
{
public:
    /// Counts evidence of this host.
    void add(const std::vector<state::evidence_item>& items,
             state::time_point now);

    /// Takes verdicts. Older ones of the same collector change nothing.
    void set_verdicts(state::verdict_set verdicts);

    /// True when judge() may change the standings although the service and
    /// the leaving set are as before.
    bool pending() const
    {
        return dirty_ || any_avoided_;
    }

    /// Computes the standings anew.
    /// @return false when they are as before
    bool judge(const state::service_spec& spec,
               const coordination::leaving_set& leaving, state::time_point now);

    const std::vector<state::upstream_standing>& standings() const
    {
        return floor_.standings;
    }
    bool host_suspects_itself() const
    {
        return floor_.host_suspects_itself;
    }

    /// Decisions since the last call.
    coordination::health_events take_events();

private:
    struct upstream
    {
        coordination::local_avoidance avoidance;
        bool was_avoided = false;
    };

    coordination::floor_input input_of(const state::upstream_spec& spec,
                                       const coordination::leaving_set& leaving,
                                       state::time_point now);
    bool is_avoided(const state::endpoint& address, state::time_point now);

    /// Upstreams with evidence against them or without; those that the
    /// service no longer names are dropped by judge().
    std::unordered_map<state::endpoint, upstream, state::endpoint_hash>
        upstreams_;
    state::verdict_set verdicts_;
    coordination::floor_result floor_;
    coordination::health_events events_;
    /// Verdicts or avoidances are new since judge().
    bool dirty_ = true;
    /// An avoidance was in force at judge(), so it may have ended.
    bool any_avoided_ = false;
};

} // namespace oriolegrade::transport

#endif
